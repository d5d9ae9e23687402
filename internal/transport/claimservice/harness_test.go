package claimservice

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/shards"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

var quickTiming = shards.Timing{
	SettleTime: 20 * time.Millisecond, RankDelay: 50 * time.Millisecond, Jitter: 10 * time.Millisecond,
	MissingTimeout: 100 * time.Millisecond, UnreachableTimeout: time.Second, MinHold: 2 * time.Second, StablePeriod: time.Hour,
	Cooldown: time.Second,
}

// pausableAPI forwards calls to an object API. It blocks writes and lists while paused and
// calls onWrite after each successful write.
type pausableAPI struct {
	objectapi.API
	mu      sync.Mutex
	paused  chan struct{}
	onWrite func(key string)
}

func (g *pausableAPI) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused = make(chan struct{})
}

func (g *pausableAPI) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.paused)
	g.paused = nil
}

func (g *pausableAPI) waitResumed(ctx context.Context) error {
	g.mu.Lock()
	paused := g.paused
	g.mu.Unlock()
	if paused == nil {
		return nil
	}
	select {
	case <-paused:
		return nil
	case <-ctx.Done():
		return errors.Join(objectapi.ErrUnavailable, ctx.Err())
	}
}

func (g *pausableAPI) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if err := g.waitResumed(ctx); err != nil {
		return 0, err
	}
	version, err := g.API.Put(ctx, key, value, expect)
	g.mu.Lock()
	callback := g.onWrite
	g.mu.Unlock()
	if callback != nil && err == nil {
		callback(key)
	}
	return version, err
}

func (g *pausableAPI) List(ctx context.Context, prefix, after string, limit int) (objectapi.Page, error) {
	if err := g.waitResumed(ctx); err != nil {
		return objectapi.Page{}, err
	}
	return g.API.List(ctx, prefix, after, limit)
}

// cluster is several entry hosts that share one object store and one plain service.
type cluster struct {
	tb      testing.TB
	store   *standin.ObjectStore
	api     objectapi.API
	plain   *standin.PlainService
	keys    *tlsconf.Keys
	entries []*entryHost
	timing  shards.Timing

	mu   sync.Mutex
	view *model.FleetView
	dead map[model.HostID]bool
}

type entryHost struct {
	*Service
	name      model.HostID
	mesh      *quicmesh.Mesh
	objectAPI *pausableAPI
	cancel    context.CancelFunc
	done      chan struct{}
}

type clusterOptions struct {
	entries     int
	shards      int
	lifetime    time.Duration
	store       standin.ObjectStoreOptions
	serviceTime time.Duration
	// wrapStore wraps the store for the entry hosts; nil means no wrapper.
	wrapStore func(*standin.ObjectStore) objectapi.API
	// timing is quickTiming when zero.
	timing shards.Timing
}

func newCluster(tb testing.TB, opt clusterOptions) *cluster {
	tb.Helper()
	if opt.lifetime == 0 {
		opt.lifetime = 10 * time.Minute
	}
	dir := tb.TempDir()
	if err := tlsconf.WriteDevelopmentKeys(dir, "host"); err != nil {
		tb.Fatal(err)
	}
	keys, err := tlsconf.Load(tlsconf.Files{
		Authority: filepath.Join(dir, "ca.pem"), Certificate: filepath.Join(dir, "host.pem"), Key: filepath.Join(dir, "host.key"),
	})
	if err != nil {
		tb.Fatal(err)
	}
	plain, err := standin.NewPlainService("127.0.0.1:0", standin.PlainServiceOptions{Name: "plain", ServiceTime: max(opt.serviceTime, time.Millisecond), Concurrency: 512})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(plain.Close)
	c := &cluster{tb: tb, store: standin.NewObjectStore(opt.store), plain: plain, keys: keys, dead: map[model.HostID]bool{}}
	if c.timing = opt.timing; c.timing == (shards.Timing{}) {
		c.timing = quickTiming
	}
	c.api = c.store
	if opt.wrapStore != nil {
		c.api = opt.wrapStore(c.store)
	}
	c.view = &model.FleetView{Config: &model.Config{System: model.System{
		ClaimShards: opt.shards, ClaimCommitInterval: 40 * time.Millisecond, ClaimLifetime: opt.lifetime,
	}}}
	for i := range opt.entries {
		c.start(model.HostID(fmt.Sprintf("host-%d", i)), "127.0.0.1:0")
	}
	c.updateView()
	c.waitFor("every shard has an owner", func() bool {
		for _, e := range c.entries {
			if e.Ready() != nil {
				return false
			}
		}
		return true
	})
	return c
}

// start starts an entry host; starting a name again gives it a new incarnation.
func (c *cluster) start(name model.HostID, listen string) *entryHost {
	c.tb.Helper()
	mesh, err := quicmesh.New(quicmesh.Options{
		Listen: listen, Server: c.keys.Server(), Client: c.keys.Client(), Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		c.tb.Fatal(err)
	}
	e := &entryHost{name: name, mesh: mesh, objectAPI: &pausableAPI{API: c.api}, done: make(chan struct{})}
	api := objectapi.NewClient(e.objectAPI, objectapi.ClientOptions{
		Seed: randomUint64(), AttemptTimeout: time.Second, ReadsPerSecond: 1000, WritesPerSecond: 200,
	})
	e.Service = New(Options{
		Mesh: mesh, API: api, Outage: api.OutageFor, Host: name, Incarnation: newIncarnation(), Address: mesh.Address(),
		View: c.fleetView, Log: slog.New(slog.DiscardHandler), Timing: c.timing,
	})
	if err := mesh.Start(); err != nil {
		c.tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() { defer close(e.done); e.Run(ctx) }()
	c.entries = append(c.entries, e)
	c.tb.Cleanup(e.kill)
	return e
}

// kill stops an entry host without a handover.
func (e *entryHost) kill() {
	e.cancel()
	e.mesh.Close()
	<-e.done
}

func (c *cluster) fleetView() *model.FleetView {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// updateView builds a fleet view of all started entry hosts, with those given as dead from now on.
func (c *cluster) updateView(dead ...model.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range dead {
		c.dead[d] = true
	}
	next := &model.FleetView{Config: c.view.Config}
	for _, e := range c.entries {
		state := model.HostAlive
		if c.dead[e.name] {
			state = model.HostDead
		}
		next.Members = append(next.Members, model.Member{Host: e.name, EntryMesh: e.mesh.Address(), State: state})
	}
	c.view = next
}

func (c *cluster) waitFor(condition string, ok func() bool) {
	c.tb.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.tb.Fatalf("timed out waiting until %s", condition)
}

// ownerOf returns the entry host that owns the shard of a key, and another one that is not
// dead.
func (c *cluster) ownerOf(key string) (owner, other *entryHost) {
	c.tb.Helper()
	c.waitFor("the shard has an owner", func() bool {
		owner = nil
		for _, e := range c.entries {
			if o, ok := e.shardManager.Lookup(e.shardOf(hashKey(testKey(key)))); ok && o.Self {
				owner = e
			}
		}
		return owner != nil
	})
	for _, e := range c.entries {
		if e != owner && !c.dead[e.name] {
			other = e
		}
	}
	return owner, other
}

func testKey(key string) Key { return Key{Caller: "shop", Service: "desk", Idempotency: key} }

// result is the result code and the answer that a caller got.
type result struct {
	code resultcode.Code
	body string
}

func (r result) outcome() resultcode.Outcome { return r.code.Info().Outcome }

func codeOf(err error) resultcode.Code {
	var coded *resultcode.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return resultcode.Internal
}

// send processes a non-idempotent request like an entry program.
func (c *cluster) send(e *entryHost, key string, timeout time.Duration) result {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.sendWith(ctx, e.Service, key)
}

func (c *cluster) sendWith(ctx context.Context, claims Claims, key string) result {
	t, err := claims.Begin(ctx, testKey(key), 7)
	if err != nil {
		return result{code: codeOf(err)}
	}
	switch t.Verdict {
	case VerdictAnswered:
		return result{resultcode.OK, string(t.Answer.Body)}
	case VerdictUnknown:
		return result{code: resultcode.OutcomeUnknown}
	case VerdictAnswerLost:
		return result{code: resultcode.AnswerLost}
	}
	// Like in the entry program, a claimed request runs to its end regardless of the caller's
	// deadline.
	body, err := c.dispatch(context.WithoutCancel(ctx), key)
	if err != nil {
		claims.Settle(ctx, t, resultcode.Unknown, Answer{})
		return result{code: resultcode.EndpointFailed}
	}
	claims.Settle(ctx, t, resultcode.Ran, Answer{Status: http.StatusOK, Body: body})
	return result{resultcode.OK, string(body)}
}

func (c *cluster) dispatch(ctx context.Context, key string) ([]byte, error) {
	url := "http://" + c.plain.Address() + "/v1/call/order"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(key)))
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

// runs returns how often each key ran, as counted by the plain service.
func (c *cluster) runs() map[string]int {
	n := map[string]int{}
	for _, r := range c.plain.Runs() {
		n[r.Body]++
	}
	return n
}

// checkResults compares the results that callers received with what ran: no key ran twice,
// no last result says not run for a key that ran, and each answer is the one of its key.
func (c *cluster) checkResults(received map[string][]result) {
	c.tb.Helper()
	n := c.runs()
	for key, runs := range n {
		if runs > 1 {
			c.tb.Errorf("%s ran %d times", key, runs)
		}
	}
	for key, results := range received {
		last := results[len(results)-1]
		if last.outcome() == resultcode.NotRun && n[key] > 0 {
			c.tb.Errorf("%s got %v although it ran", key, last.code)
		}
		for _, r := range results {
			if r.code == resultcode.OK && r.body != standin.PlainAnswer("order", key) {
				c.tb.Errorf("%s got the answer %q", key, r.body)
			}
		}
	}
}
