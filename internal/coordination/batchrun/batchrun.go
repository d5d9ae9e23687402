// Package batchrun schedules the samples of one batch: which sample starts next, how a
// failed attempt is retried, and when a sample may be abandoned.
//
// A trainer waits for a number of complete groups, not for every sample, and proceeds when
// the last of these groups ends. Long samples of all groups therefore start first: the
// callers' estimates of the length are too inaccurate to predict which groups will not be
// needed. The other samples follow by class: groups that were carried over, then as many
// of the shortest groups as the trainer waits for, then the remaining groups. Within a
// class the longest samples start first.
//
// Invariant: a sample ends exactly once, either completed (with its score, if it is
// scored) or abandoned because it reached the failure limit, is invalid, or reached the
// time limit. Partial text is only continued under weight versions that the batch allows.
package batchrun

import (
	"cmp"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// minBackoff is the delay before a sample is retried after an attempt without
	// progress. It doubles with each such attempt, up to maxBackoff.
	minBackoff = 40 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// defaultTokens is the assumed length of a sample without an estimate of the caller.
	defaultTokens = 512
	// longFactor is the multiple of the median length above which a sample is long.
	longFactor = 2
	// crashesToDefer is the number of attempts that end without an event and without an
	// answer, with no progress in between, after which a sample is not started again.
	// It then waits until it may be abandoned, because it probably crashes its
	// endpoints: lost answers alone rarely occur that often in a row.
	crashesToDefer = 4
)

// Options are the limits of a run.
type Options struct {
	// AbandonAt is the time from which unfinished samples may be abandoned.
	AbandonAt time.Time
	// MaxFailures is the number of failures after which a sample is abandoned,
	// MaxScoreFailures the number of failures of its scoring request.
	MaxFailures      int
	MaxScoreFailures int
	// SingleVersion requires that one weight version generates all events of a sample.
	SingleVersion bool
	// Carried are the groups carried over from an earlier batch that left them unfinished.
	Carried map[string]bool
}

// Partial is the output that has been generated for a sample so far.
type Partial struct {
	Text   []byte `json:"text"`
	Events int    `json:"events"`
	// Versions are the weight versions that generated an event, ascending and unique.
	Versions []int `json:"versions"`
}

// Clone returns a deep copy of p.
func (p *Partial) Clone() Partial {
	return Partial{Text: slices.Clone(p.Text), Events: p.Events, Versions: slices.Clone(p.Versions)}
}

// Add appends the data of an event. Events are separated by line feeds.
func (p *Partial) Add(data string, version int) {
	if p.Events > 0 {
		p.Text = append(p.Text, '\n')
	}
	p.Text = append(p.Text, data...)
	p.Events++
	if index, found := slices.BinarySearch(p.Versions, version); !found {
		p.Versions = slices.Insert(p.Versions, index, version)
	}
}

// End is the outcome of an attempt to run a sample.
type End int

// The outcomes of attempts.
const (
	// Complete: the stream ended with its last event.
	Complete End = iota
	// Failed: the engine ran the sample and returned a failure.
	Failed
	// Invalid: the engine reported that the sample can never succeed.
	Invalid
	// Interrupted: the stream broke or this host cancelled it; the events received
	// before that remain valid.
	Interrupted
	// NotRun: the engine did not start the sample.
	NotRun
	// Crashed: the connection closed before the first event, without a response.
	Crashed
)

type phase int

const (
	waiting phase = iota
	running
	scoring
	ended
)

type sample struct {
	batches.Sample
	class         int
	phase         phase
	partial       Partial
	failures      int
	crashes       int
	backoffs      int
	invalid       bool
	scoreFailures int
	notBefore     time.Time
	endpoint      string
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
	order   []int
	open    int
	results []batches.Result
	groups  map[string]*group
}

type group struct {
	open     int
	endpoint string
}

// New returns the run of a batch. listed holds the IDs of samples whose results are in the
// batch's log already; these are not run.
func New(b *batches.Batch, opt Options, listed map[string]bool) *Run {
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
		if listed[s.ID] {
			s.phase = ended
			continue
		}
		g.open++
		r.open++
	}
	r.sortSamples()
	return r
}

func expectedTokens(s *batches.Sample) int {
	if s.ExpectedTokens > 0 {
		return s.ExpectedTokens
	}
	return defaultTokens
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
	longThreshold := longFactor * r.medianTokens()
	slices.SortStableFunc(r.order, func(i, j int) int {
		a, b := r.samples[i], r.samples[j]
		aTokens, bTokens := expectedTokens(&a.Sample), expectedTokens(&b.Sample)
		if aTokens > longThreshold || bTokens > longThreshold {
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

// Next returns the index of the sample to start next; ok is false when none may start now.
func (r *Run) Next(now time.Time) (index int, ok bool) {
	fresh := -1
	for _, i := range r.order {
		s := r.samples[i]
		if s.phase != waiting || now.Before(s.notBefore) {
			continue
		}
		// A sample with partial output takes precedence over samples without.
		if s.partial.Events > 0 {
			return i, true
		}
		if fresh < 0 {
			fresh = i
		}
	}
	return fresh, fresh >= 0
}

// Sample returns the sample with index i.
func (r *Run) Sample(i int) *batches.Sample { return &r.samples[i].Sample }

// Restore sets the partial output of a sample that has not been started, as saved by an
// earlier owner of the batch. It reports whether p was taken: not when the sample has as
// much output already, or when the batch does not allow the versions of p.
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

// Spare reports whether the trainer does not need the sample's group.
func (r *Run) Spare(i int) bool { return r.samples[i].class == classSpare }

// PreferredEndpoint returns the endpoint at which a sample of the same group was last started, empty if
// none was. That endpoint has the group's prompt in its cache.
func (r *Run) PreferredEndpoint(i int) string { return r.groups[r.samples[i].Group].endpoint }

// Resume returns the partial output from which a sample can continue under version. If the
// sample must be of a single version and the output is of another one, the output is
// discarded.
func (r *Run) Resume(i, version int) Partial {
	s := r.samples[i]
	if r.opt.SingleVersion && s.partial.Events > 0 && (len(s.partial.Versions) > 1 || s.partial.Versions[0] != version) {
		s.partial = Partial{}
	}
	return s.partial.Clone()
}

// WaitingPartial returns the partial output of a sample, and whether the sample has some and is
// waiting to be started again.
func (r *Run) WaitingPartial(i int) (Partial, bool) {
	s := r.samples[i]
	return s.partial, s.phase == waiting && s.partial.Events > 0
}

// Started records that a sample was started at an endpoint.
func (r *Run) Started(i int, endpoint string) {
	s := r.samples[i]
	s.phase, s.endpoint = running, endpoint
	r.groups[s.Group].endpoint = endpoint
}

// Postponed records that the sample cannot be placed now. It becomes eligible again after
// minBackoff.
func (r *Run) Postponed(now time.Time, i int) { r.samples[i].notBefore = now.Add(minBackoff) }

// Ended records the end of an attempt. p is the sample's whole output so far, including
// that of earlier attempts.
func (r *Run) Ended(now time.Time, i int, end End, p Partial) {
	s := r.samples[i]
	if s.phase != running {
		return
	}
	progressed := p.Events > s.partial.Events
	s.partial = p
	if r.opt.SingleVersion && len(p.Versions) > 1 {
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
	case Crashed:
		s.crashes++
	}
	if s.invalid || s.failures >= r.opt.MaxFailures {
		r.finish(i, batches.Abandoned, "")
		return
	}
	if progressed {
		s.backoffs, s.crashes = 0, 0
		return
	}
	if s.crashes >= crashesToDefer {
		s.notBefore = r.opt.AbandonAt
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

// Expire abandons all samples that are waiting or being scored, once AbandonAt is reached.
// Running samples may still end.
func (r *Run) Expire(now time.Time) {
	if now.Before(r.opt.AbandonAt) {
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
