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

// This file compares two ways to derive routing tables from the configuration: rebuilding
// all tables for each generation, and updating only the tables whose endpoints changed. See
// docs/design/11-configuration.md.

const (
	targetEndpoints = 600
	targetHosts     = 390
	targetCallers   = 50
	targetServices  = 20
	targetModels    = 10
	targetZones     = 7
)

// targetConfig returns a configuration with the number of objects that the system is
// designed for.
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

// routeTarget is the service or deployment to which requests are routed.
type routeTarget struct {
	service    model.ServiceID
	deployment model.DeploymentID
}

// zoneTable maps an availability zone to a target's endpoints there, in order of ID.
type zoneTable map[model.ZoneID][]model.EndpointID

// buildTables builds all tables from a configuration.
func buildTables(c *model.Config) map[routeTarget]zoneTable {
	out := map[routeTarget]zoneTable{}
	for _, id := range slices.Sorted(maps.Keys(c.Endpoints)) {
		e := c.Endpoints[id]
		t := routeTarget{e.Service, e.Deployment}
		if out[t] == nil {
			out[t] = zoneTable{}
		}
		out[t][e.Zone] = append(out[t][e.Zone], id)
	}
	return out
}

// incrementalTables is the incremental variant. It maps each target to its endpoints and
// rebuilds only the tables of endpoints that changed.
type incrementalTables struct {
	endpoints         map[model.EndpointID]model.Endpoint
	endpointsByTarget map[routeTarget]map[model.EndpointID]bool
	tables            map[routeTarget]zoneTable
}

func newIncrementalTables() *incrementalTables {
	return &incrementalTables{endpoints: map[model.EndpointID]model.Endpoint{}, endpointsByTarget: map[routeTarget]map[model.EndpointID]bool{}, tables: map[routeTarget]zoneTable{}}
}

// apply compares c with the previous configuration and updates the tables of the endpoints
// that changed.
func (d *incrementalTables) apply(c *model.Config) {
	dirty := map[routeTarget]bool{}
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

// set changes or, if e is nil, removes one endpoint. It marks the endpoint's old and new
// target as dirty.
func (d *incrementalTables) set(id model.EndpointID, e *model.Endpoint, dirty map[routeTarget]bool) {
	if old, ok := d.endpoints[id]; ok {
		t := routeTarget{old.Service, old.Deployment}
		delete(d.endpointsByTarget[t], id)
		dirty[t] = true
	}
	if e == nil {
		delete(d.endpoints, id)
		return
	}
	d.endpoints[id] = *e
	t := routeTarget{e.Service, e.Deployment}
	if d.endpointsByTarget[t] == nil {
		d.endpointsByTarget[t] = map[model.EndpointID]bool{}
	}
	d.endpointsByTarget[t][id] = true
	dirty[t] = true
}

// refresh rebuilds the tables of the dirty targets.
func (d *incrementalTables) refresh(dirty map[routeTarget]bool) {
	for t := range dirty {
		if len(d.endpointsByTarget[t]) == 0 {
			delete(d.tables, t)
			continue
		}
		rebuilt := zoneTable{}
		for _, id := range slices.Sorted(maps.Keys(d.endpointsByTarget[t])) {
			zone := d.endpoints[id].Zone
			rebuilt[zone] = append(rebuilt[zone], id)
		}
		d.tables[t] = rebuilt
	}
}

// mutateEndpoint returns a copy of c in which one endpoint was moved, added or removed.
func mutateEndpoint(c *model.Config, r *rand.Rand) *model.Config {
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

// After each change of an endpoint, the incremental tables must equal rebuilt ones.
func TestIncrementalTables_EqualRebuiltTables(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	c, d := targetConfig(), newIncrementalTables()
	for i := range 300 {
		d.apply(c)
		if want := buildTables(c); !reflect.DeepEqual(want, d.tables) {
			t.Fatalf("tables differ after change %d", i)
		}
		c = mutateEndpoint(c, r)
	}
}

// generations returns two configurations that differ in one endpoint.
func generations() [2]*model.Config {
	c := targetConfig()
	return [2]*model.Config{c, mutateEndpoint(c, rand.New(rand.NewPCG(3, 3)))}
}

func BenchmarkTablesRebuiltPerGeneration(b *testing.B) {
	configs := generations()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		buildTables(configs[i%2])
	}
}

func BenchmarkTablesIncrementalPerGeneration(b *testing.B) {
	configs := generations()
	d := newIncrementalTables()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d.apply(configs[i%2])
	}
}

// BenchmarkTablesIncrementalPerKnownChange leaves out the comparison of the two generations,
// as if the changed endpoint were already known.
func BenchmarkTablesIncrementalPerKnownChange(b *testing.B) {
	d := newIncrementalTables()
	d.apply(targetConfig())
	e := d.endpoints["endpoint-4"]
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e.Zone = model.ZoneID(fmt.Sprintf("zone-%d", i%2))
		dirty := map[routeTarget]bool{}
		d.set("endpoint-4", &e, dirty)
		d.refresh(dirty)
	}
}
