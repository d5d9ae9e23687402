package control

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/drains"
	"oleanderfall.example/oleanderfall/internal/coordination/membership"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/confduty"
	"oleanderfall.example/oleanderfall/internal/transport/feed"
	"oleanderfall.example/oleanderfall/internal/transport/gossip"
	"oleanderfall.example/oleanderfall/internal/transport/observe"
)

const (
	// refreshInterval is how often the view is composed anew without a change, for
	// what only time changes in it.
	refreshInterval = time.Second
	// followers is the number of hosts of a region that read the host list often and
	// follow the operators' drains.
	followers = 2
	// generationRefresh is the granularity, as a shift of seconds, at which a host
	// repeats its generation.
	generationRefresh = 10
)

// duty composes the fleet view from the configuration and from what gossip knows,
// and hands on what the programs of this host report.
type duty struct {
	settings *settings.Process
	log      *slog.Logger
	api      *objectapi.Client
	conf     *confduty.Duty
	gossip   *gossip.Duty
	hub      *feed.Hub
	observe  *observe.Duty
	drains   *operatorDrains
	hosts    *hostList
	started  time.Time

	cancel  context.CancelFunc
	running sync.WaitGroup
	// announced is the version of the generation item last spread.
	announced uint64

	mu       sync.Mutex
	stopping map[string]bool
	listed   []string
	demands  demandSpread
}

func (d *duty) start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, run := range []func(context.Context){d.gossip.Run, d.compose, d.observe.Run, d.hosts.Run, d.followDrains, trimMemory} {
		d.running.Add(1)
		go func() {
			defer d.running.Done()
			run(ctx)
		}()
	}
}

// stop announces that this host leaves before its duties end.
func (d *duty) stop(ctx context.Context) {
	if err := d.gossip.Depart(ctx); err != nil {
		d.log.Warn("Leave not announced.", "err", err)
	}
	d.cancel()
	d.running.Wait()
}

// compose publishes a view after each change and now and then.
func (d *duty) compose(ctx context.Context) {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	outage := false
	d.publish(ctx)
	for {
		select {
		case <-d.conf.Changed():
			d.join(ctx)
		case <-d.gossip.Changed():
		case <-tick.C:
			down := d.api.OutageFor() > 0
			if down == outage && !down && !d.settling() {
				d.announceGeneration(ctx)
				continue
			}
			outage = down
		case <-ctx.Done():
			return
		}
		d.publish(ctx)
	}
}

// settling says that this host has just started and may not have heard of others.
func (d *duty) settling() bool {
	return time.Since(d.started) < (unknownHeartbeats+2)*d.settings.Control.Heartbeat
}

func (d *duty) publish(ctx context.Context) {
	generation, config := d.conf.Current()
	st := d.gossip.State()
	d.hub.Publish(compose(sources{
		generation:   generation,
		config:       config,
		state:        st,
		outageFor:    d.api.OutageFor(),
		trustUnknown: time.Since(d.started) < unknownHeartbeats*d.settings.Control.Heartbeat,
	}))
	d.announceGeneration(ctx)
	_ = d.gossip.Learn(ctx, drains.BindIncarnations(st.Drains, incarnations(st))...)
}

// announceGeneration spreads which generation this host has in force.
func (d *duty) announceGeneration(ctx context.Context) {
	const generationBits = 32
	g := d.conf.Generation()
	version := uint64(g)<<generationBits | uint64(time.Now().Unix()>>generationRefresh)
	if g == 0 || version <= d.announced {
		return
	}
	d.announced = version
	_ = d.gossip.Learn(ctx, items.Item{Kind: items.Generation, Key: string(d.settings.Host.ID), Version: version, Generation: g})
}

// setListed replaces the addresses that the platform's host list names.
func (d *duty) setListed(ctx context.Context, listed []string) {
	d.mu.Lock()
	d.listed = listed
	d.mu.Unlock()
	d.join(ctx)
}

// join sets the addresses to join through: those of the settings, of the platform's
// host list and of the configuration.
func (d *duty) join(ctx context.Context) {
	d.mu.Lock()
	seeds := append(append([]string(nil), d.settings.Control.Seeds...), d.listed...)
	d.mu.Unlock()
	if _, config := d.conf.Current(); config != nil {
		for _, h := range config.Hosts {
			seeds = append(seeds, h.Control)
		}
	}
	_ = d.gossip.SetSeeds(ctx, seeds)
}

// isFollower says whether this host is one of those of its region that ask the
// platform on behalf of the others.
func (d *duty) isFollower() bool {
	v := d.hub.View()
	if v == nil {
		return true
	}
	region := d.settings.Host.Region
	var hosts []model.HostID
	for _, m := range v.Members {
		here := m.Host == d.settings.Host.ID
		if here || m.State == model.HostAlive && (v.Config == nil || v.Config.Zones[m.Zone].Region == region) {
			hosts = append(hosts, m.Host)
		}
	}
	for _, h := range membership.RendezvousHosts(hosts, "followers/"+string(region), followers) {
		if h == d.settings.Host.ID {
			return true
		}
	}
	return false
}

const followCheck = 2 * time.Second

// followDrains follows the stored drains while this host is a follower.
func (d *duty) followDrains(ctx context.Context) {
	tick := time.NewTicker(followCheck)
	defer tick.Stop()
	var end context.CancelFunc
	for {
		switch follower := d.isFollower(); {
		case follower && end == nil:
			following, cancel := context.WithCancel(ctx)
			end = cancel
			d.running.Add(1)
			go func() {
				defer d.running.Done()
				_ = d.api.Follow(following, drainPrefix, d.drains)
			}()
		case !follower && end != nil:
			end()
			end = nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			if end != nil {
				end()
			}
			return
		}
	}
}

// known returns the highest known incarnation of an endpoint or a host.
func (d *duty) known(t drains.Target) model.Incarnation { return incarnations(d.gossip.State())(t) }

// knownLoad returns the load item of an endpoint that is known by now, with its
// present age.
func (d *duty) knownLoad(id model.EndpointID) (items.Item, bool) {
	st := d.gossip.State()
	n, found := slices.BinarySearchFunc(st.Loads, string(id), func(i items.Item, key string) int { return strings.Compare(i.Key, key) })
	if !found {
		return items.Item{}, false
	}
	i := st.Loads[n]
	i.AgeMillis += time.Since(st.At).Milliseconds()
	return i, true
}
