package front

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/batches"
)

// clockDifference is how far the time of day of two hosts differs in these tests, more than any limit.
const clockDifference = time.Hour

// A batch was accepted by a host whose time of day is behind that of the next owner, or that of the next
// owner has stepped: its samples must not be abandoned before their time.
func TestTakeover_NotAbandonedByOtherClock(t *testing.T) {
	w := newTestCluster(t)
	n := w.start("h1")[0]
	b := batch("b1", 2, 3)
	b.MinVersion = 2 // no engine has this version yet
	w.storeBatch(n, b, batches.Manifest{AcceptedUnixMs: time.Now().Add(-clockDifference).UnixMilli()})
	n.Batches.tryTakeOver(background, b.ID, "test")
	time.Sleep(3 * attemptCheckInterval)
	w.addEngine("e9", 2)
	w.checkResults(b, w.readAll(n, b.ID))
}
