package entry

import (
	"context"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/admission"
	"oleanderfall.example/oleanderfall/internal/coordination/routing"
)

// An attempt cancelled by a deadline that was too short gives no sample. Only one that the
// endpoint failed to answer in time counts against the concurrency limit.
func TestAdmissionSample_ShortDeadline(t *testing.T) {
	ctx, cancel := expiredContext()
	defer cancel()
	short := attemptResult{err: ctx.Err(), result: routing.ResultCancelled}
	if s := admissionSample(ctx, short); s.Kind != admission.ObservationNone {
		t.Errorf("cancelled attempt: sample %v, want none", s.Kind)
	}
	failed := attemptResult{err: ctx.Err(), result: routing.ResultFailed, latency: time.Second}
	if s := admissionSample(ctx, failed); s.Kind != admission.ObservationRefused {
		t.Errorf("failed attempt: sample %v, want refused", s.Kind)
	}
}

// expiredContext returns a context whose deadline has passed.
func expiredContext() (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), time.Time{}.Add(time.Hour))
}
