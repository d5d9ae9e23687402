package front

import (
	"context"
	"net/http"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/scaling"
	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	scalingduty "oleanderfall.example/oleanderfall/internal/transport/scaling"
)

const (
	// demandInterval is the interval at which a batch's demand is computed.
	demandInterval = 250 * time.Millisecond
	// defaultResultsObjective applies to batches of routes without one.
	defaultResultsObjective = 10 * time.Second
	// maxDemandHosts bounds the hosts that are asked for the demand of their batches. One host runs
	// the batches for slotsPerOwner slots.
	maxDemandHosts = 16
)

// newScaler returns the duty of ordering endpoints, or nil if the settings do not have it.
func (n *Node) newScaler(lease scalingduty.Lease, api operatorapi.Client, calls *PeerClient) *scalingduty.Scaler {
	if !n.Settings.OperatorAPI.ScalesServices {
		return nil
	}
	source := &scalingduty.Gatherer{
		Host: n.Settings.Host, Config: n.Catalog.Config, WithTable: n.Forwarder.fleet.WithTable,
		BatchHosts: n.Batches.demandHosts, HostCount: func() int { return 1 + n.peers.Count() },
		Own: n.Batches.Demand, Ask: calls.Demand, ListReadAt: n.feed.EndpointsReadAt, CutOff: n.CutOff, SinceBoot: sinceBoot,
	}
	source.Register(n.params.Registry)
	return scalingduty.New(scalingduty.Options{
		Host: n.Settings.Host, CallsPerSecond: n.Settings.OperatorAPI.CallsPerSecond, Lease: lease, API: api, Source: source,
		SinceBoot: sinceBoot, Log: logging.Component(n.params.Log, "scaling"), Registry: n.params.Registry,
	})
}

// runScaler orders endpoints until ctx ends, if that is a duty of this system.
func (n *Node) runScaler(ctx context.Context) {
	if n.scaler != nil {
		n.scaler.Run(ctx)
	}
}

// demandHosts returns the hosts that run batches of any model.
func (s *Batches) demandHosts() []string {
	hosts := s.allOwners()
	return hosts[:min(len(hosts), maxDemandHosts)]
}

// Demand returns the demand that this host knows for the services whose endpoints this system
// orders.
func (s *Batches) Demand() scalingduty.HostDemand {
	out := scalingduty.HostDemand{Services: map[string]scalingduty.ServiceDemand{}}
	config := s.catalog.Config()
	if config == nil {
		return out
	}
	for i := range config.Services {
		if config.Services[i].Scaling != nil {
			name := config.Services[i].Name
			out.Services[name] = scalingduty.ServiceDemand{Waiting: s.runner.forwarder.gates.waiting(name)}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.active {
		published := a.demand.Load()
		if published == nil || a.finished() {
			continue
		}
		for name, d := range published.services {
			if sum, ok := out.Services[name]; ok {
				sum.Samples, sum.Due = sum.Samples+d.Samples, sum.Due+d.Due
				out.Services[name] = sum
			}
		}
	}
	return out
}

// batchDemand is a batch's demand by service, as computed at a time.
type batchDemand struct {
	services map[string]scalingduty.ServiceDemand
	at       time.Time
}

// routeWork is the unfinished work of a batch that goes to one route. interval is the usual time
// between two events, zero if it is unknown.
type routeWork struct {
	interval time.Duration
	lengths  []time.Duration
}

// publishDemand computes the batch's demand every demandInterval, if this system orders endpoints.
// Only the goroutine of the batch may call it.
func (a *activeBatch) publishDemand(now time.Time) {
	if !a.parent.settings.OperatorAPI.ScalesServices {
		return
	}
	if last := a.demand.Load(); last != nil && now.Sub(last.at) < demandInterval {
		return
	}
	out := &batchDemand{services: map[string]scalingduty.ServiceDemand{}, at: now}
	for route, w := range a.unfinishedWork(now) {
		objective := defaultResultsObjective
		if route.ResultsObjective > 0 {
			objective = route.ResultsObjective
		}
		slots := scaling.SlotsInTime(w.lengths, objective-a.age())
		for service, share := range targetShares(route) {
			d := out.services[service]
			d.Due += int(share*float64(slots) + 0.5)
			out.services[service] = d
		}
	}
	for _, at := range a.attempts {
		d := out.services[at.endpoint.Service]
		d.Samples++
		out.services[at.endpoint.Service] = d
	}
	a.demand.Store(out)
}

// unfinishedWork returns the expected remaining lengths of the samples that wait or run, by route.
// Samples without a route are not placed and count for nothing.
func (a *activeBatch) unfinishedWork(now time.Time) map[*catalog.Route]*routeWork {
	work := map[*catalog.Route]*routeWork{}
	a.run.Unfinished(func(i, remaining int) {
		route := a.route(a.batch.Host, a.run.Sample(i).Path)
		if route == nil || len(route.Targets) == 0 {
			return
		}
		w := work[route]
		if w == nil {
			w = &routeWork{}
			a.parent.runner.fleet.WithTable(func(t *placement.Table) { w.interval = t.Baseline(now, route.Targets[0].Service) })
			work[route] = w
		}
		if at := a.attempts[i]; at != nil {
			remaining -= int(at.events.Load())
		}
		w.lengths = append(w.lengths, time.Duration(max(remaining, 0))*w.interval)
	})
	return work
}

// targetShares returns the share of a route's requests that each service gets.
func targetShares(r *catalog.Route) map[string]float64 {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return map[string]float64{r.Targets[0].Service: 1}
	}
	out := map[string]float64{}
	for _, t := range r.Targets {
		out[t.Service] += float64(max(t.Weight, 0)) / float64(total)
	}
	return out
}

// waiting returns the number of requests that wait at this host for a slot of a service.
func (g *Gates) waiting(service string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.gates[service]; s != nil {
		return s.Waiting()
	}
	return 0
}

// Demand returns the demand that a peer knows.
func (c *PeerClient) Demand(ctx context.Context, host string) (scalingduty.HostDemand, error) {
	raw, err := c.call(ctx, host, http.MethodGet, "/demand", nil, 0)
	if err != nil {
		return scalingduty.HostDemand{}, err
	}
	var d scalingduty.HostDemand
	return d, decoding.Unmarshal(raw, &d)
}
