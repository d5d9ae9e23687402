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

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// newTestFeed returns a feed that has read two endpoints the given time ago, at a host
// that the store turned away just now.
func newTestFeed(age time.Duration) *Feed {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	path := NewStorePath(nil, func() []string { return nil }, log)
	path.failing = true
	f := NewFeed(feedDeps{path: path, catalog: &Catalog{}, fleet: NewFleet("a"), announce: func() {}, log: log})
	f.take(twoEndpoints(), sinceBoot()-age)
	return f
}

func twoEndpoints() []catalog.Endpoint {
	return []catalog.Endpoint{{ID: "e0", Service: "s", Slots: 1}, {ID: "e1", Service: "s", Slots: 1}}
}

func known(f *Feed) int {
	n := 0
	f.fleet.With(func(t *placement.Table) { n = len(t.All()) })
	return n
}

// A removal that is read while the store serves other hosts is no lapse: the endpoint
// leaves and must get no more work, also when this host itself was turned away.
// Found by a hunt at nassar-orders (trouble-1 --seed 559511390106).
func TestAnEndpointThatLeavesIsGoneAtOnceThoughTheStoreTurnedThisHostAway(t *testing.T) {
	f := newTestFeed(300 * time.Millisecond)
	f.take(twoEndpoints()[:1], sinceBoot())
	if got := known(f); got != 1 {
		t.Errorf("%d endpoints are used, not 1", got)
	}
}

// When nobody could read the store for so long that entries lapse, an entry that is
// missing afterwards may come back.
func TestAnEndpointWhoseEntryMayHaveLapsedIsStillUsed(t *testing.T) {
	f := newTestFeed(lapseAfter + time.Second)
	f.take(twoEndpoints()[:1], sinceBoot())
	if got := known(f); got != 2 {
		t.Errorf("%d endpoints are used, not 2", got)
	}
	f.take(twoEndpoints(), sinceBoot())
	if len(f.held) != 0 {
		t.Error("an endpoint that came back is still in doubt")
	}
}

// A configuration of more than a thousand routes once took over three seconds to reach
// 53 hosts, since each change of an endpoint carried it again.
func TestAConfigurationIsPassedOnOnceAndSmall(t *testing.T) {
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
	f.apply(value, "store")
	if got := f.State(7).Config; len(got) != 0 {
		t.Errorf("a peer that has it gets %d bytes", len(got))
	}
	packed := f.State(6).Config
	if len(packed) > len(value)/5 {
		t.Errorf("%d bytes are packed into %d", len(value), len(packed))
	}
	got, err := decompress(packed)
	if err != nil || !bytes.Equal(got, value) {
		t.Errorf("unpacked %d bytes of %d: %v", len(got), len(value), err)
	}
}

// countingRelay answers calls as a peer does; down says that it cannot be reached.
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

// A call that takes a turn through a peer that is cut off too waits for its timeout. So a
// peer that serves is kept, and one that fails is left.
func TestCallsKeepToThePeerThatReachesTheStore(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	relays := map[string]*countingRelay{"p1:1": {}, "p2:1": {down: true}, "p3:1": {}}
	path := NewStorePath(nil, func() []string { return []string{"p1:1", "p2:1", "p3:1"} }, log)
	path.failing, path.probedAt = true, time.Now()
	path.dial = func(address string) objectapi.API { return relays[address] }
	for range 30 {
		_, _ = path.Get(context.Background(), "hosts/h1")
	}
	if n := relays["p2:1"].calls; n > 1 {
		t.Errorf("the peer that is cut off got %d calls", n)
	}
	if relays["p1:1"].calls+relays["p3:1"].calls < 29 {
		t.Error("calls were lost")
	}
}
