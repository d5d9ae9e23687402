package confmanager

import (
	"context"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/confgen"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/confstore"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
)

const (
	peerTimeout = 2 * time.Second
	// watcherCheckInterval is how often the host checks whether it is a watcher.
	watcherCheckInterval = 2 * time.Second
	// minRefetchDelay and maxRefetchDelay bound the delay before content that could not be
	// read is requested again.
	minRefetchDelay = 200 * time.Millisecond
	maxRefetchDelay = 10 * time.Second
	// maxSeedRounds limits the rounds in which all seeds are queried at startup until one of
	// them has a generation. Later generations are reported by heartbeats.
	maxSeedRounds             = 10
	garbageCollectionInterval = 10 * time.Minute
)

// fetchReported fetches the generations that NotifyGeneration reported.
func (m *Manager) fetchReported(ctx context.Context) {
	for {
		reported, err := m.reports.Pop(ctx)
		if err != nil {
			return
		}
		if reported.generation <= m.Generation() {
			continue
		}
		if err := m.fetchFrom(ctx, reported); err != nil && ctx.Err() == nil {
			m.metrics.fetchFailures.Inc()
			m.log.Warn("Failed to fetch generation", "generation", reported.generation, "from", reported.from, "err", err)
		}
	}
}

// fetchFromSeeds fetches the highest generation that the seeds have, so that a host that
// starts during an object API outage gets a configuration.
func (m *Manager) fetchFromSeeds(ctx context.Context) {
	delay := minRefetchDelay
	for range maxSeedRounds {
		for _, address := range m.opt.Seeds {
			if address != m.opt.Mesh.Address() {
				_ = m.fetchPeer(ctx, address)
			}
		}
		if m.Generation() > 0 || ctx.Err() != nil {
			return
		}
		clock.Sleep(ctx, m.jitter(delay))
		delay = min(2*delay, maxRefetchDelay)
	}
}

// fetchFrom fetches the reported generation, or a newer one, from the peer that has it. A
// report without an address stands for the generation of the root in the object API.
func (m *Manager) fetchFrom(ctx context.Context, reported generationReport) error {
	if reported.from != "" {
		return m.fetchPeer(ctx, reported.from)
	}
	root, _, err := m.storage.readRoot(ctx)
	if err != nil {
		return err
	}
	return m.applyRoot(ctx, root)
}

// fetchPeer fetches the generation in force at a peer and puts it in force if it is newer.
func (m *Manager) fetchPeer(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply wire.ConfigReply
	if err := m.opt.Mesh.Call(ctx, address, wire.MethodConfig, wire.ConfigRequest{Packed: true}, &reply); err != nil {
		return err
	}
	if reply.Generation <= m.Generation() {
		return nil
	}
	snapshot, err := unpack(reply.Generation, reply.Digest, reply.Packed)
	if err != nil {
		return err
	}
	m.putInForce(snapshot, "peer")
	return nil
}

// applyRoot reads the content that a root refers to and puts it in force.
func (m *Manager) applyRoot(ctx context.Context, root confstore.Root) error {
	m.store.SetRootIfNewer(root)
	if root.Generation <= m.Generation() {
		return nil
	}
	snapshot, err := m.storage.readGeneration(ctx, root.Generation, root.Digest, root.Chunks)
	if err != nil {
		return err
	}
	m.putInForce(snapshot, "object_api")
	return nil
}

// followRoot tracks the root. The few watcher hosts of a region use a watch; the others
// poll at a long interval, since their peers report changes sooner.
func (m *Manager) followRoot(ctx context.Context) {
	m.pollRoot(ctx)
	nextPoll := m.now().Add(m.jitter(m.opt.PollInterval))
	for ctx.Err() == nil {
		if m.watchRank() < confgen.WatchersPerRegion {
			m.watch(ctx)
			continue
		}
		clock.Sleep(ctx, min(m.jitter(watcherCheckInterval), m.opt.PollInterval))
		if m.now().After(nextPoll) {
			m.pollRoot(ctx)
			nextPoll = m.now().Add(m.jitter(m.opt.PollInterval))
		}
	}
}

func (m *Manager) pollRoot(ctx context.Context) {
	if err := m.fetchFrom(ctx, generationReport{}); err != nil && ctx.Err() == nil {
		m.metrics.fetchFailures.Inc()
		m.log.Warn("Failed to read configuration root", "err", err)
	}
}

// watchRank returns this host's rank among the hosts of its region that may watch; ranks
// below confgen.WatchersPerRegion are watchers.
func (m *Manager) watchRank() int {
	m.mu.Lock()
	listMembers := m.members
	m.mu.Unlock()
	_, config := m.Current()
	regionOf := func(z model.ZoneID) model.RegionID {
		if config == nil {
			return m.opt.Region
		}
		return config.Zones[z].Region
	}
	return confgen.WatchRank(m.opt.Host, m.ownRegion(config), listMembers(), regionOf)
}

func (m *Manager) ownRegion(config *model.Config) model.RegionID {
	if config != nil {
		if zone, ok := config.Zones[m.opt.Zone]; ok {
			return zone.Region
		}
	}
	return m.opt.Region
}

// watch watches the root until this host is no longer a watcher.
func (m *Manager) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	roots := make(chan confstore.Root, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.opt.API.Follow(ctx, confgen.RootKey, &rootHandler{manager: m, roots: roots})
	}()
	m.metrics.watching.Set(1)
	m.applyRoots(ctx, roots)
	m.metrics.watching.Set(0)
	cancel()
	<-done
}

// applyRoots applies each root received, and retries a root whose content cannot be read.
func (m *Manager) applyRoots(ctx context.Context, roots <-chan confstore.Root) {
	watcherCheck := time.NewTicker(watcherCheckInterval)
	defer watcherCheck.Stop()
	var latest confstore.Root
	// retry is reset after a failed read. If it expires without a failure, it applies the
	// latest root again, which has no effect.
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	delay := minRefetchDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-watcherCheck.C:
			if m.watchRank() >= confgen.WatchersPerRegion {
				return
			}
			continue
		case latest = <-roots:
			delay = minRefetchDelay
		case <-retry.C:
		}
		if err := m.applyRoot(ctx, latest); err != nil && ctx.Err() == nil {
			m.metrics.fetchFailures.Inc()
			m.log.Error("Failed to read generation content; the previous generation stays in force", "generation", latest.Generation, "err", err)
			retry.Reset(m.jitter(delay))
			delay = min(2*delay, maxRefetchDelay)
		}
	}
}

// rootHandler forwards the newest root and discards an older one that was not read yet.
type rootHandler struct {
	manager *Manager
	roots   chan confstore.Root
}

// Reset implements objectapi.ChangeHandler.
func (h *rootHandler) Reset(objects []objectapi.Object) {
	for _, o := range objects {
		h.receive(o)
	}
}

// Change implements objectapi.ChangeHandler.
func (h *rootHandler) Change(e objectapi.Event) {
	if !e.Deleted {
		h.receive(e.Object)
	}
}

func (h *rootHandler) receive(o objectapi.Object) {
	if o.Key != confgen.RootKey {
		return
	}
	root, err := decodeRoot(o.Value)
	if err != nil {
		h.manager.log.Error("Failed to decode configuration root", "err", err)
		return
	}
	select {
	case <-h.roots:
	default:
	}
	h.roots <- root
}

// runGarbageCollection periodically removes old content. It does so only on the first
// watcher of each region.
func (m *Manager) runGarbageCollection(ctx context.Context) {
	for {
		clock.Sleep(ctx, m.jitter(garbageCollectionInterval))
		if ctx.Err() != nil {
			return
		}
		if m.watchRank() > 0 {
			continue
		}
		if err := m.collectGarbage(ctx); err != nil && ctx.Err() == nil {
			m.log.Warn("Failed to remove old content", "err", err)
		}
	}
}

func (m *Manager) collectGarbage(ctx context.Context) error {
	root, _, err := m.storage.readRoot(ctx)
	if err != nil {
		return err
	}
	removed, err := m.storage.deleteGarbage(ctx, root)
	if removed > 0 {
		m.log.Info("Removed old content", "objects", removed)
	}
	return err
}
