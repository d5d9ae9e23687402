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
	"oleanderfall.example/oleanderfall/internal/transport/confmanager"
	"oleanderfall.example/oleanderfall/internal/transport/gossip"
	"oleanderfall.example/oleanderfall/internal/transport/observe"
	"oleanderfall.example/oleanderfall/internal/transport/viewstream"
)

const (
	// refreshInterval is how often the view is recomposed without a change notification
	// while its content depends on the time: during an outage of the object API and
	// shortly after the start.
	refreshInterval = time.Second
	// followersPerRegion is the number of hosts of a region that poll the host list
	// frequently and follow the stored operator drains.
	followersPerRegion = 2
	// generationRefreshShift makes a host announce an unchanged generation again every
	// 1<<generationRefreshShift seconds.
	generationRefreshShift = 10
)

// service composes the fleet view from the configuration and the gossip state, and
// gossips the reports of this host's data-path programs.
type service struct {
	settings *settings.Process
	log      *slog.Logger
	api      *objectapi.Client
	conf     *confmanager.Manager
	gossip   *gossip.Service
	hub      *viewstream.Hub
	observe  *observe.Service
	drains   *operatorDrains
	hosts    *hostList
	started  time.Time

	cancel  context.CancelFunc
	running sync.WaitGroup
	// announcedVersion is the version of the last gossiped generation item.
	announcedVersion uint64

	mu              sync.Mutex
	stopping        map[string]bool
	listedAddresses []string
	demands         demandFilter
}

func (d *service) start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, run := range []func(context.Context){d.gossip.Run, d.composeLoop, d.observe.Run, d.hosts.Run, d.followDrains, trimMemory} {
		d.running.Add(1)
		go func() {
			defer d.running.Done()
			run(ctx)
		}()
	}
}

// stop announces that this host has left the fleet, then stops the background loops and
// waits for them.
func (d *service) stop(ctx context.Context) {
	if err := d.gossip.Depart(ctx); err != nil {
		d.log.Warn("Departure not announced", "err", err)
	}
	d.cancel()
	d.running.Wait()
}

// composeLoop publishes a view after each change, and every refreshInterval while the
// view depends on the time.
func (d *service) composeLoop(ctx context.Context) {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	outage := false
	d.publish(ctx)
	for {
		select {
		case <-d.conf.Changed():
			d.updateSeeds(ctx)
		case <-d.gossip.Changed():
		case <-tick.C:
			down := d.api.OutageFor() > 0
			if down == outage && !down && !d.recentlyStarted() {
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

// recentlyStarted reports whether views assume that hosts without a membership record
// are alive. It stays true for two more heartbeats, so that a view without the
// assumption is published too.
func (d *service) recentlyStarted() bool {
	return time.Since(d.started) < (assumeAliveHeartbeats+2)*d.settings.Control.Heartbeat
}

func (d *service) publish(ctx context.Context) {
	generation, config := d.conf.Current()
	st := d.gossip.State()
	d.hub.Publish(composeView(viewSources{
		generation:         generation,
		config:             config,
		state:              st,
		outageFor:          d.api.OutageFor(),
		assumeUnknownAlive: time.Since(d.started) < assumeAliveHeartbeats*d.settings.Control.Heartbeat,
	}))
	d.announceGeneration(ctx)
	_ = d.gossip.AddItems(ctx, drains.BindIncarnations(st.Drains, incarnations(st))...)
}

// announceGeneration gossips the generation in force on this host, if it changed or the
// last announcement is due for a refresh.
func (d *service) announceGeneration(ctx context.Context) {
	const generationBits = 32
	g := d.conf.Generation()
	version := uint64(g)<<generationBits | uint64(time.Now().Unix()>>generationRefreshShift)
	if g == 0 || version <= d.announcedVersion {
		return
	}
	d.announcedVersion = version
	_ = d.gossip.AddItems(ctx, items.Item{Kind: items.Generation, Key: string(d.settings.Host.ID), Version: version, Generation: g})
}

// setListedAddresses replaces the seed addresses taken from the platform's host list.
func (d *service) setListedAddresses(ctx context.Context, addresses []string) {
	d.mu.Lock()
	d.listedAddresses = addresses
	d.mu.Unlock()
	d.updateSeeds(ctx)
}

// updateSeeds passes the seed addresses to gossip: those of the settings, the platform's
// host list and the configuration.
func (d *service) updateSeeds(ctx context.Context) {
	d.mu.Lock()
	seeds := append(append([]string(nil), d.settings.Control.Seeds...), d.listedAddresses...)
	d.mu.Unlock()
	if _, config := d.conf.Current(); config != nil {
		for _, h := range config.Hosts {
			seeds = append(seeds, h.Control)
		}
	}
	_ = d.gossip.SetSeeds(ctx, seeds)
}

// isFollower reports whether this host is one of the followersPerRegion hosts that query
// the platform on behalf of their region. Before the first view every host is.
func (d *service) isFollower() bool {
	v := d.hub.View()
	if v == nil {
		return true
	}
	region := d.settings.Host.Region
	var hosts []model.HostID
	for _, m := range v.Members {
		local := m.Host == d.settings.Host.ID
		if local || m.State == model.HostAlive && (v.Config == nil || v.Config.Zones[m.Zone].Region == region) {
			hosts = append(hosts, m.Host)
		}
	}
	for _, h := range membership.RendezvousHosts(hosts, "followers/"+string(region), followersPerRegion) {
		if h == d.settings.Host.ID {
			return true
		}
	}
	return false
}

const followerCheckInterval = 2 * time.Second

// followDrains follows the stored operator drains while this host is a follower.
func (d *service) followDrains(ctx context.Context) {
	tick := time.NewTicker(followerCheckInterval)
	defer tick.Stop()
	var cancelFollow context.CancelFunc
	for {
		switch follower := d.isFollower(); {
		case follower && cancelFollow == nil:
			followCtx, cancel := context.WithCancel(ctx)
			cancelFollow = cancel
			d.running.Add(1)
			go func() {
				defer d.running.Done()
				_ = d.api.Follow(followCtx, drainPrefix, d.drains)
			}()
		case !follower && cancelFollow != nil:
			cancelFollow()
			cancelFollow = nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			if cancelFollow != nil {
				cancelFollow()
			}
			return
		}
	}
}

// knownIncarnation returns the highest known incarnation of an endpoint or a host, 0 if
// none is known.
func (d *service) knownIncarnation(t drains.Target) model.Incarnation {
	return incarnations(d.gossip.State())(t)
}

// knownLoad returns the latest gossiped load item of an endpoint, with its current age.
func (d *service) knownLoad(id model.EndpointID) (items.Item, bool) {
	st := d.gossip.State()
	n, found := slices.BinarySearchFunc(st.Loads, string(id), func(i items.Item, key string) int { return strings.Compare(i.Key, key) })
	if !found {
		return items.Item{}, false
	}
	i := st.Loads[n]
	i.AgeMillis += time.Since(st.At).Milliseconds()
	return i, true
}
