package entry

import (
	"context"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/admission"
	"oleanderfall.example/oleanderfall/internal/coordination/routing"
)

func TestOnlyAnEndpointsOwnFailureShrinksTheLimit(t *testing.T) {
	ctx, cancel := contextPastDeadline()
	defer cancel()
	short := attemptResult{err: ctx.Err(), result: routing.ResultCancelled}
	if s := sampleOf(ctx, short); s.Kind != admission.SampleNone {
		t.Errorf("a deadline too short to tell anything: sample %v", s.Kind)
	}
	failed := attemptResult{err: ctx.Err(), result: routing.ResultFailed, latency: time.Second}
	if s := sampleOf(ctx, failed); s.Kind != admission.SampleRefused {
		t.Errorf("an endpoint that did not answer in time: sample %v", s.Kind)
	}
}

func contextPastDeadline() (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), time.Time{}.Add(time.Hour))
}
