package confstore_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// This file compares two ways to keep routing tables derived from the
// configuration: building them anew for each generation, and keeping them as
// incremental derived collections. See docs/design/11-configuration.md.

const (
	targetEndpoints = 600
	targetHosts     = 390
	targetCallers   = 50
	targetServices  = 20
	targetModels    = 10
	targetZones     = 7
)

// targetConfig is a configuration of the target size.
func targetConfig() *model.Config {
	c := &model.Config{
		Zones:       map[model.ZoneID]model.Zone{},
		Hosts:       map[model.HostID]model.Host{},
		Deployments: map[model.DeploymentID]model.Deployment{},
		Services:    map[model.ServiceID]model.Service{},
		Endpoints:   map[model.EndpointID]model.Endpoint{},
		Callers:     map[model.CallerID]model.Caller{},
	}
	zone := func(i int) model.ZoneID { return model.ZoneID(fmt.Sprintf("zone-%d", i%targetZones)) }
	for i := range targetZones {
		c.Zones[zone(i)] = model.Zone{Region: model.RegionID(fmt.Sprintf("region-%d", i%2))}
	}
	for i := range targetModels {
		c.Deployments[model.DeploymentID(fmt.Sprintf("model-%d", i))] = model.Deployment{Model: fmt.Sprintf("model-%d", i), MaxRunning: 32}
	}
	for i := range targetServices {
		c.Services[model.ServiceID(fmt.Sprintf("service-%d", i))] = model.Service{MaxRunning: 16, NonIdempotent: []string{"issue", "revoke"}}
	}
	for i := range targetHosts {
		address := fmt.Sprintf("10.0.%d.%d", i/250, i%250)
		c.Hosts[model.HostID(fmt.Sprintf("host-%d", i))] = model.Host{Zone: zone(i), Control: address + ":7000", Entry: address + ":7001", EntryMesh: address + ":7002"}
	}
	for i := range targetEndpoints {
		e := model.Endpoint{Kind: model.EndpointEngine, Zone: zone(i), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250)}
		if i%4 == 0 {
			e.Kind, e.Service = model.EndpointPlain, model.ServiceID(fmt.Sprintf("service-%d", i%targetServices))
		} else {
			e.Deployment = model.DeploymentID(fmt.Sprintf("model-%d", i%targetModels))
		}
		c.Endpoints[model.EndpointID(fmt.Sprintf("endpoint-%d", i))] = e
	}
	for i := range targetCallers {
		c.Callers[model.CallerID(fmt.Sprintf("caller-%d", i))] = model.Caller{Priority: model.PriorityLive, RequestsPerSecond: 100}
	}
	return c
}

// target is what requests are routed to.
type target struct {
	service    model.ServiceID
	deployment model.DeploymentID
}

// table lists a target's endpoints by availability zone, in order of name.
type table map[model.ZoneID][]model.EndpointID

// rebuild derives all tables from a configuration.
func rebuild(c *model.Config) map[target]table {
	out := map[target]table{}
	for _, id := range slices.Sorted(maps.Keys(c.Endpoints)) {
		e := c.Endpoints[id]
		t := target{e.Service, e.Deployment}
		if out[t] == nil {
			out[t] = table{}
		}
		out[t][e.Zone] = append(out[t][e.Zone], id)
	}
	return out
}

// derived is the incremental variant: an index from each table to the endpoints it
// is made of, and only the tables of changed endpoints are made again.
type derived struct {
	endpoints map[model.EndpointID]model.Endpoint
	members   map[target]map[model.EndpointID]bool
	tables    map[target]table
}

func newDerived() *derived {
	return &derived{endpoints: map[model.EndpointID]model.Endpoint{}, members: map[target]map[model.EndpointID]bool{}, tables: map[target]table{}}
}

// apply finds the endpoints that changed and updates their tables.
func (d *derived) apply(c *model.Config) {
	dirty := map[target]bool{}
	for id := range d.endpoints {
		if _, ok := c.Endpoints[id]; !ok {
			d.set(id, nil, dirty)
		}
	}
	for id, e := range c.Endpoints {
		if old, ok := d.endpoints[id]; !ok || old != e {
			d.set(id, &e, dirty)
		}
	}
	d.refresh(dirty)
}

// set changes one endpoint and marks the tables it was and is in.
func (d *derived) set(id model.EndpointID, e *model.Endpoint, dirty map[target]bool) {
	if old, ok := d.endpoints[id]; ok {
		t := target{old.Service, old.Deployment}
		delete(d.members[t], id)
		dirty[t] = true
	}
	if e == nil {
		delete(d.endpoints, id)
		return
	}
	d.endpoints[id] = *e
	t := target{e.Service, e.Deployment}
	if d.members[t] == nil {
		d.members[t] = map[model.EndpointID]bool{}
	}
	d.members[t][id] = true
	dirty[t] = true
}

func (d *derived) refresh(dirty map[target]bool) {
	for t := range dirty {
		if len(d.members[t]) == 0 {
			delete(d.tables, t)
			continue
		}
		fresh := table{}
		for _, id := range slices.Sorted(maps.Keys(d.members[t])) {
			zone := d.endpoints[id].Zone
			fresh[zone] = append(fresh[zone], id)
		}
		d.tables[t] = fresh
	}
}

// changed returns a copy of c with one endpoint moved, added or removed.
func changed(c *model.Config, r *rand.Rand) *model.Config {
	next := *c
	next.Endpoints = maps.Clone(c.Endpoints)
	id := model.EndpointID(fmt.Sprintf("endpoint-%d", r.IntN(targetEndpoints)))
	if _, ok := next.Endpoints[id]; ok && r.IntN(3) == 0 {
		delete(next.Endpoints, id)
		return &next
	}
	next.Endpoints[id] = model.Endpoint{Kind: model.EndpointPlain, Service: model.ServiceID(fmt.Sprintf("service-%d", r.IntN(targetServices))), Zone: model.ZoneID(fmt.Sprintf("zone-%d", r.IntN(targetZones)))}
	return &next
}

func TestIncrementalTablesEqualRebuiltOnes(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	c, d := targetConfig(), newDerived()
	for i := range 300 {
		d.apply(c)
		if want := rebuild(c); !reflect.DeepEqual(want, d.tables) {
			t.Fatalf("tables differ after change %d", i)
		}
		c = changed(c, r)
	}
}

// generations returns two configurations that differ in one endpoint.
func generations() [2]*model.Config {
	c := targetConfig()
	return [2]*model.Config{c, changed(c, rand.New(rand.NewPCG(3, 3)))}
}

func BenchmarkTablesRebuiltPerGeneration(b *testing.B) {
	both := generations()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		rebuild(both[i%2])
	}
}

func BenchmarkTablesIncrementalPerGeneration(b *testing.B) {
	both := generations()
	d := newDerived()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d.apply(both[i%2])
	}
}

// BenchmarkTablesIncrementalPerKnownChange leaves out the comparison of the two
// generations, as if the changed endpoint were handed over.
func BenchmarkTablesIncrementalPerKnownChange(b *testing.B) {
	d := newDerived()
	d.apply(targetConfig())
	e := d.endpoints["endpoint-4"]
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e.Zone = model.ZoneID(fmt.Sprintf("zone-%d", i%2))
		dirty := map[target]bool{}
		d.set("endpoint-4", &e, dirty)
		d.refresh(dirty)
	}
}
