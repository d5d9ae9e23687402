package front

import (
	"net/http"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/batches"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// scoreTimeout bounds one attempt of a scoring request.
	scoreTimeout = 2 * time.Second
	// scoreRetryDelay is the pause before a scoring request that did not run is sent again. It
	// doubles up to maxScoreRetryDelay after each further answer that refuses the request.
	scoreRetryDelay    = 60 * time.Millisecond
	maxScoreRetryDelay = 2 * time.Second
)

// scoreResult is the outcome of scoring a sample, reported to the batch's goroutine.
type scoreResult struct {
	sample int
	score  string
	// failed is true if the scoring request ran and failed; score is then empty.
	failed bool
}

// score sends a sample's scoring request until it has run or the batch is stopped, and sends
// the result to the goroutine of the batch.
func (a *activeBatch) score(i int, sc *batches.Scoring) {
	for delay := scoreRetryDelay; a.ctx.Err() == nil; {
		signature, failed, err := a.scoreOnce(sc)
		if err == nil {
			a.scores <- scoreResult{sample: i, score: signature}
			return
		}
		a.log.Info("Scoring request failed", "request", sc.ID, "ran", failed, "err", err)
		if failed {
			a.scores <- scoreResult{sample: i, failed: true}
			return
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(delay):
		}
		if isCode(err, resultcode.EndpointRefused) {
			delay = min(2*delay, maxScoreRetryDelay)
		}
	}
}

// scoreOnce sends a scoring request and returns the signature of its answer, which is the
// sample's score. failed is true if the request ran and failed.
func (a *activeBatch) scoreOnce(sc *batches.Scoring) (signature string, failed bool, err error) {
	route, err := a.parent.runner.forwarder.Route(sc.Host, sc.Path)
	if err != nil {
		return "", false, err
	}
	scoringRoute := *route
	scoringRoute.Kind, scoringRoute.MaxAttempts = catalog.KindSafe, 2 // allows a hedge at a second endpoint when the answer is slow
	answer, err := a.parent.runner.forwarder.Forward(a.ctx, &scoringRoute, &Inbound{
		ID: sc.ID, Host: sc.Host, Method: http.MethodPost, URI: sc.Path, Path: sc.Path,
		Header: http.Header{}, Body: sc.Body, Budget: scoreTimeout, Scoring: true,
	})
	switch {
	case err != nil:
		return "", false, err
	case answer.Status/100 == 2:
		return answer.Signature, false, nil
	}
	return "", answer.Status == http.StatusInternalServerError, codedError(resultcode.EndpointRefused, http.StatusText(answer.Status))
}

// recordScore records a sample's score, or starts its scoring again if the failure limit
// allows.
func (a *activeBatch) recordScore(s scoreResult) {
	if !s.failed {
		a.run.Scored(s.sample, s.score)
		return
	}
	if a.run.ScoreFailed(s.sample) {
		go a.score(s.sample, a.run.Sample(s.sample).Scoring)
	}
}
