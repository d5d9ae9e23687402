// Package observe is the duty that asks endpoints for their status and load. Each
// endpoint is asked by a few hosts of its region only, chosen by rendezvous hash.
//
// Invariant: what it reports of an endpoint is what the endpoint said of itself.
package observe

import (
	"context"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/drains"
	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// pollInterval is how often one host asks one endpoint; the hosts chosen for an
	// endpoint ask in turn.
	pollInterval = 2 * time.Second
	pollTimeout  = time.Second
	maxPolls     = 32
	// unreachedAfter is the number of failed polls that count as unreached.
	unreachedAfter = 2
	// maxWait is the longest time between two looks at the targets, minWait the
	// shortest.
	maxWait = time.Second
	minWait = 50 * time.Millisecond
)

// Options configures a Duty.
type Options struct {
	Host   model.HostID
	Client *engineapi.Client
	// View returns the present view, nil before the first.
	View func() *model.FleetView
	// Known returns the load of an endpoint as spread by any host, with its age.
	Known func(model.EndpointID) (items.Item, bool)
	// Learn spreads items.
	Learn func(context.Context, ...items.Item) error
}

// Duty is the duty.
type Duty struct {
	opt     Options
	mu      sync.Mutex
	targets map[model.EndpointID]*target
	running sync.WaitGroup
	slots   chan struct{}
	choice  choice
}

// target is one endpoint that this host asks.
type target struct {
	id       model.EndpointID
	endpoint model.Endpoint
	next     time.Time
	busy     bool
	failures int
	spread   spread
}

// New returns a duty.
func New(opt Options) *Duty {
	return &Duty{opt: opt, targets: map[model.EndpointID]*target{}, slots: make(chan struct{}, maxPolls)}
}

// Run asks until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	defer d.running.Wait()
	timer := time.NewTimer(minWait)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(d.tick(ctx, time.Now()))
		case <-ctx.Done():
			return
		}
	}
}

// tick starts the polls that are due and returns how long to wait for the next.
func (d *Duty) tick(ctx context.Context, now time.Time) time.Duration {
	view := d.opt.View()
	if view == nil || view.Config == nil {
		return maxWait
	}
	if shares, changed := d.choice.refresh(now, d.opt.Host, view); changed {
		d.assign(now, view.Config, shares)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	wait := maxWait
	for _, t := range d.targets {
		if !now.Before(t.next) && !t.busy {
			d.startPoll(ctx, now, t)
		}
		wait = min(wait, t.next.Sub(now))
	}
	return max(wait, minWait)
}

// startPoll asks a target in the background if there is room for one more poll.
func (d *Duty) startPoll(ctx context.Context, now time.Time, t *target) {
	select {
	case d.slots <- struct{}{}:
	default:
		return
	}
	t.next = t.next.Add(pollInterval)
	if t.next.Before(now) {
		t.next = now.Add(pollInterval)
	}
	t.busy = true
	d.running.Add(1)
	go d.poll(ctx, t, *t)
}

// assign replaces the targets by this host's shares.
func (d *Duty) assign(now time.Time, config *model.Config, shares []share) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[model.EndpointID]*target, len(shares))
	for _, s := range shares {
		t := d.targets[s.endpoint]
		if t == nil {
			t = &target{id: s.endpoint, next: firstPoll(now, s)}
		}
		t.endpoint = config.Endpoints[s.endpoint]
		t.spread.rank = s.rank
		next[s.endpoint] = t
	}
	d.targets = next
}

// Targets returns the number of endpoints that this host asks.
func (d *Duty) Targets() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.targets)
}

// poll asks a copy of the target, so that a change of shares does not race.
func (d *Duty) poll(ctx context.Context, t *target, was target) {
	defer d.running.Done()
	defer func() { <-d.slots }()
	seen, err := d.ask(ctx, was)
	known, ok := d.opt.Known(was.id)
	d.mu.Lock()
	t.busy = false
	if ok {
		t.spread.hear(time.Now(), known)
	}
	list := t.results(time.Now(), seen, err)
	d.mu.Unlock()
	_ = d.opt.Learn(ctx, list...)
}

// observation is what an endpoint said in one poll.
type observation struct {
	status engineapi.Status
	load   engineapi.Load
}

func (d *Duty) ask(ctx context.Context, t target) (observation, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var o observation
	var err error
	o.status, err = d.opt.Client.Status(ctx, t.endpoint.Address)
	if err != nil || t.endpoint.Kind != model.EndpointEngine {
		return o, err
	}
	o.load, err = d.opt.Client.Load(ctx, t.endpoint.Address)
	return o, err
}

// results returns the items that a poll makes worth spreading.
func (t *target) results(now time.Time, o observation, err error) []items.Item {
	if err != nil {
		t.failures++
		if t.failures < unreachedAfter {
			return nil
		}
		return t.spread.load(now, t.id, items.LoadFact{Unreached: true, Incarnation: t.spread.last.Incarnation}, 0)
	}
	t.failures = 0
	fact := items.LoadFact{
		Running:     o.load.Running,
		Queued:      o.load.Queued,
		Version:     o.status.Version,
		Incarnation: o.status.Incarnation,
	}
	list := t.spread.load(now, t.id, fact, time.Duration(o.load.AgeMillis)*time.Millisecond)
	if o.status.Leaving {
		e := drains.EvidenceItem(drains.Target{Endpoint: t.id}, o.status.Incarnation, model.DrainFromEndpoint)
		list = append(list, e)
	}
	return list
}
