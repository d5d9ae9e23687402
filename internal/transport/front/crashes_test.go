package front

import (
	"net/http"
	"testing"

	"oleanderfall.example/oleanderfall/internal/protocol/backend"
)

// Engines die again and again while they run the same sound samples. Once they are back, the samples
// are placed again: none of them is the cause.
func TestSamples_PlacedAgainAfterManyCrashes(t *testing.T) {
	w := newTestCluster(t)
	n := w.start("h1")[0]
	w.engines.crashes = 7
	id := submit(t, n, 2, 5)
	w.checkResults(batch(id, 2, 5), w.readAll(n, id))
}

// Endpoints die again and again while they run a sample's scoring request, which is as sound as the
// sample. It is sent again, while the same request of a caller would be quarantined.
func TestScoring_SentAgainAfterManyCrashes(t *testing.T) {
	w := newTestCluster(t)
	n := w.start("h1")[0]
	w.setDown("p0", true) // for the check of the connection after each crash
	w.engines.setDo(func(r backend.Request) (*backend.Answer, error) {
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		if w.engines.runs[r.ID] <= 5 {
			return nil, backend.ErrIncompleteAnswer
		}
		return &backend.Answer{Status: http.StatusOK, Signature: "signed-" + r.ID}, nil
	})
	id := submit(t, n, 1, 5)
	w.checkResults(batch(id, 1, 5), w.readAll(n, id))
}
