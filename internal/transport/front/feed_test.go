package front

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// newTestFeed returns a feed that read two endpoints the given time ago, at a host that the
// store has just stopped serving.
func newTestFeed(age time.Duration) *Feed {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	path := NewStorePath(nil, func() []string { return nil }, log)
	path.failing = true
	f := NewFeed(feedDeps{path: path, catalog: &Catalog{}, fleet: NewFleet("a"), announce: func() {}, log: log})
	f.applyListing(testEndpoints(), sinceBoot()-age)
	return f
}

func testEndpoints() []catalog.Endpoint {
	return []catalog.Endpoint{{ID: "e0", Service: "s", Slots: 1}, {ID: "e1", Service: "s", Slots: 1}}
}

func knownEndpoints(f *Feed) int {
	n := 0
	f.fleet.WithTable(func(t *placement.Table) { n = len(t.All()) })
	return n
}

// An entry that disappears while the store serves other hosts was removed and has not
// expired. The endpoint must get no more work, even if the store does not serve this host.
// Found by a fault injection run (trouble-1 --seed 559511390106).
func TestFeed_RemovedEndpointDroppedDuringLocalOutage(t *testing.T) {
	f := newTestFeed(300 * time.Millisecond)
	f.applyListing(testEndpoints()[:1], sinceBoot())
	if got := knownEndpoints(f); got != 1 {
		t.Errorf("%d endpoints in use, want 1", got)
	}
}

// If no host could read the store for so long that entries expire, an endpoint whose entry
// is missing afterwards may register again and stays in use.
func TestFeed_KeepsEndpointWithExpiredEntry(t *testing.T) {
	f := newTestFeed(3200 * time.Millisecond)
	f.applyListing(testEndpoints()[:1], sinceBoot())
	if got := knownEndpoints(f); got != 2 {
		t.Errorf("%d endpoints in use, want 2", got)
	}
	f.applyListing(testEndpoints(), sinceBoot())
	if len(f.missing) != 0 {
		t.Error("an endpoint that registered again counts as missing")
	}
}

// A change makes hundreds of hosts ask for the same state within a moment: it must be encoded
// once for all of them, but never outlive a change, and its age must not be understated.
func TestFeed_AnswerEncodedOnceForAllPeers(t *testing.T) {
	f := newTestFeed(time.Second)
	f.applyListing(testEndpoints(), sinceBoot())
	decode := func(a peerAnswer) feedState {
		t.Helper()
		var s feedState
		if err := cbor.Unmarshal(a.plain, &s); err != nil {
			t.Fatal(err)
		}
		return s
	}
	ask := func() peerAnswer {
		t.Helper()
		a, err := f.Answer(0)
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	first, second := ask(), ask()
	if &first.plain[0] != &second.plain[0] {
		t.Error("the same state was encoded twice")
	}
	if age := decode(first).AgeMs; age < answerLifetime.Milliseconds() {
		t.Errorf("age %d ms, less than it may be when the answer is sent", age)
	}
	f.applyListing(testEndpoints()[:1], sinceBoot()+time.Second)
	if got := len(decode(ask()).Endpoints); got != 1 {
		t.Errorf("%d endpoints after one was removed, want 1", got)
	}
	time.Sleep(answerLifetime)
	if third := ask(); &third.plain[0] == &first.plain[0] || len(f.answers) > 1 {
		t.Errorf("an answer outlived its time; %d are kept", len(f.answers))
	}
}

// A configuration of more than a thousand routes took over three seconds to reach 53 hosts
// when each change of an endpoint sent it again. It is sent compressed, and only to peers
// that do not have it.
func TestFeed_ConfigurationSentOnceAndCompressed(t *testing.T) {
	f := newTestFeed(0)
	c := catalog.Config{Generation: 7}
	for i := range 1000 {
		c.Routes = append(c.Routes, catalog.Route{Name: fmt.Sprintf("r%d", i), Host: "h.example", PathPrefix: fmt.Sprintf("/p%d/", i),
			Targets: []catalog.Target{{Service: "s", Weight: 1}}})
	}
	value, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	f.decoder = testDecoder{}
	f.applyConfig(value, "store")
	if got := f.State(7).Config; len(got) != 0 {
		t.Errorf("a peer with the current generation got %d bytes", len(got))
	}
	compressed := f.State(6).Config
	if len(compressed) > len(value)/5 {
		t.Errorf("%d bytes compressed to %d", len(value), len(compressed))
	}
	got, err := decompress(compressed)
	if err != nil || !bytes.Equal(got, value) {
		t.Errorf("decompressed %d bytes of %d: %v", len(got), len(value), err)
	}
}

// countingRelay is a fake peer that counts the calls through it and fails them if down.
type countingRelay struct {
	objectapi.API
	calls int
	down  bool
}

func (r *countingRelay) Get(context.Context, string) (objectapi.Object, error) {
	r.calls++
	if r.down {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return objectapi.Object{}, objectapi.ErrNotFound
}

// A call through a peer that does not reach the store either waits for its timeout. Calls
// therefore stay with a peer that works and leave one that fails.
func TestStorePath_StaysWithWorkingRelay(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	relays := map[string]*countingRelay{"p1:1": {}, "p2:1": {down: true}, "p3:1": {}}
	path := NewStorePath(nil, func() []string { return []string{"p1:1", "p2:1", "p3:1"} }, log)
	path.failing, path.probedAt = true, time.Now()
	path.relayClient = func(address string) objectapi.API { return relays[address] }
	for range 30 {
		_, _ = path.Get(context.Background(), "hosts/h1")
	}
	if n := relays["p2:1"].calls; n > 1 {
		t.Errorf("the unreachable peer got %d calls", n)
	}
	if relays["p1:1"].calls+relays["p3:1"].calls < 29 {
		t.Error("the working peers got fewer than 29 calls")
	}
}
