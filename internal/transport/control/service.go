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
	settings *settings.LocalSettings
	log      *slog.Logger
	api      *objectapi.Client
	conf     *confmanager.Manager
	gossip   *gossip.Service
	hub      *viewstream.Hub
	observe  *observe.Service
	drains   *operatorDrains
	hostList *hostList
	started  time.Time

	cancel  context.CancelFunc
	running sync.WaitGroup
	// announcedVersion is the version of the last gossiped generation item.
	announcedVersion uint64

	mu sync.Mutex
	// stopping holds the data-path programs of this host that are stopping.
	stopping map[string]bool
	// entryReady and entryReportedAt are the state and time of the last report of the entry
	// program.
	entryReady      bool
	entryReportedAt time.Time
	listedAddresses []string
	demands         demandFilter
}

func (s *service) start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, run := range []func(context.Context){s.gossip.Run, s.composeLoop, s.observe.Run, s.hostList.Run, s.followDrains, trimMemory} {
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			run(ctx)
		}()
	}
}

// stop announces that this host has left the fleet, then stops the background loops and
// waits for them.
func (s *service) stop(ctx context.Context) {
	if err := s.gossip.Depart(ctx); err != nil {
		s.log.Warn("Failed to announce departure", "err", err)
	}
	s.cancel()
	s.running.Wait()
}

// composeLoop publishes a view after each change, and every refreshInterval while the
// view depends on the time.
func (s *service) composeLoop(ctx context.Context) {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	outage := false
	s.publish(ctx)
	for {
		select {
		case <-s.conf.Changed():
			s.updateSeeds(ctx)
		case <-s.gossip.Changed():
		case <-tick.C:
			s.expireEntryReport(ctx, time.Now())
			down := s.api.OutageFor() > 0
			if down == outage && !down && !s.recentlyStarted() {
				s.announceGeneration(ctx)
				continue
			}
			outage = down
		case <-ctx.Done():
			return
		}
		s.publish(ctx)
	}
}

// recentlyStarted reports whether views assume that hosts without a membership record
// are alive, or did so within the last two heartbeat intervals. The two intervals ensure
// that a view without the assumption is published too.
func (s *service) recentlyStarted() bool {
	return time.Since(s.started) < (assumeAliveHeartbeats+2)*s.settings.Control.Heartbeat
}

// publish composes and publishes a view. Drains that were raised before the incarnation of
// their target was known are gossiped again with that incarnation once it is known.
func (s *service) publish(ctx context.Context) {
	generation, config := s.conf.Current()
	st := s.gossip.State()
	s.hub.Publish(composeView(viewSources{
		generation:         generation,
		config:             config,
		state:              st,
		outageFor:          s.api.OutageFor(),
		assumeUnknownAlive: time.Since(s.started) < assumeAliveHeartbeats*s.settings.Control.Heartbeat,
	}))
	s.announceGeneration(ctx)
	_ = s.gossip.AddItems(ctx, drains.BindIncarnations(st.Drains, incarnations(st))...)
}

// announceGeneration gossips the generation in force on this host, if it changed or the
// last announcement is due for a refresh.
func (s *service) announceGeneration(ctx context.Context) {
	const generationBits = 32
	g := s.conf.Generation()
	version := uint64(g)<<generationBits | uint64(time.Now().Unix()>>generationRefreshShift)
	if g == 0 || version <= s.announcedVersion {
		return
	}
	s.announcedVersion = version
	_ = s.gossip.AddItems(ctx, items.Item{Kind: items.Generation, Key: string(s.settings.Host.ID), Version: version, Generation: g})
}

// setListedAddresses replaces the seed addresses taken from the platform's host list.
func (s *service) setListedAddresses(ctx context.Context, addresses []string) {
	s.mu.Lock()
	s.listedAddresses = addresses
	s.mu.Unlock()
	s.updateSeeds(ctx)
}

// updateSeeds passes the seed addresses to gossip: those of the settings, the platform's
// host list and the configuration.
func (s *service) updateSeeds(ctx context.Context) {
	s.mu.Lock()
	seeds := append(append([]string(nil), s.settings.Control.Seeds...), s.listedAddresses...)
	s.mu.Unlock()
	if _, config := s.conf.Current(); config != nil {
		for _, h := range config.Hosts {
			seeds = append(seeds, h.Control)
		}
	}
	_ = s.gossip.SetSeeds(ctx, seeds)
}

// isFollower reports whether this host is one of the followersPerRegion hosts that query
// the platform on behalf of their region. Before the first view every host is.
func (s *service) isFollower() bool {
	v := s.hub.View()
	if v == nil {
		return true
	}
	region := s.settings.Host.Region
	var hosts []model.HostID
	for _, m := range v.Members {
		local := m.Host == s.settings.Host.ID
		if local || m.State == model.HostAlive && (v.Config == nil || v.Config.Zones[m.Zone].Region == region) {
			hosts = append(hosts, m.Host)
		}
	}
	for _, h := range membership.RendezvousHosts(hosts, "followers/"+string(region), followersPerRegion) {
		if h == s.settings.Host.ID {
			return true
		}
	}
	return false
}

const followerCheckInterval = 2 * time.Second

// followDrains follows the stored operator drains while this host is a follower.
func (s *service) followDrains(ctx context.Context) {
	tick := time.NewTicker(followerCheckInterval)
	defer tick.Stop()
	var cancelFollow context.CancelFunc
	for {
		switch follower := s.isFollower(); {
		case follower && cancelFollow == nil:
			followCtx, cancel := context.WithCancel(ctx)
			cancelFollow = cancel
			s.running.Add(1)
			go func() {
				defer s.running.Done()
				_ = s.api.Follow(followCtx, drainPrefix, s.drains)
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
func (s *service) knownIncarnation(t drains.Target) model.Incarnation {
	return incarnations(s.gossip.State())(t)
}

// knownLoad returns the latest gossiped load item of an endpoint, with its current age.
func (s *service) knownLoad(id model.EndpointID) (items.Item, bool) {
	st := s.gossip.State()
	n, found := slices.BinarySearchFunc(st.Loads, string(id), func(i items.Item, key string) int { return strings.Compare(i.Key, key) })
	if !found {
		return items.Item{}, false
	}
	i := st.Loads[n]
	i.AgeMillis += time.Since(st.At).Milliseconds()
	return i, true
}
