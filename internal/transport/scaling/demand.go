package scaling

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/scaling"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// gatherTimeout bounds the calls for the demand of other hosts. A live host answers in a few
	// milliseconds.
	gatherTimeout = 500 * time.Millisecond
	// demandTTL is how long a host's last answer counts if it gives no new one.
	demandTTL = 3 * time.Second
	// fullShare is the share of a service's slots in use from which waiting requests are taken for a
	// lack of slots at all hosts. Below it they wait for the share of their own host.
	fullShare = 0.8
	// listTTL is the age beyond which the list of endpoints is outdated. It is read every 0.45 s.
	listTTL = 3 * time.Second
)

// HostDemand is the demand that one host knows, by service. It is a message between hosts: fields
// are only added, and a missing one means zero.
type HostDemand struct {
	Services map[string]ServiceDemand `cbor:"1,keyasint"`
}

// ServiceDemand is the demand for a service that one host knows.
type ServiceDemand struct {
	// Samples is the number of samples of the host's batches that run at endpoints, Due the number
	// of slots with which its unfinished samples end in time.
	Samples int `cbor:"1,keyasint,omitempty"`
	Due     int `cbor:"2,keyasint,omitempty"`
	// Waiting is the number of requests that wait for a slot at the host.
	Waiting int `cbor:"3,keyasint,omitempty"`
}

// Demands is the demand that the asked hosts know together.
type Demands struct {
	services map[string]ServiceDemand
	// waitingFactor is the number of hosts for each one that was asked: callers choose hosts at
	// random.
	waitingFactor float64
	// unknown is set if a host that runs batches did not answer for demandTTL.
	unknown bool
}

// Gatherer is the Source of a host. All fields up to Registry must be set.
type Gatherer struct {
	// Host is the name of this host.
	Host   string
	Config func() *catalog.Config
	// WithTable calls its argument with the table of endpoints while holding its lock.
	WithTable func(func(*placement.Table))
	// BatchHosts returns the hosts that run batches. It may contain this host.
	BatchHosts func() []string
	// HostCount returns the number of live hosts including this one.
	HostCount func() int
	// Own returns this host's demand, Ask that of another host.
	Own func() HostDemand
	Ask func(ctx context.Context, host string) (HostDemand, error)
	// ListReadAt returns the boot time at which the list of endpoints in use was read, zero if none
	// was.
	ListReadAt func() time.Duration
	// CutOff reports whether this host has lost its links to all endpoints.
	CutOff    func() bool
	SinceBoot func() time.Duration

	mu   sync.Mutex
	last map[string]answer
	// failures counts failed calls for demand. It is nil unless Register was called.
	failures prometheus.Counter
}

// answer is the last answer of a host, and the boot time at which it was asked.
type answer struct {
	demand HostDemand
	at     time.Duration
}

// Register registers the gatherer's metrics.
func (g *Gatherer) Register(reg prometheus.Registerer) {
	g.failures = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "oleander_scaling_demand_failures_total", Help: "Failed calls for the demand of another host.",
	})
	reg.MustRegister(g.failures)
}

// Services implements Source.
func (g *Gatherer) Services() []catalog.Service {
	if config := g.Config(); config != nil {
		return config.Services
	}
	return nil
}

// Gather implements Source. Hosts of builds that do not know the call count as hosts that do not
// answer: their samples then count as callers' requests, and no fewer endpoints are ordered.
func (g *Gatherer) Gather(ctx context.Context) Demands {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	hosts, now := g.BatchHosts(), g.SinceBoot()
	var calls sync.WaitGroup
	for _, host := range hosts {
		if host == g.Host {
			continue
		}
		calls.Go(func() {
			d, err := g.Ask(ctx, host)
			if err != nil {
				if g.failures != nil {
					g.failures.Inc()
				}
				return
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.last == nil {
				g.last = map[string]answer{}
			}
			g.last[host] = answer{d, now}
		})
	}
	calls.Wait()
	out := Demands{services: map[string]ServiceDemand{}}
	out.add(g.Own())
	asked := 1
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := map[string]answer{}
	for _, host := range hosts {
		if host == g.Host {
			continue
		}
		a, ok := g.last[host]
		if !ok || now-a.at > demandTTL {
			out.unknown = true
			continue
		}
		kept[host] = a
		out.add(a.demand)
		asked++
	}
	g.last = kept
	out.waitingFactor = max(1, float64(g.HostCount())/float64(asked))
	return out
}

func (d *Demands) add(h HostDemand) {
	for name, s := range h.Services {
		sum := d.services[name]
		sum.Samples, sum.Due, sum.Waiting = sum.Samples+s.Samples, sum.Due+s.Due, sum.Waiting+s.Waiting
		d.services[name] = sum
	}
}

// Input implements Source. Without a list of endpoints, any order might be one for fewer.
func (g *Gatherer) Input(service string, d Demands) (in scaling.Input, ok bool) {
	readAt := g.ListReadAt()
	if readAt == 0 {
		return scaling.Input{}, false
	}
	demand := d.services[service]
	in = scaling.Input{Now: g.SinceBoot(), DemandUnknown: d.unknown}
	in.Outdated = in.Now-readAt > listTTL
	cutOff, now, running, slots := g.CutOff(), time.Now(), 0, 0
	g.WithTable(func(t *placement.Table) {
		slots, _, _ = t.SlotUsage(now, service)
		for _, e := range t.All() {
			if e.Service != service {
				continue
			}
			running += t.InFlight(e.ID)
			in.Endpoints = append(in.Endpoints, scaling.Endpoint{
				Place: scaling.Place{Zone: e.Zone, Spot: e.Spot}, Instance: placement.InstanceKey(&e), Slots: e.Slots, Leaving: e.Draining,
				Unreachable: !cutOff && t.IsUnreachable(now, e.ID),
			})
		}
	})
	in.Demand = scaling.Demand{Running: max(running-demand.Samples, 0), Waiting: demand.Waiting, Due: demand.Due}
	if float64(running) >= fullShare*float64(slots) {
		// A few requests that wait at few hosts say little about the others, so no more than run.
		all := int(math.Round(float64(demand.Waiting) * d.waitingFactor))
		in.Demand.Waiting = max(demand.Waiting, min(all, running))
	}
	return in, true
}
