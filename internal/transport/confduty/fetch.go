package confduty

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
	// roleInterval separates two looks at whether this host is a watcher.
	roleInterval = 2 * time.Second
	// firstRefetch and maxRefetch bound the delay before content that could not be
	// read is asked for again.
	firstRefetch = 200 * time.Millisecond
	maxRefetch   = 10 * time.Second
	// seedRounds is how often the seeds are asked at the start, until one has a
	// generation; later ones are heard of by heartbeats.
	seedRounds      = 10
	collectInterval = 10 * time.Minute
)

// fetch gets the generations that were heard of.
func (d *Duty) fetch(ctx context.Context) {
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
			d.log.Warn("Generation not fetched.", "generation", h.generation, "from", h.from, "err", err)
		}
	}
}

// askSeeds takes the highest generation that the seeds hold, so that a host that
// starts in an outage of the object API has a configuration.
func (d *Duty) askSeeds(ctx context.Context) {
	delay := firstRefetch
	for range seedRounds {
		for _, address := range d.opt.Seeds {
			if address != d.opt.Mesh.Address() {
				_ = d.fetchPeer(ctx, address)
			}
		}
		if d.Generation() > 0 || ctx.Err() != nil {
			return
		}
		clock.Sleep(ctx, d.jitter(delay))
		delay = min(2*delay, maxRefetch)
	}
}

func (d *Duty) fetchFrom(ctx context.Context, h hint) error {
	if h.from != "" {
		return d.fetchPeer(ctx, h.from)
	}
	root, _, err := d.storage.readRoot(ctx)
	if err != nil {
		return err
	}
	return d.takeRoot(ctx, root)
}

// fetchPeer takes the generation in force at a peer.
func (d *Duty) fetchPeer(ctx context.Context, address string) error {
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

// takeRoot reads the content that a root names and puts it in force.
func (d *Duty) takeRoot(ctx context.Context, root confstore.Root) error {
	d.store.SawRoot(root)
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

// follow keeps up with the root: by a watch on the few hosts that hold one, by a
// slow poll on the others, which hear of changes from their peers.
func (d *Duty) follow(ctx context.Context) {
	d.pollRoot(ctx)
	nextPoll := d.now().Add(d.jitter(d.opt.PollInterval))
	for ctx.Err() == nil {
		if d.rank() < confgen.WatchersPerRegion {
			d.watch(ctx)
			continue
		}
		clock.Sleep(ctx, min(d.jitter(roleInterval), d.opt.PollInterval))
		if d.now().After(nextPoll) {
			d.pollRoot(ctx)
			nextPoll = d.now().Add(d.jitter(d.opt.PollInterval))
		}
	}
}

func (d *Duty) pollRoot(ctx context.Context) {
	if err := d.fetchFrom(ctx, hint{}); err != nil && ctx.Err() == nil {
		d.metrics.failures.Inc()
		d.log.Warn("Root not read.", "err", err)
	}
}

// rank is this host's place among the hosts of its region that may watch.
func (d *Duty) rank() int {
	d.mu.Lock()
	list := d.members
	d.mu.Unlock()
	_, config := d.Current()
	regionOf := func(z model.ZoneID) model.RegionID {
		if config == nil {
			return d.opt.Region
		}
		return config.Zones[z].Region
	}
	return confgen.WatchRank(d.opt.Host, d.ownRegion(config), list(), regionOf)
}

func (d *Duty) ownRegion(config *model.Config) model.RegionID {
	if config != nil {
		if zone, ok := config.Zones[d.opt.Zone]; ok {
			return zone.Region
		}
	}
	return d.opt.Region
}

// watch follows the root until this host is no watcher any more.
func (d *Duty) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	roots := make(chan confstore.Root, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.opt.API.Follow(ctx, confgen.RootKey, &rootHandler{duty: d, roots: roots})
	}()
	d.metrics.watching.Set(1)
	d.serveRoots(ctx, roots)
	d.metrics.watching.Set(0)
	cancel()
	<-done
}

// serveRoots takes each root seen, repeating one whose content cannot be read.
func (d *Duty) serveRoots(ctx context.Context, roots <-chan confstore.Root) {
	role := time.NewTicker(roleInterval)
	defer role.Stop()
	var wanted confstore.Root
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	delay := firstRefetch
	for {
		select {
		case <-ctx.Done():
			return
		case <-role.C:
			if d.rank() >= confgen.WatchersPerRegion {
				return
			}
			continue
		case wanted = <-roots:
			delay = firstRefetch
		case <-retry.C:
		}
		if err := d.takeRoot(ctx, wanted); err != nil && ctx.Err() == nil {
			d.metrics.failures.Inc()
			d.log.Error("Content not taken; the generation before it stays in force.", "generation", wanted.Generation, "err", err)
			retry.Reset(d.jitter(delay))
			delay = min(2*delay, maxRefetch)
		}
	}
}

// rootHandler passes on the newest root.
type rootHandler struct {
	duty  *Duty
	roots chan confstore.Root
}

// Reset implements objectapi.Handler.
func (h *rootHandler) Reset(objects []objectapi.Object) {
	for _, o := range objects {
		h.see(o)
	}
}

// Change implements objectapi.Handler.
func (h *rootHandler) Change(e objectapi.Event) {
	if !e.Deleted {
		h.see(e.Object)
	}
}

func (h *rootHandler) see(o objectapi.Object) {
	if o.Key != confgen.RootKey {
		return
	}
	root, err := decodeRoot(o.Value)
	if err != nil {
		h.duty.log.Error("Root not readable.", "err", err)
		return
	}
	select {
	case <-h.roots:
	default:
	}
	h.roots <- root
}

// collect removes garbage from time to time on the first watcher of each region.
func (d *Duty) collect(ctx context.Context) {
	for {
		clock.Sleep(ctx, d.jitter(collectInterval))
		if ctx.Err() != nil {
			return
		}
		if d.rank() > 0 {
			continue
		}
		if err := d.collectNow(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn("Old content not removed.", "err", err)
		}
	}
}

func (d *Duty) collectNow(ctx context.Context) error {
	root, _, err := d.storage.readRoot(ctx)
	if err != nil {
		return err
	}
	removed, err := d.storage.collect(ctx, root)
	if removed > 0 {
		d.log.Info("Old content removed.", "objects", removed)
	}
	return err
}
