package standin

import (
	"strings"
	"testing"

	"oleanderfall.example/oleanderfall/internal/protocol/trainerapi"
)

// Each of seven broken rules appears in the summary: two runs of a non-idempotent request, a
// run after a refusal as not run, an answer without a run, a wrong answer, and a sample that
// is delivered twice, is too stale or claims a version that the engine's log does not confirm.
func TestJudge_ReportsEachBrokenRule(t *testing.T) {
	run := func(body string) Run { return Run{Call: "issue", Body: body} }
	v := Judge(Evidence{
		Runs: []Run{run("twice"), run("twice"), run("refused"), run("once"), {RequestID: "r1", Spans: []Span{{0, 4, 1}}}},
		Callers: map[string][]SentRequest{"lab": {
			{Body: "twice", Call: "issue", NonIdempotent: true, Answered: true},
			{Body: "refused", Call: "issue", NonIdempotent: true, NotRun: 1},
			{Body: "once", Call: "issue", NonIdempotent: true, Answered: true},
			{Body: "never", Call: "issue", NonIdempotent: true, Answered: true},
			{Body: "other", Call: "look", Answered: true, Wrong: "another's answer"},
		}},
		Trainers: map[string]TrainerReport{"t": {
			Received: []ReceivedSample{
				{Step: 1, RequestID: "r1", Spans: []trainerapi.Span{{From: 0, To: 4, Version: 1, RequestID: "r1"}}, Staleness: 2},
				{Step: 1, Index: 1, RequestID: "r1", Spans: []trainerapi.Span{{From: 0, To: 4, Version: 2, RequestID: "r1"}}},
			},
			Wrong: []string{"slot delivered again"},
		}},
		StalenessBounds: map[string]int{"t": 1},
	})
	text := v.Summary()
	for _, want := range []string{
		"request twice ran 2 times",
		"request refused was refused as not run and ran",
		"request never was answered and never ran",
		"request other: another's answer",
		"slot delivered again",
		"2 versions old, bound 1",
		"claims {0 4 2 r1}",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("summary lacks %q:\n%s", want, text)
		}
	}
	if len(v.BrokenRules) != 7 {
		t.Errorf("got %d broken rules, want 7", len(v.BrokenRules))
	}
}

// Consistent evidence breaks no rule. An outcome unknown before the answer and a weight swap
// inside a sample are both allowed.
func TestJudge_AcceptsConsistentEvidence(t *testing.T) {
	v := Judge(Evidence{
		Runs:    []Run{{Call: "issue", Body: "a"}, {RequestID: "r", Spans: []Span{{0, 2, 1}, {2, 5, 2}}}},
		Callers: map[string][]SentRequest{"lab": {{Body: "a", Call: "issue", NonIdempotent: true, Answered: true, Unknown: 1}}},
		Trainers: map[string]TrainerReport{"t": {Received: []ReceivedSample{
			{RequestID: "r", Spans: []trainerapi.Span{{From: 0, To: 2, Version: 1, RequestID: "r"}, {From: 2, To: 5, Version: 2, RequestID: "r"}}, Staleness: 1},
		}}},
		StalenessBounds: map[string]int{"t": 1},
	})
	if len(v.BrokenRules) != 0 || v.MixedVersionSamples != 1 {
		t.Fatalf("want no broken rule and 1 sample with two versions, got:\n%s", v.Summary())
	}
}
