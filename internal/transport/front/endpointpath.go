package front

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/links"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// linkCheckTimeout bounds a connection attempt of a check of the links. A running endpoint
	// accepts within a few milliseconds.
	linkCheckTimeout = 250 * time.Millisecond
	// linkCheckStagger is how long a check waits for its first connection before it tries the
	// others, so that it usually takes one connection.
	linkCheckStagger = 60 * time.Millisecond
	// lostAnswerTimeout is how long a repeatable request may have been without an answer when the
	// host is cut off, or is afterwards, before it is sent again through a peer. Connections that
	// were open before may still work.
	lostAnswerTimeout = 150 * time.Millisecond
	// lostStreamTimeout is lostAnswerTimeout for the head of a stream, and for the events of a sample.
	lostStreamTimeout = 600 * time.Millisecond
	// lostBegunStreamTimeout is lostAnswerTimeout for the events of a caller's stream that can be
	// taken up again. Callers wait at least 2 s for an event.
	lostBegunStreamTimeout = 1500 * time.Millisecond
)

// errLinksLost cancels a request whose connection was lost with the links of the host.
var errLinksLost = errors.New("this host is cut off from the endpoints")

// errCutOff is the error of a request that was not sent because this host is cut off.
var errCutOff = errors.Join(backend.ErrNotRun, backend.ErrPathLost, errLinksLost)

// EndpointPath sends requests to endpoints directly, or through a peer while this host has lost its
// links to all endpoints. It implements backend.Client and is safe for concurrent use.
//
// Orders to load weights and the reports that they depend on are never sent through a peer: to the
// engines, the peer would be a second holder of the weights lease.
type EndpointPath struct {
	direct backend.Client
	relays *endpointRelays
	// endpoints returns all known endpoints.
	endpoints func() []catalog.Endpoint
	// changed is called after the host became cut off or ceased to be so.
	changed func(cutOff bool)
	log     *slog.Logger
	cutOffs prometheus.Counter
	isCut   prometheus.Gauge

	mu      sync.Mutex
	monitor links.Monitor
	// cutOffSince is when the host became cut off.
	cutOffSince time.Time
	// lost is done from when the host becomes cut off; it is replaced once it is no longer.
	lost    context.Context
	setLost context.CancelFunc
	// check is the check of the links in progress, or nil.
	check *linkCheck
	// silenceTimer is set while the next check because of silence is scheduled.
	silenceTimer bool
	closed       bool
}

var _ backend.Client = (*EndpointPath)(nil)

// linkCheck is a check whether any endpoint accepts a connection of this host.
type linkCheck struct{ done chan struct{} }

func newEndpointPath(direct backend.Client, relays *endpointRelays, endpoints func() []catalog.Endpoint, changed func(bool), log *slog.Logger, reg prometheus.Registerer) *EndpointPath {
	p := &EndpointPath{direct: direct, relays: relays, endpoints: endpoints, changed: changed, log: log,
		cutOffs: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oleander_front_cut_offs_total", Help: "How often this host lost its links to all endpoints.",
		}),
		isCut: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oleander_front_cut_off", Help: "1 while this host has no links to endpoints, else 0.",
		}),
	}
	reg.MustRegister(p.cutOffs, p.isCut)
	p.lost, p.setLost = context.WithCancel(context.Background())
	return p
}

// CutOff reports whether this host has lost its links to all endpoints.
func (p *EndpointPath) CutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.monitor.CutOff()
}

// CutOffFor returns how long this host has been without links, zero if it has them.
func (p *EndpointPath) CutOffFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.monitor.CutOff() {
		return 0
	}
	return time.Since(p.cutOffSince)
}

// Close ends the checks of the links.
func (p *EndpointPath) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// startCheck returns the check in progress, or starts one. The caller holds the lock.
func (p *EndpointPath) startCheck() *linkCheck {
	if p.check == nil {
		p.check = &linkCheck{done: make(chan struct{})}
		go p.runCheck(p.check)
	}
	return p.check
}

func (p *EndpointPath) runCheck(c *linkCheck) {
	began := time.Now()
	reached := p.reachesAny()
	p.mu.Lock()
	p.check = nil
	changed := p.monitor.RecordCheck(began, reached)
	if changed && !reached {
		p.cutOffSince = time.Now()
		p.setLost()
	} else if changed {
		p.lost, p.setLost = context.WithCancel(context.Background())
	}
	p.scheduleSilenceCheck()
	p.mu.Unlock()
	if changed {
		p.report(!reached)
	}
	close(c.done)
	if !reached {
		time.AfterFunc(links.ProbeInterval, p.probe)
	}
}

// probe checks the links while the host is cut off.
func (p *EndpointPath) probe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.startCheck()
	}
}

// report makes a change known: in the log, in the metrics and to the rest of the host.
func (p *EndpointPath) report(cutOff bool) {
	if cutOff {
		p.cutOffs.Inc()
		p.isCut.Set(1)
		p.log.Warn("No endpoint accepts connections of this host; sending requests through peers", "relays", p.relays.count())
	} else {
		p.isCut.Set(0)
		p.log.Info("Endpoints accept connections of this host again")
	}
	p.changed(cutOff)
}

// reachesAny reports whether any of a few endpoints accepts a connection, or none is known.
func (p *EndpointPath) reachesAny() bool {
	targets := links.CheckTargets(p.endpoints(), rand.Shuffle)
	if len(targets) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), linkCheckStagger+linkCheckTimeout)
	defer cancel()
	results := make(chan error, len(targets))
	connect := func(e catalog.Endpoint) { results <- p.direct.CheckConnection(ctx, e) }
	go connect(targets[0])
	stagger := time.NewTimer(linkCheckStagger)
	defer stagger.Stop()
	pending, next := 1, 1
	for pending > 0 {
		select {
		case <-stagger.C:
		case err := <-results:
			if err == nil {
				return true
			}
			pending--
		}
		for ; next < len(targets); next++ {
			go connect(targets[next])
			pending++
		}
	}
	return false
}

// checkAfterFailure reports whether the host is cut off, after a request that began at the given
// time failed on the host's own links. It checks the links if that is not known.
func (p *EndpointPath) checkAfterFailure(ctx context.Context, began time.Time, err error) bool {
	var connection *net.OpError
	p.mu.Lock()
	var c *linkCheck
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, backend.ErrUnreachable):
		if p.monitor.CheckAfterFailedConnection(began) {
			c = p.startCheck()
		}
	case errors.As(err, &connection):
		if p.monitor.CheckAfterBrokenConnection(time.Now()) {
			c = p.startCheck()
		}
	}
	p.mu.Unlock()
	if c != nil {
		select {
		case <-c.done:
		case <-ctx.Done():
		}
	}
	return p.CutOff()
}

// scheduleSilenceCheck schedules the next check because of silence. The caller holds the lock.
func (p *EndpointPath) scheduleSilenceCheck() {
	at, ok := p.monitor.NextSilenceCheck()
	if !ok || p.silenceTimer || p.closed {
		return
	}
	p.silenceTimer = true
	time.AfterFunc(time.Until(at), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.silenceTimer = false
		if at, ok := p.monitor.NextSilenceCheck(); ok && !time.Now().Before(at) {
			p.startCheck()
			return // its end schedules the next one
		}
		p.scheduleSilenceCheck()
	})
}

// directCall is a request on the host's own links.
type directCall struct {
	path   *EndpointPath
	began  time.Time
	ctx    context.Context
	cancel context.CancelCauseFunc
	// progressAt is the Unix time of the last progress, maxSilence how long the call may be without
	// progress while the host is cut off; zero is unlimited. Both are in nanoseconds.
	progressAt atomic.Int64
	maxSilence atomic.Int64
	// unwatch keeps the call from being cancelled when the host becomes cut off; path.mu guards it.
	unwatch func() bool
}

// beginDirect returns a call on the host's own links. It is cancelled with errLinksLost when the host
// is cut off and the call has made no progress for maxSilence, unless that is zero. ok is false if
// the host is cut off already.
func (p *EndpointPath) beginDirect(ctx context.Context, maxSilence time.Duration) (c *directCall, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.monitor.CutOff() {
		return nil, false
	}
	c = &directCall{path: p, began: time.Now(), unwatch: func() bool { return true }}
	c.progressAt.Store(c.began.UnixNano())
	c.maxSilence.Store(int64(maxSilence))
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	if maxSilence > 0 {
		c.watch()
	}
	p.monitor.Begin(c.began)
	p.scheduleSilenceCheck()
	return c, true
}

// watch has the call cancelled if the host becomes cut off. The caller holds the lock of the path.
func (c *directCall) watch() { c.unwatch = context.AfterFunc(c.path.lost, c.cancelWhenSilent) }

// cancelWhenSilent cancels the call once it has made no progress for maxSilence, unless the host has
// its links again before.
func (c *directCall) cancelWhenSilent() {
	for c.ctx.Err() == nil {
		left := time.Duration(c.maxSilence.Load()) - time.Since(time.Unix(0, c.progressAt.Load()))
		if left <= 0 {
			c.cancel(errLinksLost)
			return
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(left):
		}
		if !c.path.CutOff() {
			c.path.mu.Lock()
			defer c.path.mu.Unlock()
			c.watch()
			return
		}
	}
}

// progress records an answer or an event of the call.
func (c *directCall) progress() {
	now := time.Now()
	c.progressAt.Store(now.UnixNano())
	c.path.mu.Lock()
	c.path.monitor.Progress(now)
	c.path.mu.Unlock()
}

// end ends the call and returns its error. The error also is backend.ErrPathLost if the host is cut
// off and the request failed for that reason or for an unknown one.
func (c *directCall) end(err error) error {
	c.path.mu.Lock()
	c.unwatch()
	c.path.monitor.End()
	c.path.mu.Unlock()
	defer c.cancel(nil)
	switch {
	case err == nil || !concernsPath(err):
		return err
	case errors.Is(context.Cause(c.ctx), errLinksLost):
		return errors.Join(backend.ErrPathLost, errLinksLost, err)
	case c.path.checkAfterFailure(c.ctx, c.began, err):
		return errors.Join(backend.ErrPathLost, err)
	}
	return err
}

// concernsPath reports whether an error may come from the loss of the links. Others are the
// endpoint's own answers, and errors of the caller.
func concernsPath(err error) bool {
	var connection *net.OpError
	return errors.Is(err, backend.ErrUnreachable) || errors.Is(err, backend.ErrIncompleteAnswer) || errors.As(err, &connection)
}

// sendsAgain reports whether a request with this error on the host's own links is to be sent through a
// peer: the links are lost, and the request did not run or may run again.
func sendsAgain(ctx context.Context, err error, repeatable bool) bool {
	return errors.Is(err, backend.ErrPathLost) && ctx.Err() == nil &&
		(errors.Is(err, backend.ErrNotRun) || repeatable && errors.Is(err, backend.ErrIncompleteAnswer))
}

// Do implements backend.Client.
func (p *EndpointPath) Do(ctx context.Context, r backend.Request) (*backend.Answer, error) {
	answer, err := p.doDirect(ctx, r)
	if !sendsAgain(ctx, err, r.Repeatable) {
		return answer, err
	}
	return p.relays.do(ctx, r)
}

// doDirect is Do over this host's own links.
func (p *EndpointPath) doDirect(ctx context.Context, r backend.Request) (*backend.Answer, error) {
	maxSilence := time.Duration(0)
	if r.Repeatable {
		maxSilence = lostAnswerTimeout
	}
	c, ok := p.beginDirect(ctx, maxSilence)
	if !ok {
		return nil, errCutOff
	}
	answer, err := p.direct.Do(c.ctx, r)
	if err == nil {
		c.progress()
	}
	return answer, c.end(err)
}

// Stream implements backend.Client. A stream that has begun is not sent again.
func (p *EndpointPath) Stream(ctx context.Context, g backend.GenerateRequest, writeHead func(*backend.Answer) error, writeChunk func([]byte) error) error {
	began := false
	err := p.streamDirect(ctx, g, func(a *backend.Answer) error {
		began = true
		return writeHead(a)
	}, writeChunk)
	if began || !sendsAgain(ctx, err, g.Repeatable) {
		return err
	}
	return p.relays.stream(ctx, g, writeHead, writeChunk)
}

// streamDirect is Stream over this host's own links.
func (p *EndpointPath) streamDirect(ctx context.Context, g backend.GenerateRequest, writeHead func(*backend.Answer) error, writeChunk func([]byte) error) error {
	maxSilence := time.Duration(0)
	if g.Repeatable {
		maxSilence = lostStreamTimeout
	}
	c, ok := p.beginDirect(ctx, maxSilence)
	if !ok {
		return errCutOff
	}
	return c.end(p.direct.Stream(c.ctx, g, func(a *backend.Answer) error {
		if g.Repeatable {
			c.maxSilence.Store(int64(lostBegunStreamTimeout))
		}
		c.progress()
		return writeHead(a)
	}, func(b []byte) error {
		c.progress()
		return writeChunk(b)
	}))
}

// Generate implements backend.Client. After a loss of the links its caller continues the sample with
// another request.
func (p *EndpointPath) Generate(ctx context.Context, g backend.GenerateRequest, emit func(backend.Event) error) error {
	if err := p.generateDirect(ctx, g, emit); !sendsAgain(ctx, err, false) {
		return err
	}
	return p.relays.generate(ctx, g, emit)
}

// generateDirect is Generate over this host's own links.
func (p *EndpointPath) generateDirect(ctx context.Context, g backend.GenerateRequest, emit func(backend.Event) error) error {
	c, ok := p.beginDirect(ctx, lostStreamTimeout)
	if !ok {
		return errCutOff
	}
	return c.end(p.direct.Generate(c.ctx, g, func(e backend.Event) error {
		c.progress()
		return emit(e)
	}))
}

// CheckConnection implements backend.Client. Its error is backend.ErrPathLost if the host has lost its
// links and no peer could check the connection instead.
func (p *EndpointPath) CheckConnection(ctx context.Context, e catalog.Endpoint) error {
	if err := p.checkDirect(ctx, e); !errors.Is(err, backend.ErrPathLost) {
		return err
	}
	return p.relays.checkConnection(ctx, e)
}

// checkDirect is CheckConnection over this host's own links.
func (p *EndpointPath) checkDirect(ctx context.Context, e catalog.Endpoint) error {
	if p.CutOff() {
		return errCutOff
	}
	began := time.Now()
	err := p.direct.CheckConnection(ctx, e)
	if err != nil && p.checkAfterFailure(ctx, began, err) {
		return errors.Join(backend.ErrNotRun, backend.ErrPathLost, err)
	}
	return err
}

// Order implements backend.Client.
func (p *EndpointPath) Order(ctx context.Context, o backend.Order) (backend.OrderResult, error) {
	c, ok := p.beginDirect(ctx, 0)
	if !ok {
		return 0, errCutOff
	}
	result, err := p.direct.Order(c.ctx, o)
	return result, c.end(err)
}

// ReadReport implements backend.Client.
func (p *EndpointPath) ReadReport(ctx context.Context, e catalog.Endpoint) (backend.Report, error) {
	c, ok := p.beginDirect(ctx, 0)
	if !ok {
		return backend.Report{}, errCutOff
	}
	report, err := p.direct.ReadReport(c.ctx, e)
	return report, c.end(err)
}

// OnNotice implements backend.Client.
func (p *EndpointPath) OnNotice(f func(catalog.Endpoint, backend.Notice)) { p.direct.OnNotice(f) }
