package front

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/links"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
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
