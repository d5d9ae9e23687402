// Package batchrun schedules the samples of one batch: which sample starts next, how a
// failed attempt is retried, and when a sample may be abandoned.
//
// A trainer waits for a number of complete groups, not for every sample, and proceeds when
// the last of these groups ends. Long samples of all groups therefore start first: the
// callers' estimates of the length are too inaccurate to predict which groups will not be
// needed. The other samples follow by class: groups that were carried over, then as many
// of the shortest groups as the trainer waits for besides those, then the remaining groups.
// Within a class the groups with the longest samples start first.
//
// Invariant: a sample ends exactly once, either completed (with its score, if it is
// scored) or abandoned because it reached the failure limit, is invalid, or reached the
// time limit. Partial text is only continued under weight versions that the batch allows, and by
// the software version that generated it.
package batchrun

import (
	"cmp"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// minBackoff is the delay before a sample is retried after an attempt without
	// progress. It doubles with each consecutive attempt of this kind, up to maxBackoff.
	minBackoff = 40 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// defaultTokens is the assumed length of a sample for which the caller gave no estimate.
	defaultTokens = 512
	// longFactor is the multiple of the median length above which a sample is long.
	longFactor = 2
)

// Options are the rules of a run that are not part of the batch.
type Options struct {
	// SampleTTL is the age of the batch from which unfinished samples may be abandoned.
	SampleTTL time.Duration
	// MaxFailures is the number of failures after which a sample is abandoned,
	// MaxScoreFailures the number of failures of its scoring request.
	MaxFailures      int
	MaxScoreFailures int
	// SingleVersion requires that one weight version generates all events of a sample.
	SingleVersion bool
	// Carried is the set of groups carried over from an earlier batch that ended before they
	// were complete.
	Carried map[string]bool
}

// AttemptOutcome is the outcome of an attempt to run a sample.
type AttemptOutcome int

// The outcomes of attempts.
const (
	// Complete: the stream ended with its last event.
	Complete AttemptOutcome = iota
	// Failed: the engine ran the sample and returned a failure.
	Failed
	// Invalid: the engine reported that the sample can never succeed.
	Invalid
	// Interrupted: the stream broke or this host cancelled it; the events received
	// before that remain valid.
	Interrupted
	// NotRun: the engine did not start the sample.
	NotRun
	// Crashed: the connection closed before the first event, without a response. However often
	// that happens, the sample is not taken for the cause: trainers' samples are sound.
	Crashed
)

// phase is the state of a sample in a run.
type phase int

const (
	waiting phase = iota
	running
	scoring
	ended
)

type sample struct {
	batches.Sample
	class    int
	phase    phase
	partial  Partial
	failures int
	// backoffs counts the retry delays since the last attempt with progress.
	backoffs int
	// stalls counts the interrupted attempts without an event since the last attempt with
	// progress.
	stalls        int
	invalid       bool
	scoreFailures int
	// notBefore is the earliest time of the next start.
	notBefore time.Time
	// softwareMissingSince is when the sample was first passed over because no endpoint of the
	// software of its partial output was free.
	softwareMissingSince time.Time
	// fasterAwaitedSince is when the sample first left a slot at a slow endpoint free.
	fasterAwaitedSince time.Time
	endpoint           string
}

// The priority classes of groups, highest priority first.
const (
	classCarried = iota
	classNeeded
	classSpare
)

// Run is the state of one batch. It is not safe for concurrent use.
type Run struct {
	batch   *batches.Batch
	opt     Options
	samples []*sample
	byID    map[string]int
	// order holds the indices of samples in the order in which they start.
	order []int
	// longThreshold is the number of expected tokens above which a sample is long.
	longThreshold int
	// meanTokens is the average expected length of the samples, in tokens.
	meanTokens int
	// open is the number of samples that have not ended.
	open int
	// results are the results added since the last TakeResults.
	results []batches.Result
	groups  map[string]*group
}

// group is the state of a group: its samples that have not ended, and the endpoint at which
// one of them was last started.
type group struct {
	open     int
	endpoint string
}

// New returns the run of a batch. logged holds the IDs of samples whose results are in the
// batch's log already; these are not run.
func New(b *batches.Batch, opt Options, logged map[string]bool) *Run {
	r := &Run{batch: b, opt: opt, byID: make(map[string]int, len(b.Samples)), groups: map[string]*group{}}
	for i := range b.Samples {
		s := &sample{Sample: b.Samples[i]}
		r.samples = append(r.samples, s)
		r.byID[s.ID] = i
		g := r.groups[s.Group]
		if g == nil {
			g = &group{}
			r.groups[s.Group] = g
		}
		if logged[s.ID] {
			s.phase = ended
			continue
		}
		g.open++
		r.open++
	}
	r.sortSamples()
	r.meanTokens = ExpectedTokens(b) / max(len(b.Samples), 1)
	return r
}

func expectedTokens(s *batches.Sample) int {
	if s.ExpectedTokens > 0 {
		return s.ExpectedTokens
	}
	return defaultTokens
}

// ExpectedTokens returns the expected length of all samples of a batch.
func ExpectedTokens(b *batches.Batch) int {
	n := 0
	for i := range b.Samples {
		n += expectedTokens(&b.Samples[i])
	}
	return n
}

// sortSamples sets the start order that the package comment describes.
func (r *Run) sortSamples() {
	longest := map[string]int{}
	var names []string
	for _, s := range r.samples {
		if _, ok := longest[s.Group]; !ok {
			names = append(names, s.Group)
		}
		longest[s.Group] = max(longest[s.Group], expectedTokens(&s.Sample))
	}
	class := map[string]int{}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(longest[a], longest[b]) })
	needed := r.batch.DesiredGroups
	for _, g := range names {
		if r.opt.Carried[g] {
			class[g] = classCarried
			needed--
		}
	}
	for _, g := range names {
		switch {
		case r.opt.Carried[g]:
		case needed > 0:
			class[g] = classNeeded
			needed--
		default:
			class[g] = classSpare
		}
	}
	r.order = r.order[:0]
	for i, s := range r.samples {
		s.class = class[s.Group]
		r.order = append(r.order, i)
	}
	r.longThreshold = longFactor * r.medianTokens()
	slices.SortStableFunc(r.order, func(i, j int) int {
		a, b := r.samples[i], r.samples[j]
		aTokens, bTokens := expectedTokens(&a.Sample), expectedTokens(&b.Sample)
		if aTokens > r.longThreshold || bTokens > r.longThreshold {
			return cmp.Or(cmp.Compare(bTokens, aTokens), cmp.Compare(a.class, b.class))
		}
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(longest[b.Group], longest[a.Group]),
			cmp.Compare(a.Group, b.Group),
			cmp.Compare(bTokens, aTokens),
		)
	})
}

// medianTokens returns the median expected length of the batch's samples.
func (r *Run) medianTokens() int {
	tokens := make([]int, 0, len(r.samples))
	for _, s := range r.samples {
		tokens = append(tokens, expectedTokens(&s.Sample))
	}
	if len(tokens) == 0 {
		return defaultTokens
	}
	slices.Sort(tokens)
	return tokens[len(tokens)/2]
}

// Next returns the index of the sample to start next, apart from those in skip; ok is false when
// none may start now.
func (r *Run) Next(now time.Time, skip map[int]bool) (index int, ok bool) {
	first := -1 // the first sample without partial output
	for _, i := range r.order {
		s := r.samples[i]
		if s.phase != waiting || now.Before(s.notBefore) || skip[i] {
			continue
		}
		// A sample with partial output takes precedence over samples without.
		if s.partial.Events > 0 {
			return i, true
		}
		if first < 0 {
			first = i
		}
	}
	return first, first >= 0
}

// Software returns the software version at which a waiting sample can continue; ok is false if it
// has no output.
func (r *Run) Software(i int) (software string, ok bool) {
	p := &r.samples[i].partial
	return p.Software, p.Events > 0
}

// AwaitSoftware records that no endpoint of a sample's software is free, and reports whether the
// sample should wait for one: for no longer than it takes to generate its output again at
// another software version. eventInterval is the usual time between two events.
func (r *Run) AwaitSoftware(now time.Time, i int, eventInterval time.Duration) bool {
	s := r.samples[i]
	if s.softwareMissingSince.IsZero() {
		s.softwareMissingSince = now
	}
	return now.Sub(s.softwareMissingSince) < time.Duration(s.partial.Events)*eventInterval
}

// Sample returns the sample with index i.
func (r *Run) Sample(i int) *batches.Sample { return &r.samples[i].Sample }

// Restore sets the partial output of a waiting sample to p, as saved by an earlier owner of
// the batch. It returns false and changes nothing if the sample has as much output already
// or if the batch does not allow the versions of p.
func (r *Run) Restore(id string, p Partial) bool {
	i, ok := r.byID[id]
	if !ok || len(p.Versions) == 0 || p.Versions[0] < r.batch.MinVersion {
		return false
	}
	s := r.samples[i]
	if s.phase != waiting || s.partial.Events >= p.Events || r.opt.SingleVersion && len(p.Versions) > 1 {
		return false
	}
	s.partial = p
	return true
}

// Unfinished calls f for each sample that waits or runs, with the number of events expected to remain
// after its output at the start of the attempt; zero or less is unknown.
func (r *Run) Unfinished(f func(i, remaining int)) {
	for i, s := range r.samples {
		if s.phase != waiting && s.phase != running {
			continue
		}
		remaining := 0
		if s.ExpectedTokens > 0 {
			remaining = s.ExpectedTokens - s.partial.Events
		}
		f(i, remaining)
	}
}

// IsSpare reports whether the sample's group is in the lowest priority class: it comes
// after as many groups as the trainer waits for.
func (r *Run) IsSpare(i int) bool { return r.samples[i].class == classSpare }

// PreferredEndpoint returns the endpoint at which a sample of the same group was last
// started, empty if none was. That endpoint has the group's prompt in its cache. Long samples
// have none: they decide when the batch ends, so they go where least runs, and not together
// to one endpoint, whose memory they would fill.
func (r *Run) PreferredEndpoint(i int) string {
	if expectedTokens(&r.samples[i].Sample) > r.longThreshold {
		return ""
	}
	return r.groups[r.samples[i].Group].endpoint
}

// Resume returns the partial output after which a sample can continue at an endpoint with the weight
// version and software. Output of another software version is discarded, and with SingleVersion
// that of another weight version.
func (r *Run) Resume(i, version int, software string) Partial {
	s := r.samples[i]
	if s.partial.Software != software {
		s.partial = Partial{}
	}
	if r.opt.SingleVersion && s.partial.Events > 0 && (len(s.partial.Versions) > 1 || s.partial.Versions[0] != version) {
		s.partial = Partial{}
	}
	return s.partial.Clone()
}

// RestoreComplete sets the output of a waiting sample to p, its complete output as saved by an
// earlier owner of the batch. Unless the sample is not scored, its scoring request is due next.
// It returns false and changes nothing if the batch does not allow the versions of p.
func (r *Run) RestoreComplete(id string, p Partial) (index int, ok bool) {
	i, ok := r.byID[id]
	if !ok || len(p.Versions) == 0 || p.Versions[0] < r.batch.MinVersion || r.opt.SingleVersion && len(p.Versions) > 1 {
		return 0, false
	}
	s := r.samples[i]
	if s.phase != waiting {
		return 0, false
	}
	s.partial, s.phase = p, scoring
	if s.Scoring == nil {
		r.finish(i, batches.Completed, "")
	}
	return i, true
}

// UnfinishedOutput returns the output of a sample that is waiting to be started again, or that
// is complete and being scored. ok is false for other samples and without output.
func (r *Run) UnfinishedOutput(i int) (p Partial, complete, ok bool) {
	s := r.samples[i]
	complete = s.phase == scoring
	return s.partial, complete, (complete || s.phase == waiting) && s.partial.Events > 0
}

// Started records that a sample was started at an endpoint.
func (r *Run) Started(i int, endpoint string) {
	s := r.samples[i]
	s.phase, s.endpoint = running, endpoint
	s.softwareMissingSince, s.fasterAwaitedSince = time.Time{}, time.Time{}
	r.groups[s.Group].endpoint = endpoint
}

// Postponed records that the sample cannot be placed now. It becomes eligible again after
// minBackoff.
func (r *Run) Postponed(now time.Time, i int) { r.samples[i].notBefore = now.Add(minBackoff) }

// Ended records the end of an attempt. p is all output of the sample so far, including that
// of earlier attempts.
func (r *Run) Ended(now time.Time, i int, end AttemptOutcome, p Partial) {
	s := r.samples[i]
	if s.phase != running {
		return
	}
	progressed := p.Events > s.partial.Events
	s.partial = p
	if r.opt.SingleVersion && len(p.Versions) > 1 {
		// Output of several versions is not valid for this batch.
		s.partial = Partial{}
		end = Interrupted
	}
	s.phase = waiting
	switch end {
	case Complete:
		s.phase = scoring
		if s.Scoring == nil {
			r.finish(i, batches.Completed, "")
		}
		return
	case Failed:
		s.failures++
	case Invalid:
		s.invalid = true
	case Interrupted:
		s.stalls++
	}
	if s.invalid || s.failures >= r.opt.MaxFailures {
		r.finish(i, batches.Abandoned, "")
		return
	}
	if progressed {
		s.backoffs, s.stalls = 0, 0
		return
	}
	s.notBefore = now.Add(min(minBackoff<<min(s.backoffs, 8), maxBackoff))
	s.backoffs++
}

// Scored records the score of a sample.
func (r *Run) Scored(i int, score string) {
	if r.samples[i].phase == scoring {
		r.finish(i, batches.Completed, score)
	}
}

// ScoreFailed records that the scoring request was executed and failed. It reports whether
// the request should be retried.
func (r *Run) ScoreFailed(i int) bool {
	s := r.samples[i]
	if s.phase != scoring {
		return false
	}
	s.scoreFailures++
	if s.scoreFailures >= r.opt.MaxScoreFailures {
		r.finish(i, batches.Abandoned, "")
		return false
	}
	return true
}

// Expire abandons all samples that are waiting or being scored if SampleTTL is reached. age is the
// time since the batch was submitted, or less. Running samples may still end.
func (r *Run) Expire(age time.Duration) {
	if age < r.opt.SampleTTL {
		return
	}
	for i, s := range r.samples {
		if s.phase == waiting || s.phase == scoring {
			r.finish(i, batches.Abandoned, "")
		}
	}
}

// finish ends a sample and appends its result. The sample keeps no reference to its output.
func (r *Run) finish(i int, o batches.Outcome, score string) {
	s := r.samples[i]
	s.phase = ended
	r.open--
	r.groups[s.Group].open--
	result := batches.Result{ID: s.ID, Outcome: o, Versions: []int{}}
	if o == batches.Completed {
		result.Text, result.Versions, result.Score = string(s.partial.Text), s.partial.Versions, score
	}
	s.partial = Partial{}
	r.results = append(r.results, result)
}

// TakeResults returns the results that were added since the last call.
func (r *Run) TakeResults() []batches.Result {
	out := r.results
	r.results = nil
	return out
}

// CompleteGroups returns the number of groups in which every sample has ended.
func (r *Run) CompleteGroups() int {
	n := 0
	for _, g := range r.groups {
		if g.open == 0 {
			n++
		}
	}
	return n
}

// Satisfied reports whether the trainer's demand is met: at least DesiredGroups groups are
// complete, and so is every group that was carried over.
func (r *Run) Satisfied() bool {
	if r.CompleteGroups() < r.batch.DesiredGroups {
		return false
	}
	for name, g := range r.groups {
		if g.open > 0 && r.opt.Carried[name] {
			return false
		}
	}
	return true
}

// Open returns the number of samples that have not ended.
func (r *Run) Open() int { return r.open }

// MinVersion returns the oldest weight version that may generate an event.
func (r *Run) MinVersion() int { return r.batch.MinVersion }
