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

// EngineOptions configures an Engine. Zero values take the defaults in parentheses.
type EngineOptions struct {
	Name string
	// Slots is the maximum number of requests in the batch (8).
	Slots int
	// Queue is the maximum number of queued requests (256).
	Queue int
	// TokenInterval is the duration of one step of the batch (5 ms).
	TokenInterval time.Duration
	// TokensPerStep is the number of tokens generated for each request in a step (1).
	TokensPerStep int
	// PrefillTime delays the first token of a prompt whose prefix is not cached (10 ms).
	PrefillTime time.Duration
	// CachedPrefixes is the capacity of the prefix cache (64).
	CachedPrefixes int
	// MedianTokens is the median length of an answer (64); 1% are 20 times as long.
	MedianTokens int
	// SwapTime is how long a weight swap stops the batch after the download (50 ms).
	SwapTime time.Duration
	// Fencing makes the engine refuse an order with a lower fencing token than the highest
	// seen.
	Fencing bool
	// Version is the initial weight version (1).
	Version model.WeightVersion
	// Download fetches the weights of a version; nil takes no time.
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

// Engine simulates a model engine with continuous batching. Its tokens depend only on
// prompt, seed and index, so that a resumed answer can be checked against an uninterrupted
// one. The weight version does not change the tokens; it appears in the chunks and in the
// log.
type Engine struct {
	*server
	opt      EngineOptions
	mu       sync.Mutex
	running  []*generation
	queued   []*generation
	version  model.WeightVersion
	adapters map[string]bool
	role     string
	// fence is the highest fencing token of an order so far.
	fence model.Epoch
	// loading is set during a weight swap, swapping only while the swap stops the batch.
	loading       bool
	swapping      bool
	cache         *prefixCache
	loadReports   []engineapi.Load
	stopBatchLoop context.CancelFunc
}

// generation is one queued or running generate request. Engine.mu protects it.
type generation struct {
	req       engineapi.GenerateRequest
	run       *Run
	length    int // of the whole answer, in tokens
	nextIndex int // of the next token
	// prefillDone is when the prefill ends.
	prefillDone time.Time
	pending     []engineapi.Chunk
	// wake signals that chunks are pending or the request was aborted.
	wake chan struct{}
	done bool
	// aborted is set when the request was cancelled or abandoned, or the engine crashed.
	aborted bool
}

// NewEngine starts an engine on address (host:port; port 0 picks one).
func NewEngine(address string, opt EngineOptions) (*Engine, error) {
	opt.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		server:        newServer(opt.Name),
		opt:           opt,
		version:       opt.Version,
		adapters:      map[string]bool{},
		cache:         newPrefixCache(opt.CachedPrefixes),
		stopBatchLoop: cancel,
	}
	e.server.handler = e.routes()
	e.server.onStop = e.reset
	if err := e.server.listen(address); err != nil {
		cancel()
		return nil, err
	}
	go e.batchLoop(ctx)
	return e, nil
}

// Close stops the engine permanently.
func (e *Engine) Close() {
	e.stopBatchLoop()
	e.server.Close()
}

// Version returns the weight version in use. It changes when a weight swap ends.
func (e *Engine) Version() model.WeightVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// reset discards the batch, the queue, the state of a weight swap and the cache, as a crash
// does.
func (e *Engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range append(e.running, e.queued...) {
		g.aborted = true
		g.notify()
	}
	e.running, e.queued = nil, nil
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

// step generates the next tokens of each running request and fills free slots from the
// queue. A weight swap and the fault Pause suspend both.
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
		if !g.done && !g.aborted {
			kept = append(kept, g)
		}
	}
	e.running = kept
	e.fillSlots(now)
}

// fillSlots moves queued requests into the batch, highest priority first.
func (e *Engine) fillSlots(now time.Time) {
	sort.SliceStable(e.queued, func(i, j int) bool { return e.queued[i].req.Priority > e.queued[j].req.Priority })
	for len(e.running) < e.opt.Slots && len(e.queued) > 0 {
		g := e.queued[0]
		e.queued = e.queued[1:]
		if g.aborted {
			continue
		}
		g.prefillDone = now
		if !e.cache.use(prefixHash(g.req.Prompt)) {
			g.prefillDone = now.Add(e.opt.PrefillTime)
		}
		e.running = append(e.running, g)
	}
}

// advance generates the next tokens of one request and logs their weight version.
func (e *Engine) advance(g *generation, now time.Time) {
	if g.aborted || now.Before(g.prefillDone) {
		return
	}
	count := min(e.opt.TokensPerStep, g.length-g.nextIndex)
	c := engineapi.Chunk{Offset: g.nextIndex, Version: e.version}
	if e.faults.get().HideVersion {
		c.Version = 0
	}
	for i := range count {
		c.Tokens = append(c.Tokens, TokenAt(g.req.Prompt, g.req.Seed, g.nextIndex+i))
	}
	e.logSpan(g, count)
	g.nextIndex += count
	g.pending = append(g.pending, c)
	if g.nextIndex >= g.length {
		g.done = true
		g.pending = append(g.pending, engineapi.Chunk{Offset: g.nextIndex, Done: true, Total: g.length})
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
	g.run.Spans = append(spans, Span{From: g.nextIndex, To: g.nextIndex + count, Version: e.version})
}

// recordLoad stores one load report per step, so that laggingLoad can return an old one.
// In a stored report AgeMillis holds the time of the report in Unix milliseconds.
func (e *Engine) recordLoad(now time.Time) {
	e.loadReports = append(e.loadReports, engineapi.Load{
		Running:    len(e.running),
		Queued:     len(e.queued),
		Slots:      e.opt.Slots,
		TokensPerS: float64(len(e.running)*e.opt.TokensPerStep) / e.opt.TokenInterval.Seconds(),
		AgeMillis:  now.UnixMilli(),
	})
	const maxReports = 1024
	if len(e.loadReports) > maxReports {
		e.loadReports = append(e.loadReports[:0], e.loadReports[maxReports/2:]...)
	}
}

func (e *Engine) enqueue(g *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queued) >= e.opt.Queue {
		return false
	}
	e.queued = append(e.queued, g)
	return true
}

func (e *Engine) queueFull() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.queued) >= e.opt.Queue
}

// abandon marks a request whose handler has returned, so that the next step drops it.
func (e *Engine) abandon(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.aborted = true
}

// cancel aborts the requests with this id.
func (e *Engine) cancel(requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range append(append([]*generation(nil), e.running...), e.queued...) {
		if g.req.RequestID == requestID {
			g.aborted = true
			g.notify()
		}
	}
}

// takeChunks returns the chunks generated since the last call.
func (e *Engine) takeChunks(g *generation) (chunks []engineapi.Chunk, done, aborted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunks, g.pending = g.pending, nil
	return chunks, g.done, g.aborted
}

// applyOrder applies an order. A weight swap continues in the background; until it ends,
// orders for another version are refused as busy.
func (e *Engine) applyOrder(o engineapi.Order) error {
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
	go e.swapWeights(o.Version, e.server.currentIncarnation())
	return nil
}

// swapWeights downloads version v, stops the batch for SwapTime and then serves v. A failed
// download or the fault FailSwaps leaves the old version in place. A swap that a crash
// interrupted does not install its version.
func (e *Engine) swapWeights(v model.WeightVersion, incarnation model.Incarnation) {
	ctx := context.Background()
	failed := e.faults.failSwap()
	if e.opt.Download != nil && e.opt.Download(ctx, v) != nil {
		failed = true
	}
	e.setSwapping(true)
	_ = sleep(ctx, e.opt.SwapTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server.currentIncarnation() != incarnation {
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

// TokenAt returns the token at index of the answer to a prompt.
func TokenAt(prompt string, seed uint64, index int) uint32 {
	return uint32(xxhash.Sum64String(fmt.Sprintf("%s|%d|%d", prompt, seed, index)))
}

// AnswerLength returns the number of tokens of the answer to a prompt, at most maxTokens
// unless that is 0. 99% of the lengths are 0.5 to 1.5 times the median, 1% are 20 times
// the median.
func AnswerLength(prompt string, seed uint64, median, maxTokens int) int {
	const tailFactor = 20
	hash := xxhash.Sum64String(fmt.Sprintf("%s|%d|length", prompt, seed))
	length := median/2 + int(hash>>32)%(median+1)
	if hash%100 == 0 {
		length = tailFactor * median
	}
	if maxTokens > 0 {
		length = min(length, maxTokens)
	}
	return max(length, 1)
}

const prefixBytes = 64

// prefixHash returns the cache key of a prompt, the hash of its first prefixBytes bytes.
func prefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

func (e *Engine) routes() http.Handler { return engineRoutes(e) }
