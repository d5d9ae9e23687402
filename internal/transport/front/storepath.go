package front

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

const (
	// throttledToAvoid is the number of rate refusals in a row after which the store is
	// taken to turn this host away; fewer come from a shared rate that is used up.
	throttledToAvoid = 3
	// directProbeEvery is the pause between tries of the direct path while it fails.
	directProbeEvery = time.Second
	// directProbeTimeout bounds such a try; a healthy store answers in some ms.
	directProbeTimeout = 600 * time.Millisecond
)

// StorePath reaches the platform's store directly, or through a peer while the store
// does not serve this host. It sends each call once, over one of the two.
type StorePath struct {
	direct objectapi.API
	relays func() []string
	dial   func(address string) objectapi.API
	log    *slog.Logger

	mu        sync.Mutex
	throttled int
	failing   bool
	probing   bool
	probedAt  time.Time
	// relay is the peer that calls go through, until one fails.
	relay string
	next  int
}

var _ objectapi.API = (*StorePath)(nil)

// NewStorePath returns a path over direct. relays lists the peers that reach the
// store themselves.
func NewStorePath(direct objectapi.API, relays func() []string, log *slog.Logger) *StorePath {
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
	}}
	dial := func(address string) objectapi.API { return objectapi.NewHTTPClient("http://"+address, client) }
	return &StorePath{direct: direct, relays: relays, dial: dial, log: log}
}

// Reachable reports whether the store serves this host directly.
func (p *StorePath) Reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.failing
}

// choose returns the path for the next call.
func (p *StorePath) choose() (api objectapi.API, direct bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.failing {
		return p.direct, true
	}
	if !p.probing && time.Since(p.probedAt) > directProbeEvery {
		p.probing = true
		go p.probe()
	}
	relays := p.relays()
	if len(relays) == 0 {
		return p.direct, true
	}
	if !slices.Contains(relays, p.relay) {
		p.next++
		p.relay = relays[p.next%len(relays)]
	}
	return p.dial(p.relay), false
}

// probe asks the store directly for an object that need not exist.
func (p *StorePath) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), directProbeTimeout)
	defer cancel()
	_, err := p.direct.Get(ctx, probeKey)
	p.mu.Lock()
	p.probing, p.probedAt = false, time.Now()
	p.mu.Unlock()
	p.judge(ctx, true, err)
}

// probeKey is read to find out if the store serves this host.
const probeKey = "hosts/none"

func failed(err error) bool {
	return objectapi.Unresolved(err) || errors.Is(err, objectapi.ErrRefused)
}

// judge learns from the outcome of a call. A call that its caller gave up says nothing.
func (p *StorePath) judge(ctx context.Context, direct bool, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !direct {
		if failed(err) {
			p.relay = ""
		}
		return
	}
	throttled := errors.Is(err, objectapi.ErrThrottled)
	if throttled {
		p.throttled++
	} else {
		p.throttled = 0
	}
	now := failed(err) || throttled && p.throttled >= throttledToAvoid
	if now == p.failing || throttled && !now {
		return
	}
	p.failing = now
	if now {
		p.probedAt = time.Now()
		p.log.Warn("The store does not serve this host; calls go through peers.", "err", err)
		return
	}
	p.log.Info("The store serves this host again.")
}

// Get implements objectapi.API.
func (p *StorePath) Get(ctx context.Context, key string) (objectapi.Object, error) {
	api, direct := p.choose()
	o, err := api.Get(ctx, key)
	p.judge(ctx, direct, err)
	return o, err
}

// Put implements objectapi.API.
func (p *StorePath) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	api, direct := p.choose()
	version, err := api.Put(ctx, key, value, expect)
	p.judge(ctx, direct, err)
	return version, err
}

// Delete implements objectapi.API.
func (p *StorePath) Delete(ctx context.Context, key string, expect uint64) error {
	api, direct := p.choose()
	err := api.Delete(ctx, key, expect)
	p.judge(ctx, direct, err)
	return err
}

// List implements objectapi.API.
func (p *StorePath) List(ctx context.Context, prefix, after string, limit int) (objectapi.Page, error) {
	api, direct := p.choose()
	page, err := api.List(ctx, prefix, after, limit)
	p.judge(ctx, direct, err)
	return page, err
}

// Watch implements objectapi.API.
func (p *StorePath) Watch(ctx context.Context, prefix string, from uint64) (objectapi.Watcher, error) {
	api, direct := p.choose()
	w, err := api.Watch(ctx, prefix, from)
	p.judge(ctx, direct, err)
	if err != nil {
		return nil, err
	}
	return &judgedWatcher{Watcher: w, path: p, direct: direct}, nil
}

type judgedWatcher struct {
	objectapi.Watcher
	path   *StorePath
	direct bool
}

// Next implements objectapi.Watcher.
func (w *judgedWatcher) Next(ctx context.Context) (objectapi.Event, error) {
	e, err := w.Watcher.Next(ctx)
	if ctx.Err() == nil {
		w.path.judge(ctx, w.direct, err)
	}
	return e, err
}
