package front

import (
	"net/http"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/batches"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// scoreTimeout bounds one try of a scoring request.
	scoreTimeout = 2 * time.Second
	// scorePause is the pause before a scoring request is sent again.
	scorePause = 60 * time.Millisecond
)

type scoreEnd struct {
	sample int
	score  string
	// failed says that the scoring request ran and failed.
	failed bool
}

// score sends the scoring request until it succeeds or fails for good.
func (a *activeBatch) score(i int, sc *batches.Scoring) {
	for a.ctx.Err() == nil {
		signature, failed, err := a.scoreOnce(sc)
		if err == nil {
			a.scores <- scoreEnd{sample: i, score: signature}
			return
		}
		a.log.Info("A scoring request did not succeed.", "request", sc.ID, "ran", failed, "err", err)
		if failed {
			a.scores <- scoreEnd{sample: i, failed: true}
			return
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(scorePause):
		}
	}
}

func (a *activeBatch) scoreOnce(sc *batches.Scoring) (signature string, failed bool, err error) {
	route, err := a.owner.runner.forwarder.Route(sc.Host, sc.Path)
	if err != nil {
		return "", false, err
	}
	once := *route
	once.Kind, once.MaxAttempts = catalog.KindSafe, 2 // a late answer is asked for at a second endpoint
	answer, err := a.owner.runner.forwarder.Forward(a.ctx, &once, &Inbound{
		ID: sc.ID, Host: sc.Host, Method: http.MethodPost, URI: sc.Path, Path: sc.Path,
		Header: http.Header{}, Body: sc.Body, Budget: scoreTimeout, Scoring: true,
	})
	switch {
	case err != nil:
		return "", false, err
	case answer.Status/100 == 2:
		return answer.Signature, false, nil
	}
	return "", answer.Status == http.StatusInternalServerError, refusal(resultcode.EndpointRefused, http.StatusText(answer.Status))
}

func (a *activeBatch) scored(s scoreEnd) {
	if !s.failed {
		a.run.Scored(s.sample, s.score)
		return
	}
	if a.run.ScoreFailed(s.sample) {
		go a.score(s.sample, a.run.Sample(s.sample).Scoring)
	}
}
