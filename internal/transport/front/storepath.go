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

	"oleanderfall.example/oleanderfall/internal/protocol/httpanswer"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

const (
	// throttledCallsUntilFailing is the number of consecutive throttled calls after which the
	// direct path is considered failing. Shorter sequences occur when the hosts have used
	// up their shared rate.
	throttledCallsUntilFailing = 3
	// directProbeInterval is the minimum interval between probes of the direct path while it
	// fails.
	directProbeInterval = time.Second
	// directProbeTimeout bounds a probe; a healthy store answers within a few milliseconds.
	directProbeTimeout = 600 * time.Millisecond
)

// StorePath sends calls to the platform's store directly, or through a peer while the store
// does not serve this host. It sends each call once, over one path, and does not retry. It
// is safe for concurrent use.
type StorePath struct {
	direct objectapi.API
	// relays returns the addresses of the peers that reach the store directly, relayClient a
	// store client that sends its calls through the peer at an address.
	relays      func() []string
	relayClient func(address string) objectapi.API
	log         *slog.Logger
	// observe, if it is set, is called after each call with the boot time at which it was made, and
	// whether the store answered it, be it with a refusal for the rate.
	observe func(madeAt time.Duration, answered bool)

	mu        sync.Mutex
	throttled int
	failing   bool
	probing   bool
	probedAt  time.Time
	// relay is the peer address through which calls are sent until one fails; nextRelay
	// selects the next one.
	relay     string
	nextRelay int
}

var _ objectapi.API = (*StorePath)(nil)

// NewStorePath returns a StorePath that uses direct. relays returns the addresses of the
// peers that reach the store directly.
func NewStorePath(direct objectapi.API, relays func() []string, log *slog.Logger) *StorePath {
	client := &http.Client{Transport: httpanswer.NewTransport(&http.Transport{
		DialContext: (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
	})}
	relayClient := func(address string) objectapi.API { return objectapi.NewHTTPClient("http://"+address, client) }
	return &StorePath{direct: direct, relays: relays, relayClient: relayClient, log: log}
}

// Reachable reports whether the store serves this host directly.
func (p *StorePath) Reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.failing
}

// storeCall is a call to the store.
type storeCall struct {
	path *StorePath
	// direct is set if the call does not go through a peer.
	direct bool
	// madeAt is the boot time at which the call was made.
	madeAt time.Duration
}

// begin returns the path for the next call.
func (p *StorePath) begin() (objectapi.API, storeCall) {
	api, direct := p.choose()
	return api, storeCall{path: p, direct: direct, madeAt: sinceBoot()}
}

// choose returns the path for the next call, and starts a probe of the direct path if it is
// failing and a probe is due.
func (p *StorePath) choose() (api objectapi.API, direct bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.failing {
		return p.direct, true
	}
	if !p.probing && time.Since(p.probedAt) > directProbeInterval {
		p.probing = true
		go p.probe()
	}
	relays := p.relays()
	if len(relays) == 0 {
		return p.direct, true
	}
	if !slices.Contains(relays, p.relay) {
		p.nextRelay++
		p.relay = relays[p.nextRelay%len(relays)]
	}
	return p.relayClient(p.relay), false
}

// probe reads probeKey directly from the store and records the outcome.
func (p *StorePath) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), directProbeTimeout)
	defer cancel()
	call := storeCall{path: p, direct: true, madeAt: sinceBoot()}
	_, err := p.direct.Get(ctx, probeKey)
	p.mu.Lock()
	p.probing, p.probedAt = false, time.Now()
	p.mu.Unlock()
	call.end(ctx, err)
}

// probeKey is the key that probe reads. The object need not exist.
const probeKey = "hosts/none"

// isStoreFailure reports whether an error means that the store refused the call or that its
// outcome is unknown.
func isStoreFailure(err error) bool {
	return objectapi.Unresolved(err) || errors.Is(err, objectapi.ErrRefused)
}

// end records the outcome of the call. That of a call that its caller cancelled says nothing about the
// path and is ignored.
func (c storeCall) end(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	// A peer that does not serve the call says nothing about the store.
	if failed := isStoreFailure(err); c.path.observe != nil && (c.direct || !failed) {
		c.path.observe(c.madeAt, !failed)
	}
	c.path.recordOutcome(c.direct, err)
}

// recordOutcome updates the state of the path that a call used.
func (p *StorePath) recordOutcome(direct bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !direct {
		if isStoreFailure(err) {
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
	nowFailing := isStoreFailure(err) || throttled && p.throttled >= throttledCallsUntilFailing
	if nowFailing == p.failing || throttled && !nowFailing {
		return
	}
	p.failing = nowFailing
	if nowFailing {
		p.probedAt = time.Now()
		p.log.Warn("Store does not serve this host; sending calls through peers", "err", err)
		return
	}
	p.log.Info("Store serves this host again")
}

// Get implements objectapi.API.
func (p *StorePath) Get(ctx context.Context, key string) (objectapi.Object, error) {
	api, call := p.begin()
	o, err := api.Get(ctx, key)
	call.end(ctx, err)
	return o, err
}

// Put implements objectapi.API.
func (p *StorePath) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	api, call := p.begin()
	version, err := api.Put(ctx, key, value, expect)
	call.end(ctx, err)
	return version, err
}

// Delete implements objectapi.API.
func (p *StorePath) Delete(ctx context.Context, key string, expect uint64) error {
	api, call := p.begin()
	err := api.Delete(ctx, key, expect)
	call.end(ctx, err)
	return err
}

// List implements objectapi.API.
func (p *StorePath) List(ctx context.Context, prefix, after string, limit int) (objectapi.Page, error) {
	api, call := p.begin()
	page, err := api.List(ctx, prefix, after, limit)
	call.end(ctx, err)
	return page, err
}

// Watch implements objectapi.API.
func (p *StorePath) Watch(ctx context.Context, prefix string, from uint64) (objectapi.Watcher, error) {
	api, call := p.begin()
	w, err := api.Watch(ctx, prefix, from)
	call.end(ctx, err)
	if err != nil {
		return nil, err
	}
	return &recordingWatcher{Watcher: w, path: p, direct: call.direct}, nil
}

// recordingWatcher records the outcome of each event read.
type recordingWatcher struct {
	objectapi.Watcher
	path   *StorePath
	direct bool
}

// Next implements objectapi.Watcher.
func (w *recordingWatcher) Next(ctx context.Context) (objectapi.Event, error) {
	call := storeCall{path: w.path, direct: w.direct, madeAt: sinceBoot()}
	e, err := w.Watcher.Next(ctx)
	if ctx.Err() == nil {
		call.end(ctx, err)
	}
	return e, err
}
