package front

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
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
