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
	// maxSeedRounds limits how often the seeds are queried at startup until one of them
	// has a generation. Later generations are reported by heartbeats.
	maxSeedRounds             = 10
	garbageCollectionInterval = 10 * time.Minute
)

// fetchHinted fetches the generations reported by hints.
func (d *Manager) fetchHinted(ctx context.Context) {
	for {
		h, err := d.hints.Pop(ctx)
		if err != nil {
			return
		}
		if h.generation <= d.Generation() {
			continue
		}
		if err := d.fetchFrom(ctx, h); err != nil && ctx.Err() == nil {
			d.metrics.failures.Inc()
			d.log.Warn("Failed to fetch generation", "generation", h.generation, "from", h.from, "err", err)
		}
	}
}

// fetchFromSeeds fetches the highest generation that the seeds have, so that a host that
// starts during an object API outage gets a configuration.
func (d *Manager) fetchFromSeeds(ctx context.Context) {
	delay := minRefetchDelay
	for range maxSeedRounds {
		for _, address := range d.opt.Seeds {
			if address != d.opt.Mesh.Address() {
				_ = d.fetchPeer(ctx, address)
			}
		}
		if d.Generation() > 0 || ctx.Err() != nil {
			return
		}
		clock.Sleep(ctx, d.jitter(delay))
		delay = min(2*delay, maxRefetchDelay)
	}
}

func (d *Manager) fetchFrom(ctx context.Context, h hint) error {
	if h.from != "" {
		return d.fetchPeer(ctx, h.from)
	}
	root, _, err := d.storage.readRoot(ctx)
	if err != nil {
		return err
	}
	return d.applyRoot(ctx, root)
}

// fetchPeer fetches the generation in force at a peer.
func (d *Manager) fetchPeer(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply wire.ConfigReply
	if err := d.opt.Mesh.Call(ctx, address, wire.MethodConfig, wire.ConfigRequest{Packed: true}, &reply); err != nil {
		return err
	}
	if reply.Generation <= d.Generation() {
		return nil
	}
	held, err := unpack(reply.Generation, reply.Digest, reply.Packed)
	if err != nil {
		return err
	}
	d.offer(held, "peer")
	return nil
}

// applyRoot reads the content that a root refers to and puts it in force.
func (d *Manager) applyRoot(ctx context.Context, root confstore.Root) error {
	d.store.SetRootIfNewer(root)
	if root.Generation <= d.Generation() {
		return nil
	}
	held, err := d.storage.readGeneration(ctx, root.Generation, root.Digest, root.Chunks)
	if err != nil {
		return err
	}
	d.offer(held, "object_api")
	return nil
}

// followRoot tracks the root. The few watcher hosts of a region use a watch; the others
// poll at a long interval, since their peers report changes sooner.
func (d *Manager) followRoot(ctx context.Context) {
	d.pollRoot(ctx)
	nextPoll := d.now().Add(d.jitter(d.opt.PollInterval))
	for ctx.Err() == nil {
		if d.watchRank() < confgen.WatchersPerRegion {
			d.watch(ctx)
			continue
		}
		clock.Sleep(ctx, min(d.jitter(watcherCheckInterval), d.opt.PollInterval))
		if d.now().After(nextPoll) {
			d.pollRoot(ctx)
			nextPoll = d.now().Add(d.jitter(d.opt.PollInterval))
		}
	}
}

func (d *Manager) pollRoot(ctx context.Context) {
	if err := d.fetchFrom(ctx, hint{}); err != nil && ctx.Err() == nil {
		d.metrics.failures.Inc()
		d.log.Warn("Failed to read configuration root", "err", err)
	}
}

// watchRank returns this host's rank among the hosts of its region that may watch; ranks
// below confgen.WatchersPerRegion are watchers.
func (d *Manager) watchRank() int {
	d.mu.Lock()
	listMembers := d.members
	d.mu.Unlock()
	_, config := d.Current()
	regionOf := func(z model.ZoneID) model.RegionID {
		if config == nil {
			return d.opt.Region
		}
		return config.Zones[z].Region
	}
	return confgen.WatchRank(d.opt.Host, d.ownRegion(config), listMembers(), regionOf)
}

func (d *Manager) ownRegion(config *model.Config) model.RegionID {
	if config != nil {
		if zone, ok := config.Zones[d.opt.Zone]; ok {
			return zone.Region
		}
	}
	return d.opt.Region
}

// watch watches the root until this host is no longer a watcher.
func (d *Manager) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	roots := make(chan confstore.Root, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.opt.API.Follow(ctx, confgen.RootKey, &rootHandler{duty: d, roots: roots})
	}()
	d.metrics.watching.Set(1)
	d.applyRoots(ctx, roots)
	d.metrics.watching.Set(0)
	cancel()
	<-done
}

// applyRoots applies each root received, and retries a root whose content cannot be read.
func (d *Manager) applyRoots(ctx context.Context, roots <-chan confstore.Root) {
	watcherCheck := time.NewTicker(watcherCheckInterval)
	defer watcherCheck.Stop()
	var latest confstore.Root
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	delay := minRefetchDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-watcherCheck.C:
			if d.watchRank() >= confgen.WatchersPerRegion {
				return
			}
			continue
		case latest = <-roots:
			delay = minRefetchDelay
		case <-retry.C:
		}
		if err := d.applyRoot(ctx, latest); err != nil && ctx.Err() == nil {
			d.metrics.failures.Inc()
			d.log.Error("Failed to read generation content; the previous generation stays in force", "generation", latest.Generation, "err", err)
			retry.Reset(d.jitter(delay))
			delay = min(2*delay, maxRefetchDelay)
		}
	}
}

// rootHandler forwards the newest root and discards an older one that was not read yet.
type rootHandler struct {
	duty  *Manager
	roots chan confstore.Root
}

// Reset implements objectapi.Handler.
func (h *rootHandler) Reset(objects []objectapi.Object) {
	for _, o := range objects {
		h.receive(o)
	}
}

// Change implements objectapi.Handler.
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
		h.duty.log.Error("Failed to decode configuration root", "err", err)
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
func (d *Manager) runGarbageCollection(ctx context.Context) {
	for {
		clock.Sleep(ctx, d.jitter(garbageCollectionInterval))
		if ctx.Err() != nil {
			return
		}
		if d.watchRank() > 0 {
			continue
		}
		if err := d.collectGarbage(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn("Failed to remove old content", "err", err)
		}
	}
}

func (d *Manager) collectGarbage(ctx context.Context) error {
	root, _, err := d.storage.readRoot(ctx)
	if err != nil {
		return err
	}
	removed, err := d.storage.deleteGarbage(ctx, root)
	if removed > 0 {
		d.log.Info("Removed old content", "objects", removed)
	}
	return err
}
