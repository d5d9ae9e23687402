package standin

import (
	"fmt"
	"sort"
	"strings"

	"oleanderfall.example/oleanderfall/internal/protocol/trainerapi"
)

// Evidence is the input of Judge: the logs of the endpoints and, by name, the requests of
// the callers and the reports of the trainers.
type Evidence struct {
	Runs     []Run
	Callers  map[string][]SentRequest
	Trainers map[string]TrainerReport
	// StalenessBounds holds each trainer's limit on ReceivedSample.Staleness, by trainer name.
	StalenessBounds map[string]int
}

// Verdict is the result of Judge: counts over the evidence and every broken rule.
// RefusedNotRun, Unknown and BrokenConnections count attempts (see SentRequest); Requests,
// Answered, NonIdempotent, DoubledRuns, FalseNotRun and WrongAnswers count requests.
type Verdict struct {
	Requests          int            `json:"requests"`
	Answered          int            `json:"answered"`
	RefusedNotRun     int            `json:"refused_not_run"`
	Unknown           int            `json:"unknown"`
	BrokenConnections int            `json:"broken_connections"`
	NonIdempotent     int            `json:"non_idempotent"`
	DoubledRuns       int            `json:"doubled_runs"`
	FalseNotRun       int            `json:"false_not_run"`
	WrongAnswers      int            `json:"wrong_answers"`
	Samples           int            `json:"samples"`
	StepsDone         map[string]int `json:"steps_done"`
	Versions          []uint64       `json:"versions"`
	MaxStaleness      int            `json:"max_staleness"`
	// IdleShare is the share of each trainer's time spent waiting for samples, 0..1.
	IdleShare map[string]float64
	// MillisAtP50 and MillisAtP99 are quantiles of the time that a request took with all its
	// attempts, in milliseconds.
	MillisAtP50 float64 `json:"ms_p50"`
	MillisAtP99 float64 `json:"ms_p99"`
	// Results counts the answers that callers received by result code.
	Results map[string]int `json:"results"`
	// BrokenRules describes each broken rule in one line.
	BrokenRules []string `json:"broken_rules"`
	// MixedVersionSamples counts the samples whose tokens come from several weight versions.
	MixedVersionSamples int `json:"samples_with_two_versions"`
}

// Judge checks the evidence against the rules that hold under every fault:
//   - A non-idempotent request runs at most once. It has run if it was answered, and it has
//     not run if all its attempts were refused as not run.
//   - No answer or sample is wrong.
//   - No sample is staler than its trainer's bound.
//   - Each span of a sample matches the engine's log.
func Judge(e Evidence) Verdict {
	v := Verdict{StepsDone: map[string]int{}, IdleShare: map[string]float64{}, Results: map[string]int{}}
	runCounts := map[string]int{}
	spansByRequest := map[string][]Span{}
	for _, r := range e.Runs {
		if r.Call != "" {
			runCounts[r.Call+" "+r.Body]++
			continue
		}
		spansByRequest[r.RequestID] = append(spansByRequest[r.RequestID], r.Spans...)
	}
	var latenciesMillis []float64
	for _, sent := range e.Callers {
		for _, s := range sent {
			v.checkRequest(s, runCounts[s.Call+" "+s.Body])
			latenciesMillis = append(latenciesMillis, s.Millis)
		}
	}
	v.MillisAtP50, v.MillisAtP99 = quantile(latenciesMillis, 0.5), quantile(latenciesMillis, 0.99)
	versions := map[uint64]bool{}
	for name, report := range e.Trainers {
		v.checkTrainer(name, report, e.StalenessBounds[name], spansByRequest, versions)
	}
	for version := range versions {
		v.Versions = append(v.Versions, version)
	}
	sort.Slice(v.Versions, func(i, j int) bool { return v.Versions[i] < v.Versions[j] })
	return v
}

// quantile sorts values in place and returns their q-quantile, 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[int(q*float64(len(values)-1))]
}

func (v *Verdict) addBrokenRule(format string, args ...any) {
	v.BrokenRules = append(v.BrokenRules, fmt.Sprintf(format, args...))
}

func (v *Verdict) checkRequest(s SentRequest, runs int) {
	v.Requests++
	v.RefusedNotRun += s.NotRun
	v.Unknown += s.Unknown
	v.BrokenConnections += s.BrokenConnections
	for code, n := range s.Results {
		v.Results[code] += n
	}
	if s.Answered {
		v.Answered++
	}
	if s.Wrong != "" {
		v.WrongAnswers++
		v.addBrokenRule("request %s: %s", s.Body, s.Wrong)
	}
	if !s.NonIdempotent {
		return
	}
	v.NonIdempotent++
	if runs > 1 {
		v.DoubledRuns++
		v.addBrokenRule("request %s ran %d times", s.Body, runs)
	}
	certainlyNotRun := !s.Answered && s.Unknown == 0 && s.BrokenConnections == 0
	if certainlyNotRun && runs > 0 {
		v.FalseNotRun++
		v.addBrokenRule("request %s was refused as not run and ran", s.Body)
	}
	if s.Answered && runs == 0 {
		v.addBrokenRule("request %s was answered and never ran", s.Body)
	}
}

func (v *Verdict) checkTrainer(name string, r TrainerReport, bound int, spansByRequest map[string][]Span, versions map[uint64]bool) {
	v.StepsDone[name] = r.StepsDone
	v.Samples += len(r.Received)
	if r.ElapsedSeconds > 0 {
		v.IdleShare[name] = r.IdleSeconds / r.ElapsedSeconds
	}
	for _, w := range r.Wrong {
		v.addBrokenRule("trainer %s: %s", name, w)
	}
	for _, s := range r.Received {
		v.MaxStaleness = max(v.MaxStaleness, s.Staleness)
		if s.Staleness > bound {
			v.addBrokenRule("trainer %s: slot %d/%d/%d is %d versions old, bound %d", name, s.Step, s.Group, s.Index, s.Staleness, bound)
		}
		if hasMixedVersions(s.Spans) {
			v.MixedVersionSamples++
		}
		for _, sp := range s.Spans {
			versions[uint64(sp.Version)] = true
			if !spanConfirmed(sp, spansByRequest[sp.RequestID]) {
				v.addBrokenRule("trainer %s: slot %d/%d/%d claims %v, the request made %v", name, s.Step, s.Group, s.Index, sp, spansByRequest[sp.RequestID])
			}
		}
	}
}

// hasMixedVersions reports whether spans name more than one version.
func hasMixedVersions(spans []trainerapi.Span) bool {
	for _, sp := range spans {
		if sp.Version != spans[0].Version {
			return true
		}
	}
	return false
}

// spanConfirmed reports whether the logged spans show that every token of the claimed
// span was generated with the claimed version. The logged spans must be in token order.
func spanConfirmed(claimed trainerapi.Span, logged []Span) bool {
	covered := claimed.From
	for _, sp := range logged {
		if sp.Version == claimed.Version && sp.From <= covered && sp.To > covered {
			covered = sp.To
		}
	}
	return covered >= claimed.To
}

// Summary returns the verdict as text, one line for each group of counts, each trainer
// and each broken rule.
func (v Verdict) Summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "requests %d, answered %d, refused as not run %d, unknown %d, broken connections %d\n", v.Requests, v.Answered, v.RefusedNotRun, v.Unknown, v.BrokenConnections)
	fmt.Fprintf(&b, "non-idempotent %d: doubled runs %d, false \"not run\" %d; wrong answers %d\n", v.NonIdempotent, v.DoubledRuns, v.FalseNotRun, v.WrongAnswers)
	fmt.Fprintf(&b, "latency p50 %.1f ms, p99 %.1f ms (whole answers, with resends)\n", v.MillisAtP50, v.MillisAtP99)
	fmt.Fprintf(&b, "samples %d, versions %v, with a swap inside %d, staleness at most %d\n", v.Samples, v.Versions, v.MixedVersionSamples, v.MaxStaleness)
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
