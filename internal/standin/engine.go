package standin

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// EngineOptions sizes an engine stand-in. Zero values take the defaults.
type EngineOptions struct {
	Name string
	// Slots is the number of requests in the batch (8).
	Slots int
	// Queue is the number of requests that may wait (256).
	Queue int
	// TokenInterval is the time of one step of the batch (5 ms).
	TokenInterval time.Duration
	// TokensPerStep is the number of tokens a request gains in one step (1).
	TokensPerStep int
	// PrefillTime is the time before the first token of an uncached prompt (10 ms).
	PrefillTime time.Duration
	// CachedPrefixes bounds the prefix cache (64).
	CachedPrefixes int
	// MedianTokens is the median length of answers (64); 1% are 20 times as long.
	MedianTokens int
	// SwapTime is the pause of a weight swap after the download (50 ms).
	SwapTime time.Duration
	// Fencing makes the engine refuse orders with an old fencing number.
	Fencing bool
	// Version is the weight version at the start (1).
	Version model.WeightVersion
	// Download fetches the weights of a version; nil needs no time.
	Download func(ctx context.Context, v model.WeightVersion) error
}

func (o *EngineOptions) setDefaults() {
	setDefault(&o.Slots, 8)
	setDefault(&o.Queue, 256)
	setDefault(&o.TokenInterval, 5*time.Millisecond)
	setDefault(&o.TokensPerStep, 1)
	setDefault(&o.PrefillTime, 10*time.Millisecond)
	setDefault(&o.CachedPrefixes, 64)
	setDefault(&o.MedianTokens, 64)
	setDefault(&o.SwapTime, 50*time.Millisecond)
	setDefault(&o.Version, 1)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine is a model engine with a continuous batch. Its tokens depend only on
// prompt, seed and index, so that a resumed answer can be checked against a whole
// one; the weight version shows in the chunks and in the log.
type Engine struct {
	*server
	opt      EngineOptions
	mu       sync.Mutex
	running  []*generation
	waiting  []*generation
	version  model.WeightVersion
	adapters map[string]bool
	role     string
	fence    model.Epoch
	loading  bool
	swapping bool
	cache    *prefixCache
	reports  []engineapi.Load
	stop     context.CancelFunc
}

type generation struct {
	req    engineapi.GenerateRequest
	run    *Run
	length int
	next   int
	// ready is when the prefill ends.
	ready   time.Time
	pending []engineapi.Chunk
	wake    chan struct{}
	done    bool
	gone    bool
}

// NewEngine starts an engine on address (host:port; port 0 picks one).
func NewEngine(address string, opt EngineOptions) (*Engine, error) {
	opt.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		server:   newServer(opt.Name),
		opt:      opt,
		version:  opt.Version,
		adapters: map[string]bool{},
		cache:    newPrefixCache(opt.CachedPrefixes),
		stop:     cancel,
	}
	e.server.handler = e.routes()
	e.server.onCrash = e.reset
	if err := e.server.listen(address); err != nil {
		cancel()
		return nil, err
	}
	go e.batchLoop(ctx)
	return e, nil
}

// Close ends the engine for good.
func (e *Engine) Close() {
	e.stop()
	e.server.Close()
}

// Version returns the weight version in use.
func (e *Engine) Version() model.WeightVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// reset is what a crash does to the batch.
func (e *Engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range append(e.running, e.waiting...) {
		g.gone = true
		g.notify()
	}
	e.running, e.waiting = nil, nil
	e.loading, e.swapping = false, false
	e.cache = newPrefixCache(e.opt.CachedPrefixes)
}

func (g *generation) notify() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) batchLoop(ctx context.Context) {
	for {
		step := e.opt.TokenInterval
		if slow := e.faults.get().Slow; slow > 1 {
			step = time.Duration(float64(step) * slow)
		}
		if sleep(ctx, step) != nil {
			return
		}
		e.step(time.Now())
	}
}

// step gives each running request its next tokens and fills free slots.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad(now)
	if e.swapping || e.faults.get().Pause {
		return
	}
	kept := e.running[:0]
	for _, g := range e.running {
		e.advance(g, now)
		if !g.done && !g.gone {
			kept = append(kept, g)
		}
	}
	e.running = kept
	e.fillSlots(now)
}

func (e *Engine) fillSlots(now time.Time) {
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].req.Priority > e.waiting[j].req.Priority })
	for len(e.running) < e.opt.Slots && len(e.waiting) > 0 {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		if g.gone {
			continue
		}
		g.ready = now
		if !e.cache.use(prefixHash(g.req.Prompt)) {
			g.ready = now.Add(e.opt.PrefillTime)
		}
		e.running = append(e.running, g)
	}
}

func (e *Engine) advance(g *generation, now time.Time) {
	if g.gone || now.Before(g.ready) {
		return
	}
	count := min(e.opt.TokensPerStep, g.length-g.next)
	c := engineapi.Chunk{Offset: g.next, Version: e.version}
	if e.faults.get().HideVersion {
		c.Version = 0
	}
	for i := range count {
		c.Tokens = append(c.Tokens, TokenAt(g.req.Prompt, g.req.Seed, g.next+i))
	}
	e.logSpan(g, count)
	g.next += count
	g.pending = append(g.pending, c)
	if g.next >= g.length {
		g.done = true
		g.pending = append(g.pending, engineapi.Chunk{Offset: g.next, Done: true, Total: g.length})
		e.server.finish(g.run)
	}
	g.notify()
}

func (e *Engine) logSpan(g *generation, count int) {
	if count == 0 {
		return
	}
	e.server.mu.Lock()
	defer e.server.mu.Unlock()
	spans := g.run.Spans
	if n := len(spans); n > 0 && spans[n-1].Version == e.version {
		spans[n-1].To += count
		return
	}
	g.run.Spans = append(spans, Span{From: g.next, To: g.next + count, Version: e.version})
}

// recordLoad keeps load reports for ReportLagMillis.
func (e *Engine) recordLoad(now time.Time) {
	e.reports = append(e.reports, engineapi.Load{
		Running:    len(e.running),
		Queued:     len(e.waiting),
		Slots:      e.opt.Slots,
		TokensPerS: float64(len(e.running)*e.opt.TokensPerStep) / e.opt.TokenInterval.Seconds(),
		AgeMillis:  now.UnixMilli(),
	})
	const kept = 1024
	if len(e.reports) > kept {
		e.reports = append(e.reports[:0], e.reports[kept/2:]...)
	}
}

func (e *Engine) enqueue(g *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) >= e.opt.Queue {
		return false
	}
	e.waiting = append(e.waiting, g)
	return true
}

func (e *Engine) queueFull() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiting) >= e.opt.Queue
}

func (e *Engine) abandon(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.gone = true
}

// cancel ends the requests with this id.
func (e *Engine) cancel(requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range append(append([]*generation(nil), e.running...), e.waiting...) {
		if g.req.RequestID == requestID {
			g.gone = true
			g.notify()
		}
	}
}

// take returns the chunks made since the last call.
func (e *Engine) take(g *generation) (chunks []engineapi.Chunk, done, gone bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunks, g.pending = g.pending, nil
	return chunks, g.done, g.gone
}

// order applies an order; the swap goes on in the background.
func (e *Engine) order(o engineapi.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opt.Fencing && o.Fence < e.fence {
		return engineapi.ErrStaleFence
	}
	e.fence = max(e.fence, o.Fence)
	if o.Role != "" {
		e.role = o.Role
	}
	if o.Adapter != "" {
		e.adapters[o.Adapter] = true
	}
	if o.Version == 0 || o.Version == e.version {
		return nil
	}
	if e.loading {
		return engineapi.ErrBusy
	}
	e.loading = true
	go e.swap(o.Version, e.server.currentIncarnation())
	return nil
}

func (e *Engine) swap(v model.WeightVersion, life model.Incarnation) {
	ctx := context.Background()
	failed := e.faults.failSwap()
	if e.opt.Download != nil && e.opt.Download(ctx, v) != nil {
		failed = true
	}
	e.setSwapping(true)
	_ = sleep(ctx, e.opt.SwapTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server.currentIncarnation() != life {
		return
	}
	e.swapping, e.loading = false, false
	if !failed {
		e.version = v
		e.cache = newPrefixCache(e.opt.CachedPrefixes)
	}
}

func (e *Engine) setSwapping(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.swapping = on
}

// TokenAt is the token with this index of the answer to a prompt.
func TokenAt(prompt string, seed uint64, index int) uint32 {
	return uint32(xxhash.Sum64String(fmt.Sprintf("%s|%d|%d", prompt, seed, index)))
}

// AnswerLength is the number of tokens of the answer to a prompt: 99% lie between
// half the median and one and a half, 1% are 20 times the median.
func AnswerLength(prompt string, seed uint64, median, maxTokens int) int {
	const tailFactor = 20
	u := xxhash.Sum64String(fmt.Sprintf("%s|%d|length", prompt, seed))
	length := median/2 + int(u>>32)%(median+1)
	if u%100 == 0 {
		length = tailFactor * median
	}
	if maxTokens > 0 {
		length = min(length, maxTokens)
	}
	return max(length, 1)
}

const prefixBytes = 64

// prefixHash names the prompt prefix that the cache keeps.
func prefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

func (e *Engine) routes() http.Handler { return engineRoutes(e) }
