package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// The tests of this file guard against wrong beliefs and broken promises of hosts that have lost
// their links to all endpoints. Package platform tests the same with HTTP connections.

// hostLinks are the links of one host to the fake endpoints.
type hostLinks struct {
	*fakeEngines
	// silenced links lose all packets: dials time out, and open connections get no answer.
	silenced atomic.Bool
	// refusing links refuse new connections; open ones work.
	refusing atomic.Bool
	// losingAnswers links deliver requests but no answers, and break after answerLossTime.
	losingAnswers atomic.Bool
	// eventGap is the time between the two events of a caller's stream.
	eventGap time.Duration
}

// silentDialTimeout is the time after which a dial over silenced links fails.
const silentDialTimeout = 50 * time.Millisecond

// answerLossTime is the time after which a connection without an answer breaks. The links are found to
// be lost before.
const answerLossTime = 700 * time.Millisecond

func (l *hostLinks) dial() error {
	switch {
	case l.refusing.Load():
		return errors.Join(backend.ErrNotRun, backend.ErrUnreachable, errors.New("connection refused"))
	case !l.silenced.Load():
		return nil
	}
	time.Sleep(silentDialTimeout)
	return errors.Join(backend.ErrNotRun, backend.ErrUnreachable, errors.New("dial timed out"))
}

// Do hangs on silenced links, as on a connection that was open before.
func (l *hostLinks) Do(ctx context.Context, r backend.Request) (*backend.Answer, error) {
	if l.losingAnswers.Load() {
		_, _ = l.fakeEngines.Do(ctx, r)
		select {
		case <-ctx.Done():
		case <-time.After(answerLossTime):
		}
		return nil, errors.Join(backend.ErrIncompleteAnswer, &net.OpError{Op: "read", Err: syscall.ETIMEDOUT})
	}
	if l.silenced.Load() {
		<-ctx.Done()
		return nil, errors.Join(backend.ErrIncompleteAnswer, ctx.Err())
	}
	return l.fakeEngines.Do(ctx, r)
}

func (l *hostLinks) Generate(ctx context.Context, g backend.GenerateRequest, emit func(backend.Event) error) error {
	if err := l.dial(); err != nil {
		return err
	}
	return l.fakeEngines.Generate(ctx, g, func(e backend.Event) error {
		if l.silenced.Load() {
			<-ctx.Done()
			return errors.Join(backend.ErrIncompleteAnswer, ctx.Err())
		}
		return emit(e)
	})
}

// Stream sends a stream of two events.
func (l *hostLinks) Stream(ctx context.Context, _ backend.GenerateRequest, writeHead func(*backend.Answer) error, writeChunk func([]byte) error) error {
	if err := l.dial(); err != nil {
		return err
	}
	if err := errors.Join(writeHead(&backend.Answer{Status: http.StatusOK}), writeChunk([]byte("1"))); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return errors.Join(backend.ErrIncompleteAnswer, ctx.Err())
	case <-time.After(l.eventGap):
	}
	if l.silenced.Load() {
		<-ctx.Done()
		return errors.Join(backend.ErrIncompleteAnswer, ctx.Err())
	}
	return writeChunk([]byte("2"))
}

func (l *hostLinks) CheckConnection(ctx context.Context, e catalog.Endpoint) error {
	if err := l.dial(); err != nil {
		return err
	}
	return l.fakeEngines.CheckConnection(ctx, e)
}

func (l *hostLinks) Order(ctx context.Context, o backend.Order) (backend.OrderResult, error) {
	if err := l.dial(); err != nil {
		return 0, err
	}
	return l.fakeEngines.Order(ctx, o)
}

func (l *hostLinks) ReadReport(ctx context.Context, e catalog.Endpoint) (backend.Report, error) {
	if err := l.dial(); err != nil {
		return backend.Report{}, err
	}
	return l.fakeEngines.ReadReport(ctx, e)
}

// plainRequest returns a request of the route with a path prefix.
func plainRequest(id, path string) *Inbound {
	return &Inbound{ID: id, Host: "h", Method: http.MethodPost, URI: path, Path: path, Body: []byte(id), Budget: time.Second}
}

func (n *testNode) forward(in *Inbound) (*backend.Answer, error) {
	route, err := n.Forwarder.Route(in.Host, in.Path)
	if err != nil {
		return nil, err
	}
	return n.Forwarder.Forward(background, route, in)
}

// blamed returns what is wrong about sound endpoints in the view of a host or in its reports, or "".
func (n *testNode) blamed() string {
	now := time.Now()
	var out string
	n.Forwarder.fleet.WithTable(func(t *placement.Table) {
		for _, e := range t.All() {
			if t.IsImpaired(now, e.ID) {
				out = fmt.Sprintf("endpoint %s counts as impaired at %s", e.ID, n.Settings.Host)
			}
		}
	})
	var h presence.Heartbeat
	n.fillHeartbeat(&h)
	if len(h.Unreachable)+len(h.Slow)+len(h.Quarantine) > 0 {
		out = fmt.Sprintf("%s reports %d endpoints as unreachable, %d as slow and %d requests as crashing endpoints",
			n.Settings.Host, len(h.Unreachable), len(h.Slow), len(h.Quarantine))
	}
	return out
}

// A host that loses its links while it forwards requests and runs a batch blames no endpoint and no
// request for it, neither in its own decisions nor in its reports to the others.
func TestCutOff_EndpointsNotBlamed(t *testing.T) {
	w := newTestCluster(t)
	w.engines.eventInterval = 20 * time.Millisecond
	w.engines.setDo(func(r backend.Request) (*backend.Answer, error) {
		time.Sleep(10 * time.Millisecond) // answers without any delay differ in their time by a multiple
		return &backend.Answer{Status: http.StatusOK, Signature: "signed-" + r.ID}, nil
	})
	for _, id := range []string{"p1", "p2"} {
		w.put("endpoints/"+id, catalog.Endpoint{ID: id, Service: "plain", Address: id + ":1", Zone: "a", Slots: 8})
	}
	hosts := w.start("h1", "h2", "h3")
	id := submit(t, hosts[0], 20, 60)
	owner, _ := w.owner(id)
	w.waitUntil("samples run", func() bool { return w.engines.generating.Load() > 4 })
	owner.links.silenced.Store(true)
	var callers sync.WaitGroup
	for i := range 10 {
		callers.Go(func() {
			for round := range 12 {
				if _, err := owner.forward(plainRequest(fmt.Sprintf("r%d-%d", i, round), "/plain/x")); err != nil && round > 0 {
					t.Errorf("request %d of caller %d: %v", round, i, err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	defer callers.Wait() // also after a failure: a caller that reports later would end the whole run
	end := time.Now().Add(3 * time.Second)
	w.waitUntil("the host knows that it is cut off", owner.CutOff)
	for ; time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, n := range hosts {
			if wrong := n.blamed(); wrong != "" {
				t.Fatal(wrong)
			}
		}
	}
}

// A holder of the weights lease that loses its links leaves the lease to a host that has them. Orders
// never go through a peer, which would be a second holder to the engines.
func TestCutOff_HolderReleasesLease(t *testing.T) {
	w := newTestCluster(t)
	w.engines.loaded = w.register
	hosts := w.start("h1", "h2", "h3")
	w.put("models/m", 2)
	w.waitUntil("version 2 is loaded", w.loaded(2))
	holder := hosts[slices.IndexFunc(hosts, func(n *testNode) bool { return n.weights.FencingToken() != 0 })]
	holder.links.silenced.Store(true)
	w.put("models/m", 3)
	began := time.Now()
	w.waitUntil("version 3 is loaded", w.loaded(3))
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("the engines loaded the next version %v after the holder had lost its links", took)
	}
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	checkOrders(t, w.engines.received, holder.Settings.Lease)
	for _, o := range w.engines.received {
		if o.version == 3 && o.holder == holder.Settings.Host {
			t.Errorf("engine %s received an order of %s, which has no links", o.endpoint, o.holder)
		}
	}
}

// While no host has links, the holder keeps the lease: nobody else could order more.
func TestCutOff_HolderKeepsLeaseIfNoHostHasLinks(t *testing.T) {
	w := newTestCluster(t)
	hosts := w.start("h1", "h2")
	w.waitUntil("a host holds the lease", func() bool { return hosts[0].weights.FencingToken()+hosts[1].weights.FencingToken() != 0 })
	token := hosts[0].weights.FencingToken() + hosts[1].weights.FencingToken()
	for _, n := range hosts {
		n.links.silenced.Store(true)
		_, _ = n.forward(plainRequest("r-"+n.Settings.Host, "/plain/x"))
	}
	w.waitUntil("both hosts know that they are cut off", func() bool { return hosts[0].CutOff() && hosts[1].CutOff() })
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if now := hosts[0].weights.FencingToken() + hosts[1].weights.FencingToken(); now != token {
			t.Fatalf("fencing tokens add up to %d, want %d: the lease moved", now, token)
		}
	}
}

// cutOffHost returns three hosts, the first of which knows that it is cut off.
func cutOffHost(t *testing.T) (w *testCluster, cut, linked1, linked2 *testNode) {
	w = newTestCluster(t)
	hosts := w.start("h1", "h2", "h3")
	hosts[0].links.silenced.Store(true)
	w.waitUntil("a request is served at the host without links", func() bool {
		_, err := hosts[0].forward(plainRequest("first", "/plain/x"))
		return err == nil
	})
	if !hosts[0].CutOff() {
		t.Fatal("a request was served at a host with silenced links that does not know it is cut off")
	}
	w.waitUntil("the others know it too", func() bool {
		m, _ := hosts[1].peers.Get("h1")
		return m.CutOff
	})
	return w, hosts[0], hosts[1], hosts[2]
}

// blockingDo makes plain requests block until release is called, and returns a channel that receives
// the id of each request that has begun to run.
func (w *testCluster) blockingDo() (running <-chan string, release func()) {
	began, released := make(chan string, 64), make(chan struct{})
	w.engines.setDo(func(r backend.Request) (*backend.Answer, error) {
		began <- r.ID
		<-released
		return &backend.Answer{Status: http.StatusOK, Signature: "signed-" + r.ID}, nil
	})
	return began, sync.OnceFunc(func() { close(released) })
}

func (w *testCluster) runs(id string) int {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	return w.engines.runs[id]
}

// relayOf returns which of two hosts runs a request for a peer.
func (w *testCluster) relayOf(a, b *testNode) *testNode {
	w.t.Helper()
	var relay *testNode
	w.waitUntil("a host runs the request for its peer", func() bool {
		for _, n := range []*testNode{a, b} {
			if n.inflight.Load() > 0 {
				relay = n
			}
		}
		return relay != nil
	})
	return relay
}

// The answer to a request that may run only once is lost with the peer that sent it. The request runs
// once, and the caller is not told that it did not run.
func TestCutOff_LostPeerNotRepeatedUnlessAllowed(t *testing.T) {
	for path, want := range map[string]struct {
		served bool
		runs   int
	}{"/once/x": {false, 1}, "/slow/x": {true, 2}} {
		t.Run(path, func(t *testing.T) {
			w, cut, a, b := cutOffHost(t)
			running, release := w.blockingDo()
			defer release()
			in := plainRequest("lost", path)
			in.Budget = 10 * time.Second
			done := make(chan error, 1)
			go func() {
				_, err := cut.forward(in)
				done <- err
			}()
			<-running
			w.kill(w.relayOf(a, b))
			if want.served {
				<-running // sent again through the other peer
			}
			time.Sleep(200 * time.Millisecond)
			release()
			err := <-done
			var coded *resultcode.Error
			switch {
			case want.served && err != nil:
				t.Errorf("the repeatable request failed: %v", err)
			case !want.served && (!errors.As(err, &coded) || coded.Code.Info().Outcome == resultcode.NotRun):
				t.Errorf("the request ended with %v, want an error that does not say it did not run", err)
			}
			if got := w.runs("lost"); got != want.runs {
				t.Errorf("the request ran %d times, want %d", got, want.runs)
			}
		})
	}
}

// A request is under way when the links are lost, and its answer never arrives. If it may run only
// once it is not sent again, and the caller is not told that it did not run.
func TestCutOff_RequestUnderWayNotRepeatedUnlessAllowed(t *testing.T) {
	for path, want := range map[string]struct {
		served bool
		runs   int
	}{"/once/x": {false, 1}, "/plain/x": {true, 2}} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t)
			n := w.start("h1", "h2")[0]
			n.links.losingAnswers.Store(true)
			n.links.silenced.Store(true)
			_, err := n.forward(plainRequest("lost", path))
			var coded *resultcode.Error
			switch {
			case want.served && err != nil:
				t.Errorf("the repeatable request failed: %v", err)
			case !want.served && (!errors.As(err, &coded) || coded.Code.Info().Outcome == resultcode.NotRun):
				t.Errorf("the request ended with %v, want an error that does not say it did not run", err)
			}
			if got := w.runs("lost"); got != want.runs {
				t.Errorf("the request ran %d times, want %d", got, want.runs)
			}
		})
	}
}

// Peers that stop, or have lost their links without knowing it, cost no request.
func TestCutOff_PeerThatCannotSendIsPassedOver(t *testing.T) {
	w, cut, a, b := cutOffHost(t)
	a.draining.Store(true)
	for i := range 20 {
		if _, err := cut.forward(plainRequest(fmt.Sprintf("draining-%d", i), "/plain/x")); err != nil {
			t.Errorf("request %d while a peer drains: %v", i, err)
		}
	}
	a.draining.Store(false)
	w.waitUntil("the peer is used again", func() bool {
		m, ok := cut.peers.Get(a.Settings.Host)
		return ok && !m.Draining
	})
	b.links.silenced.Store(true)
	for i := range 20 {
		if _, err := cut.forward(plainRequest(fmt.Sprintf("silenced-%d", i), "/plain/x")); err != nil {
			t.Errorf("request %d while a peer has lost its links: %v", i, err)
		}
	}
}

// A peer that knows an endpoint to be leaving sends it nothing, whatever the host without links knows.
func TestCutOff_PeerSendsNothingToLeavingEndpoint(t *testing.T) {
	w, _, a, _ := cutOffHost(t)
	var e catalog.Endpoint
	a.Forwarder.fleet.WithTable(func(table *placement.Table) {
		e, _ = table.Get("p0")
		table.MarkLeaving(e)
	})
	err := a.sendForPeer(relayedDo, e, "late")
	if !errors.Is(err, backend.ErrNotRun) || errors.Is(err, errRelayUnavailable) || w.runs("late") != 0 {
		t.Errorf("error %v and %d runs, want a refusal that is final", err, w.runs("late"))
	}
}

// sendForPeer has a host send a request for a peer, and returns the error that the peer gets.
func (n *testNode) sendForPeer(kind relayedKind, e catalog.Endpoint, id string) error {
	relay := &relayServer{path: n.endpoints, fleet: n.Forwarder.fleet, draining: n.Draining, mayFinish: n.mayRelay, bodies: n.Bodies}
	return relay.serve(background, &relayedRequest{Kind: kind, Endpoint: e, ID: id, RemainingMs: 1000},
		&partWriter{parts: cbor.NewEncoder(io.Discard), flush: func() error { return nil }})
}

// A host that has no links itself, or drains and cannot finish them, declines the requests of its peers,
// so that they ask another one. It sends none of them.
func TestCutOff_UnavailablePeerDeclines(t *testing.T) {
	w, cut, a, _ := cutOffHost(t)
	a.draining.Store(true)
	var e catalog.Endpoint
	a.Forwarder.fleet.WithTable(func(table *placement.Table) { e, _ = table.Get("p0") })
	for _, n := range []*testNode{cut, a} {
		for kind := relayedDo; kind <= relayedCheck; kind++ {
			if err := n.sendForPeer(kind, e, "declined"); !errors.Is(err, errRelayUnavailable) || !errors.Is(err, backend.ErrNotRun) {
				t.Errorf("kind %d at %s: error %v, want that the host is not available", kind, n.Settings.Host, err)
			}
		}
	}
	if got := w.runs("declined"); got != 0 {
		t.Errorf("declined requests ran %d times", got)
	}
}

// While no host has links, a request is refused at once as not run, and the caller is told when to
// come back. No request hangs until its deadline.
func TestCutOff_RefusedAtOnceIfNoHostHasLinks(t *testing.T) {
	w, cut, a, b := cutOffHost(t)
	for _, n := range []*testNode{a, b} {
		n.links.silenced.Store(true)
		_, _ = n.forward(plainRequest("last-"+n.Settings.Host, "/plain/x"))
	}
	w.waitUntil("every host knows that it is cut off", func() bool { return a.CutOff() && b.CutOff() })
	w.waitUntil("the hosts know it of each other", func() bool { return cut.endpoints.relays.count() == 0 })
	for i := range 20 {
		id := fmt.Sprintf("refused-%d", i)
		began := time.Now()
		_, err := cut.forward(plainRequest(id, "/plain/x"))
		var coded *resultcode.Error
		if !errors.As(err, &coded) || coded.Code.Info().Outcome != resultcode.NotRun || coded.RetryAfterMillis == 0 {
			t.Errorf("error %v, want a refusal as not run with a time to come back", err)
		}
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("the refusal took %v", took)
		}
		if got := w.runs(id); got != 0 {
			t.Errorf("a refused request ran %d times", got)
		}
	}
}

// Endpoints are not given more time through a peer than the caller still has, and a caller that gives
// up ends its request at the endpoint.
func TestCutOff_DeadlineAndCancellationReachEndpoint(t *testing.T) {
	w, cut, _, _ := cutOffHost(t)
	deadlines := make(chan time.Time, 1)
	w.engines.setDo(func(r backend.Request) (*backend.Answer, error) {
		deadlines <- r.Deadline
		return &backend.Answer{Status: http.StatusOK, Signature: "signed-" + r.ID}, nil
	})
	latest := time.Now().Add(time.Second)
	if _, err := cut.forward(plainRequest("deadline", "/plain/x")); err != nil {
		t.Fatal(err)
	}
	if got := <-deadlines; got.After(latest.Add(50 * time.Millisecond)) {
		t.Errorf("the endpoint was given %v more than the caller has", got.Sub(latest))
	}
	ctx, cancel := context.WithCancel(background)
	ended := make(chan error, 1)
	e := catalog.Endpoint{ID: "e0"}
	cut.Forwarder.fleet.WithTable(func(table *placement.Table) { e, _ = table.Get("e0") })
	go func() {
		ended <- cut.endpoints.Generate(ctx, backend.GenerateRequest{Request: backend.Request{
			Endpoint: e, ID: "long", Header: http.Header{"Events": {"100000"}}, Deadline: time.Now().Add(time.Minute),
		}}, func(backend.Event) error { return nil })
	}()
	open := func() int {
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		return w.engines.openStreams["e0"]
	}
	w.waitUntil("the stream runs", func() bool { return open() == 1 })
	// No event follows whose delivery could fail, so only the cancellation can end the stream.
	w.engines.mu.Lock()
	w.engines.eventInterval = time.Minute
	w.engines.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	cancel()
	<-ended
	cancelled := time.Now()
	w.waitUntil("the stream ends at the endpoint", func() bool { return open() == 0 })
	if took := time.Since(cancelled); took > 500*time.Millisecond {
		t.Errorf("the endpoint worked for %v after the caller had given up", took)
	}
}

// relaysThrough returns the relays of a host whose only peer answers with the given parts.
func relaysThrough(t *testing.T, parts ...*relayedPart) *endpointRelays {
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		out := &partWriter{parts: cbor.NewEncoder(w), flush: http.NewResponseController(w).Flush}
		for _, p := range parts {
			_ = out.write(p)
		}
	}))
	t.Cleanup(peer.Close)
	peers := NewPeers(presence.Member{Host: "h1"}, 0)
	peers.table.Receive(time.Now(), presence.Heartbeat{Member: presence.Member{Host: "h2", Incarnation: 1, PeerAddress: strings.TrimPrefix(peer.URL, "http://")}, Sequence: 1})
	return newEndpointRelays(Settings{Host: "h1"}, peers, prometheus.NewRegistry())
}

// An answer whose end is lost on the way through a peer is not taken for a complete one.
func TestCutOff_TruncatedAnswerOfPeerIsIncomplete(t *testing.T) {
	relays := relaysThrough(t, &relayedPart{Head: &relayedHead{Status: http.StatusOK, Signature: "signed"}}, &relayedPart{Chunk: []byte("half of the answer")})
	answer, err := relays.do(background, backend.Request{ID: "r", Method: http.MethodPost, Deadline: time.Now().Add(time.Second)})
	if answer != nil || !errors.Is(err, backend.ErrIncompleteAnswer) || errors.Is(err, backend.ErrNotRun) {
		t.Errorf("answer %v, error %v, want an incomplete answer", answer, err)
	}
}

// A peer that declines a request after it has begun to answer has left it unfinished: it may have run, and no other peer may
// go on with the answer.
func TestCutOff_PeerDeclinesWithinAnswer(t *testing.T) {
	relays := relaysThrough(t, &relayedPart{Head: &relayedHead{Status: http.StatusOK, Signature: "signed"}}, &relayedPart{Chunk: []byte("id: 1\n")},
		&relayedPart{End: &relayedEnd{Declined: true, Errors: 1, Detail: "stopping"}})
	heads := 0
	err := relays.stream(background, backend.GenerateRequest{Request: backend.Request{ID: "r", Method: http.MethodPost, Deadline: time.Now().Add(time.Second)}},
		func(*backend.Answer) error { heads++; return nil }, func([]byte) error { return nil })
	if heads != 1 || !errors.Is(err, backend.ErrIncompleteAnswer) || errors.Is(err, backend.ErrNotRun) {
		t.Errorf("%d heads, error %v, want one and an incomplete answer", heads, err)
	}
}

// Header values and events may hold bytes that are no valid UTF-8. They reach the endpoint and the
// caller unchanged through a peer.
func TestCutOff_AnyBytesPassThroughPeer(t *testing.T) {
	w, cut, _, _ := cutOffHost(t)
	received := make(chan string, 1)
	w.engines.setDo(func(r backend.Request) (*backend.Answer, error) {
		received <- r.Header.Get("Name")
		return &backend.Answer{Status: http.StatusOK, Signature: "signed-" + r.ID, Header: http.Header{"Name": {"\xe9"}}, Body: []byte{0xff, 0}}, nil
	})
	in := plainRequest("bytes", "/plain/x")
	in.Header = http.Header{"Name": {"caf\xe9"}}
	answer, err := cut.forward(in)
	if err != nil {
		t.Fatal(err)
	}
	if got := <-received; got != "caf\xe9" {
		t.Errorf("the endpoint received %q", got)
	}
	if answer.Header.Get("Name") != "\xe9" || string(answer.Body) != "\xff\x00" {
		t.Errorf("the caller received %q and %q", answer.Header.Get("Name"), answer.Body)
	}
	var e catalog.Endpoint
	cut.Forwarder.fleet.WithTable(func(table *placement.Table) { e, _ = table.Get("e0") })
	var events []string
	err = cut.endpoints.Generate(background, backend.GenerateRequest{Request: backend.Request{
		Endpoint: e, ID: "\xe9", Header: http.Header{"Events": {"2"}}, Deadline: time.Now().Add(time.Second),
	}}, func(e backend.Event) error {
		events = append(events, e.Data)
		return nil
	})
	if err != nil || len(events) != 2 || events[0] != "\xe9#1" {
		t.Errorf("received events %q, error %v", events, err)
	}
}

// A peer that finds that it has no links itself reports the connection that failed. The endpoint is not
// to be blamed for it.
func TestCutOff_DecliningPeerBlamesNoEndpoint(t *testing.T) {
	end := newRelayedEnd(errors.Join(backend.ErrNotRun, backend.ErrUnreachable, backend.ErrPathLost))
	end.Declined = true
	_, err := relaysThrough(t, &relayedPart{End: end}).do(background, backend.Request{ID: "r", Method: http.MethodPost, Deadline: time.Now().Add(time.Second)})
	if !errors.Is(err, backend.ErrNotRun) || !errors.Is(err, backend.ErrPathLost) || errors.Is(err, backend.ErrUnreachable) {
		t.Errorf("error %v, want one that says not run and blames no endpoint", err)
	}
}

// A caller's stream that has begun on silenced links ends, so that the caller can take it up again
// before it gives up, which callers do after 2 s without an event. One on a connection that still works
// goes on, even if its events are a second apart.
func TestCutOff_BegunStreamEndsOnlyIfSilent(t *testing.T) {
	for name, c := range map[string]struct {
		lose    func(l *hostLinks)
		resumed bool
		broken  bool
	}{
		"silenced":                  {func(l *hostLinks) { l.silenced.Store(true) }, true, true},
		"refused":                   {func(l *hostLinks) { l.refusing.Store(true) }, true, false},
		"refused and not resumable": {func(l *hostLinks) { l.refusing.Store(true) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestCluster(t)
			n := w.start("h1", "h2")[0]
			n.links.eventGap = time.Second
			e := catalog.Endpoint{ID: "p0"}
			w.waitUntil("the endpoint is known", func() bool {
				n.Forwarder.fleet.WithTable(func(table *placement.Table) { e, _ = table.Get("p0") })
				return e.Address != ""
			})
			var received string
			err := n.endpoints.Stream(background, backend.GenerateRequest{Request: backend.Request{Endpoint: e, ID: "s", Repeatable: c.resumed}},
				func(*backend.Answer) error { return nil },
				func(b []byte) error {
					if received += string(b); received == "1" {
						c.lose(n.links)
						go func() { _ = n.endpoints.CheckConnection(background, e) }() // another request notices the loss
					}
					return nil
				})
			if broken := err != nil; broken != c.broken || !broken && received != "12" {
				t.Errorf("received %q, error %v", received, err)
			}
			if err != nil && !errors.Is(err, backend.ErrPathLost) {
				t.Errorf("error %v, want one that does not blame the endpoint", err)
			}
		})
	}
}

// A stream that is silent for longer than a loss of the links lasted is not ended because of the loss
// afterwards, but is when the links are lost again.
func TestCutOff_StreamOutlastsShortLoss(t *testing.T) {
	for name, again := range map[string]bool{"once": false, "again": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t)
			n := w.start("h1", "h2")[0]
			n.links.eventGap = 2500 * time.Millisecond
			e := catalog.Endpoint{ID: "p0"}
			w.waitUntil("the endpoint is known", func() bool {
				n.Forwarder.fleet.WithTable(func(table *placement.Table) { e, _ = table.Get("p0") })
				return e.Address != ""
			})
			lose := func() {
				n.links.refusing.Store(true)
				_ = n.endpoints.CheckConnection(background, e)
			}
			err := n.endpoints.Stream(background, backend.GenerateRequest{Request: backend.Request{Endpoint: e, ID: "s", Repeatable: true}},
				func(*backend.Answer) error { return nil },
				func(b []byte) error {
					if string(b) != "1" {
						return nil
					}
					go func() {
						lose()
						n.links.refusing.Store(false)
						time.Sleep(1700 * time.Millisecond) // the next check finds the links back
						if again {
							lose()
						}
					}()
					return nil
				})
			if broken := err != nil; broken != again {
				t.Errorf("error %v, want one: %v", err, again)
			}
		})
	}
}
