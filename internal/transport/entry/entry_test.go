package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/claimservice"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// testEnv is one entry server with stand-in endpoints.
type testEnv struct {
	t          testing.TB
	config     *model.Config
	server     *Server
	httpServer *HTTPServer
	claims     *fakeClaims
	plains     []*standin.PlainService
	engine     []*standin.Engine
	client     *http.Client
	seq        uint64
	// address is the address to which requests are sent.
	address string
}

func newTestEnv(t testing.TB) *testEnv {
	b := &testEnv{t: t, claims: newFakeClaims(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	b.config = &model.Config{
		System: model.System{AddressLifetime: 100 * time.Millisecond},
		Zones:  map[model.ZoneID]model.Zone{"lj-a": {}, "lj-b": {}},
		Hosts: map[model.HostID]model.Host{
			"e1": {Zone: "lj-a", Entry: "127.0.0.1:20001"},
			"e2": {Zone: "lj-b", Entry: "127.0.0.1:20002"},
			"e3": {Zone: "lj-a", Entry: "127.0.0.1:20003"},
		},
		Deployments: map[model.DeploymentID]model.Deployment{"drafts": {MaxRunning: 8, TrainingFloor: 0.2}},
		Services: map[model.ServiceID]model.Service{
			"registry": {Timeout: 5 * time.Second, NonIdempotent: []string{"issue"}, Objective: 0.999, MaxRunning: 16},
		},
		Endpoints: map[model.EndpointID]model.Endpoint{},
		Callers: map[model.CallerID]model.Caller{
			"lab":     {Priority: model.PriorityLive},
			"trainer": {Priority: model.PriorityTraining},
		},
	}
	b.server = NewServer(Options{
		Host: "e1", Zone: "lj-a", Claims: b.claims, Metrics: prometheus.NewRegistry(),
		Log: slog.New(slog.DiscardHandler), Seed: 1,
	})
	b.httpServer = NewHTTPServer(b.server, newTestLimiter())
	if err := b.httpServer.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	b.address = b.httpServer.Address()
	t.Cleanup(func() {
		_ = b.httpServer.http.Close()
		b.server.background.Wait()
		b.client.CloseIdleConnections()
	})
	return b
}

// plain starts a stand-in plain endpoint of the service registry and configures it.
func (b *testEnv) plain(opt standin.PlainServiceOptions) *standin.PlainService {
	opt.Name = fmt.Sprintf("registry-%d", len(b.plains))
	p, err := standin.NewPlainService("127.0.0.1:0", opt)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(p.Close)
	b.plains = append(b.plains, p)
	b.endpoint(opt.Name, model.Endpoint{Kind: model.EndpointPlain, Service: "registry", Zone: "lj-a", Address: p.Address()})
	return p
}

// newEngine starts a stand-in engine of the deployment drafts and configures it.
func (b *testEnv) newEngine(opt standin.EngineOptions) *standin.Engine {
	opt.Name = fmt.Sprintf("engine-%d", len(b.engine))
	e, err := standin.NewEngine("127.0.0.1:0", opt)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(e.Close)
	b.engine = append(b.engine, e)
	b.endpoint(opt.Name, model.Endpoint{Kind: model.EndpointEngine, Deployment: "drafts", Zone: "lj-a", Address: e.Address()})
	return e
}

func (b *testEnv) endpoint(name string, e model.Endpoint) {
	b.config.Endpoints[model.EndpointID(name)] = e
}

// apply applies a new view with the current configuration to the server. change may modify
// the view before.
func (b *testEnv) apply(change func(*model.FleetView)) {
	b.seq++
	v := &model.FleetView{Sequence: b.seq, Generation: 1, Config: b.config}
	if change != nil {
		change(v)
	}
	b.server.Apply(v)
}

// poll runs the poll loop until the end of the test.
func (b *testEnv) poll() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { b.server.PollLoop(ctx) })
	b.t.Cleanup(func() { cancel(); running.Wait() })
}

// reply is an answer as received by a caller.
type reply struct {
	status  int
	body    string
	code    resultcode.Code
	outcome resultcode.Outcome
	header  http.Header
}

func (b *testEnv) call(call, body string, headers ...string) reply {
	r, err := b.tryCall(call, body, headers...)
	if err != nil {
		b.t.Fatal(err)
	}
	return r
}

func (b *testEnv) tryCall(call, body string, headers ...string) (reply, error) {
	return b.post("/v1/services/registry/"+call, body, headers...)
}

func (b *testEnv) post(path, body string, headers ...string) (reply, error) {
	resp, err := b.send(path, body, headers...)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, err
	}
	code, err := strconv.Atoi(resp.Header.Get(httpapi.ResultHeader))
	return reply{
		status: resp.StatusCode, body: string(got), code: resultcode.Code(code),
		outcome: resultcode.Outcome(resp.Header.Get(httpapi.OutcomeHeader)), header: resp.Header,
	}, err
}

func (b *testEnv) send(path, body string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+b.address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set(httpapi.CallerHeader, "lab")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return b.client.Do(req)
}

// generated is a stream as received by a caller.
type generated struct {
	tokens []uint32
	chunks []engineapi.Chunk
	done   bool
	fault  string
	reply  reply
}

func (b *testEnv) generate(g httpapi.GenerateRequest, headers ...string) generated {
	body, _ := json.Marshal(g)
	resp, err := b.send("/v1/deployments/drafts/generate", string(body), headers...)
	if err != nil {
		b.t.Error(err)
		return generated{}
	}
	defer func() { _ = resp.Body.Close() }()
	code, _ := strconv.Atoi(resp.Header.Get(httpapi.ResultHeader))
	out := generated{reply: reply{status: resp.StatusCode, code: resultcode.Code(code), outcome: resultcode.Outcome(resp.Header.Get(httpapi.OutcomeHeader))}}
	if resp.StatusCode != http.StatusOK {
		return out
	}
	scan := bufio.NewScanner(resp.Body)
	for scan.Scan() {
		var c engineapi.Chunk
		if err := json.Unmarshal(scan.Bytes(), &c); err != nil {
			b.t.Errorf("line %q: %v", scan.Text(), err)
		}
		if c.Error != "" {
			out.fault = c.Error
			continue
		}
		if c.Offset != len(out.tokens) {
			b.t.Errorf("chunk has offset %d, want %d", c.Offset, len(out.tokens))
		}
		out.tokens = append(out.tokens, c.Tokens...)
		out.chunks = append(out.chunks, c)
		out.done = out.done || c.Done && c.Total == len(out.tokens)
	}
	return out
}

// checkTokens compares a stream with the expected answer of the engine.
func checkTokens(t testing.TB, g generated, prompt string, seed uint64, length int) {
	t.Helper()
	if !g.done || len(g.tokens) != length {
		t.Errorf("stream of %q: done %v, %d of %d tokens, error %q, code %v", prompt, g.done, len(g.tokens), length, g.fault, g.reply.code)
	}
	for i, token := range g.tokens {
		if token != standin.TokenAt(prompt, seed, i) {
			t.Fatalf("token %d of the answer to %q differs from the expected token", i, prompt)
		}
	}
}

// fakeClaims keeps claims in memory, in place of the claim service.
type fakeClaims struct {
	mu   sync.Mutex
	held map[claimservice.Key]*fakeClaim
	// down makes Begin fail with ClaimUnavailable.
	down bool
}

type fakeClaim struct {
	ended   chan struct{}
	outcome resultcode.Outcome
	answer  claimservice.Answer
}

func newFakeClaims() *fakeClaims { return &fakeClaims{held: map[claimservice.Key]*fakeClaim{}} }

func (f *fakeClaims) Begin(ctx context.Context, key claimservice.Key, _ uint64) (claimservice.Claim, error) {
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return claimservice.Claim{}, resultcode.New(resultcode.ClaimUnavailable, "down")
	}
	c := f.held[key]
	if c == nil {
		f.held[key] = &fakeClaim{ended: make(chan struct{})}
		f.mu.Unlock()
		return claimservice.Claim{Key: key, Verdict: claimservice.VerdictRun}, nil
	}
	f.mu.Unlock()
	select {
	case <-c.ended:
	case <-ctx.Done():
		return claimservice.Claim{}, resultcode.New(resultcode.InProgress, "running")
	}
	switch c.outcome {
	case resultcode.Ran:
		return claimservice.Claim{Key: key, Verdict: claimservice.VerdictAnswered, Answer: c.answer}, nil
	case resultcode.NotRun:
		return f.Begin(ctx, key, 0)
	}
	return claimservice.Claim{Key: key, Verdict: claimservice.VerdictUnknown}, nil
}

func (f *fakeClaims) Settle(_ context.Context, t claimservice.Claim, o resultcode.Outcome, a claimservice.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.held[t.Key]
	c.outcome, c.answer = o, a
	if o == resultcode.NotRun {
		delete(f.held, t.Key)
	}
	close(c.ended)
}
