package standin

import (
	"fmt"
	"sort"
	"strings"

	"oleanderfall.example/oleanderfall/internal/protocol/trainerapi"
)

// Evidence is what a judge looks at: the logs of the endpoints, the requests of the
// callers and the accounts of the trainers.
type Evidence struct {
	Runs     []Run
	Callers  map[string][]Sent
	Trainers map[string]TrainerReport
	// StalenessBounds holds each trainer's bound.
	StalenessBounds map[string]int
}

// Verdict counts what was seen and lists every broken rule.
type Verdict struct {
	Requests      int            `json:"requests"`
	Answered      int            `json:"answered"`
	RefusedNotRun int            `json:"refused_not_run"`
	Unknown       int            `json:"unknown"`
	Broken        int            `json:"broken_connections"`
	NonIdempotent int            `json:"non_idempotent"`
	DoubledRuns   int            `json:"doubled_runs"`
	FalseNotRun   int            `json:"false_not_run"`
	WrongAnswers  int            `json:"wrong_answers"`
	Samples       int            `json:"samples"`
	StepsDone     map[string]int `json:"steps_done"`
	Versions      []uint64       `json:"versions"`
	MaxStaleness  int            `json:"max_staleness"`
	IdleShare     map[string]float64
	MillisAtP50   float64 `json:"ms_p50"`
	MillisAtP99   float64 `json:"ms_p99"`
	// Results counts the result codes that callers got.
	Results        map[string]int `json:"results"`
	BrokenRules    []string       `json:"broken_rules"`
	SwapsInSamples int            `json:"samples_with_two_versions"`
}

// Judge checks the evidence against the rules that always hold.
func Judge(e Evidence) Verdict {
	v := Verdict{StepsDone: map[string]int{}, IdleShare: map[string]float64{}, Results: map[string]int{}}
	runsOf := map[string]int{}
	spansOf := map[string][]Span{}
	for _, r := range e.Runs {
		if r.Call != "" {
			runsOf[r.Call+" "+r.Body]++
			continue
		}
		spansOf[r.RequestID] = append(spansOf[r.RequestID], r.Spans...)
	}
	var millis []float64
	for _, sent := range e.Callers {
		for _, s := range sent {
			v.judgeRequest(s, runsOf[s.Call+" "+s.Body])
			millis = append(millis, s.Millis)
		}
	}
	v.MillisAtP50, v.MillisAtP99 = quantile(millis, 0.5), quantile(millis, 0.99)
	seen := map[uint64]bool{}
	for name, report := range e.Trainers {
		v.judgeTrainer(name, report, e.StalenessBounds[name], spansOf, seen)
	}
	for version := range seen {
		v.Versions = append(v.Versions, version)
	}
	sort.Slice(v.Versions, func(i, j int) bool { return v.Versions[i] < v.Versions[j] })
	return v
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[int(q*float64(len(values)-1))]
}

func (v *Verdict) broke(format string, args ...any) {
	v.BrokenRules = append(v.BrokenRules, fmt.Sprintf(format, args...))
}

func (v *Verdict) judgeRequest(s Sent, runs int) {
	v.Requests++
	v.RefusedNotRun += s.NotRun
	v.Unknown += s.Unknown
	v.Broken += s.Broken
	for code, n := range s.Results {
		v.Results[code] += n
	}
	if s.Answered {
		v.Answered++
	}
	if s.Wrong != "" {
		v.WrongAnswers++
		v.broke("request %s: %s", s.Body, s.Wrong)
	}
	if !s.NonIdempotent {
		return
	}
	v.NonIdempotent++
	if runs > 1 {
		v.DoubledRuns++
		v.broke("request %s ran %d times", s.Body, runs)
	}
	certain := !s.Answered && s.Unknown == 0 && s.Broken == 0
	if certain && runs > 0 {
		v.FalseNotRun++
		v.broke("request %s was refused as not run and ran", s.Body)
	}
	if s.Answered && runs == 0 {
		v.broke("request %s was answered and never ran", s.Body)
	}
}

func (v *Verdict) judgeTrainer(name string, r TrainerReport, bound int, spansOf map[string][]Span, seen map[uint64]bool) {
	v.StepsDone[name] = r.StepsDone
	v.Samples += len(r.Received)
	if r.ElapsedSeconds > 0 {
		v.IdleShare[name] = r.IdleSeconds / r.ElapsedSeconds
	}
	for _, w := range r.Wrong {
		v.broke("trainer %s: %s", name, w)
	}
	for _, s := range r.Received {
		v.MaxStaleness = max(v.MaxStaleness, s.Staleness)
		if s.Staleness > bound {
			v.broke("trainer %s: slot %d/%d/%d is %d versions old, bound %d", name, s.Step, s.Group, s.Index, s.Staleness, bound)
		}
		if mixed(s.Spans) {
			v.SwapsInSamples++
		}
		for _, sp := range s.Spans {
			seen[uint64(sp.Version)] = true
			if !trueSpan(sp, spansOf[sp.RequestID]) {
				v.broke("trainer %s: slot %d/%d/%d claims %v, the request made %v", name, s.Step, s.Group, s.Index, sp, spansOf[sp.RequestID])
			}
		}
	}
}

// mixed reports whether spans name more than one version.
func mixed(spans []trainerapi.Span) bool {
	for _, sp := range spans {
		if sp.Version != spans[0].Version {
			return true
		}
	}
	return false
}

// trueSpan reports whether every token of a claimed span was made under its version.
func trueSpan(claimed trainerapi.Span, made []Span) bool {
	covered := claimed.From
	for _, m := range made {
		if m.Version == claimed.Version && m.From <= covered && m.To > covered {
			covered = m.To
		}
	}
	return covered >= claimed.To
}

// Summary is the verdict in a few lines of text.
func (v Verdict) Summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "requests %d, answered %d, refused as not run %d, unknown %d, broken connections %d\n", v.Requests, v.Answered, v.RefusedNotRun, v.Unknown, v.Broken)
	fmt.Fprintf(&b, "non-idempotent %d: doubled runs %d, false \"not run\" %d; wrong answers %d\n", v.NonIdempotent, v.DoubledRuns, v.FalseNotRun, v.WrongAnswers)
	fmt.Fprintf(&b, "latency p50 %.1f ms, p99 %.1f ms (whole answers, with resends)\n", v.MillisAtP50, v.MillisAtP99)
	fmt.Fprintf(&b, "samples %d, versions %v, with a swap inside %d, staleness at most %d\n", v.Samples, v.Versions, v.SwapsInSamples, v.MaxStaleness)
	fmt.Fprintf(&b, "answers by result code %v\n", v.Results)
	names := make([]string, 0, len(v.StepsDone))
	for n := range v.StepsDone {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(&b, "trainer %s: steps %d, idle %.0f%% of its time\n", n, v.StepsDone[n], 100*v.IdleShare[n])
	}
	for _, r := range v.BrokenRules {
		fmt.Fprintf(&b, "BROKEN: %s\n", r)
	}
	return b.String()
}
