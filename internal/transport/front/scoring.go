package front

import (
	"errors"
	"net/http"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/batches"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// minScoreTimeout bounds the first attempt of a scoring request, or scoreTimeoutObjectives
	// times the objective of its route if that is more. After each attempt that timed out the
	// next one has twice the time, so a scorer that is slow but sound is waited for.
	minScoreTimeout        = 2 * time.Second
	scoreTimeoutObjectives = 8
	maxScoreTimeout        = 30 * time.Second
	// scoreRetryDelay is the pause before a scoring request that did not run is sent again, or
	// longer if the gate of its service is full: see scoreRetryPause. It doubles up to
	// maxScoreRetryDelay after each further answer that refuses the request.
	scoreRetryDelay    = 60 * time.Millisecond
	maxScoreRetryDelay = 2 * time.Second
)

// scoreResult is the outcome of scoring a sample, reported to the batch's goroutine.
type scoreResult struct {
	sample int
	score  string
	// failures is the number of attempts of the scoring request that ran and failed. If it is
	// not zero, score is empty.
	failures int
}

// score sends a sample's scoring request until it has run or the batch is stopped, and sends
// the result to the goroutine of the batch.
func (a *activeBatch) score(i int, sc *batches.Scoring) {
	timeouts := 0
	for delay := scoreRetryDelay; a.ctx.Err() == nil; {
		signature, failures, err := a.scoreOnce(sc, timeouts)
		if err == nil {
			a.scores <- scoreResult{sample: i, score: signature}
			return
		}
		a.log.Info("Scoring request failed", "request", sc.ID, "failed_attempts", failures, "err", err)
		if failures > 0 {
			a.scores <- scoreResult{sample: i, failures: failures}
			return
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(scoreRetryPause(delay, err)):
		}
		if isCode(err, resultcode.DeadlineExceeded) {
			timeouts++
		}
		if isCode(err, resultcode.EndpointRefused) {
			delay = min(2*delay, maxScoreRetryDelay)
		}
	}
}

// scoreRetryPause returns the pause before a scoring request that failed with err is sent again.
// The gate spreads the requests that it refused over the time in which it can admit them. With
// the same short pause for all of them, the samples of a batch would come back thousands of times
// a second.
func scoreRetryPause(delay time.Duration, err error) time.Duration {
	var coded *resultcode.Error
	if errors.As(err, &coded) && (coded.Code == resultcode.Overloaded || coded.Code == resultcode.DeadlineTooShort) {
		return max(delay, time.Duration(coded.RetryAfterMillis)*time.Millisecond)
	}
	return delay
}

// scoreTimeout returns the time for a scoring request after a number of timeouts.
func scoreTimeout(objective time.Duration, timeouts int) time.Duration {
	first := max(minScoreTimeout, scoreTimeoutObjectives*objective)
	return min(first<<min(timeouts, 8), max(first, maxScoreTimeout))
}

// scoreOnce sends a scoring request, to a second endpoint if the answer is slow or a failure,
// and returns the signature of its answer, which is the sample's score. failures is the number
// of attempts that ran and failed; it is zero if another attempt succeeded. timeouts is the
// number of earlier calls that timed out.
func (a *activeBatch) scoreOnce(sc *batches.Scoring, timeouts int) (signature string, failures int, err error) {
	route, err := a.parent.runner.forwarder.Route(sc.Host, sc.Path)
	if err != nil {
		return "", 0, err
	}
	scoringRoute := *route
	scoringRoute.Kind, scoringRoute.MaxAttempts = catalog.KindSafe, 2 // allows a hedge at a second endpoint when the answer is slow
	team := a.batch.Team
	if route.Public {
		team = ""
	}
	answer, failures, err := a.parent.runner.forwarder.forward(a.ctx, &scoringRoute, &Inbound{
		ID: sc.ID, Host: sc.Host, Method: http.MethodPost, URI: sc.Path, Path: sc.Path,
		Header: http.Header{}, Body: sc.Body, Budget: scoreTimeout(route.Objective, timeouts), Scoring: true, Team: team,
	})
	switch {
	case err != nil:
		return "", failures, err
	case answer.Status/100 == 2:
		return answer.Signature, 0, nil
	}
	return "", failures, codedError(resultcode.EndpointRefused, http.StatusText(answer.Status))
}

// recordScore records a sample's score, or starts its scoring again if the failure limit
// allows.
func (a *activeBatch) recordScore(s scoreResult) {
	if s.failures == 0 {
		a.run.Scored(s.sample, s.score)
		return
	}
	retry := true
	for range s.failures {
		retry = a.run.ScoreFailed(s.sample)
	}
	if retry {
		go a.score(s.sample, a.run.Sample(s.sample).Scoring)
	}
}
