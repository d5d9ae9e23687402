// Package batchrun decides how the samples of one batch are run: which start next,
// what becomes of one that failed, and when one may be given up.
//
// A trainer waits for a number of complete groups, not for every sample, and the last of
// them to end decides when it goes on. So the long samples of all groups start first:
// callers' guesses of the length are too far off to tell beforehand which groups will be
// left out. The others follow by class: groups that were carried over, then as many of
// the shortest groups as the trainer waits for, and the rest last; within each class the
// longest samples start first.
//
// Invariant: a sample ends once, as completed with a score, or as abandoned after the
// failures or the time that allow it; text that was kept is only continued under
// versions that the batch allows.
package batchrun

import (
	"cmp"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// firstPause is the pause before a sample that got no further is tried again; it
	// doubles up to maxPause.
	firstPause = 40 * time.Millisecond
	maxPause   = 800 * time.Millisecond
	// usualTokens stands in for the length of a sample whose caller gave no guess.
	usualTokens = 512
	// longFactor is how many times the usual guess makes a sample a long one.
	longFactor = 2
	// crashesToHold is the number of attempts in a row that end without an event and
	// without an answer, as when the sample takes its endpoint down, before it is held
	// back until it may be given up. Lost answers alone hardly come so often.
	crashesToHold = 4
)

// Options bound a run.
type Options struct {
	// GiveUpAt is when samples may be abandoned for their age.
	GiveUpAt time.Time
	// MaxFailures is the number of failures after which a sample may be abandoned;
	// MaxScoreFailures that of its scoring request.
	MaxFailures      int
	MaxScoreFailures int
	SingleVersion    bool
	// Carried are groups that an earlier batch left unfinished.
	Carried map[string]bool
}

// Partial is what an engine has generated of a sample so far.
type Partial struct {
	Text   []byte `json:"text"`
	Events int    `json:"events"`
	// Versions are those that made an event, ascending and without repeats.
	Versions []int `json:"versions"`
}

// Clone returns a copy that shares nothing with p.
func (p *Partial) Clone() Partial {
	return Partial{Text: slices.Clone(p.Text), Events: p.Events, Versions: slices.Clone(p.Versions)}
}

// Add appends an event's data.
func (p *Partial) Add(data string, version int) {
	if p.Events > 0 {
		p.Text = append(p.Text, '\n')
	}
	p.Text = append(p.Text, data...)
	p.Events++
	if at, found := slices.BinarySearch(p.Versions, version); !found {
		p.Versions = slices.Insert(p.Versions, at, version)
	}
}

// End says how an attempt at a sample ended.
type End int

// The ends of attempts.
const (
	// Complete: the stream ended with its last event.
	Complete End = iota
	// Failed: the engine ran the sample and answered with a failure.
	Failed
	// Invalid: the engine says that the sample can never succeed.
	Invalid
	// Interrupted: the stream broke or this host ended it; what came before holds.
	Interrupted
	// NotRun: the engine did not start the sample.
	NotRun
	// Crashed: the connection ended before the first event, without an answer.
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
	pauses        int
	invalid       bool
	scoreFailures int
	notBefore     time.Time
	endpoint      string
}

// The classes of groups, the most urgent first.
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
	// order holds the indices of samples, the next to start first.
	order  []int
	open   int
	ended  []batches.Result
	groups map[string]*group
}

type group struct {
	open     int
	endpoint string
}

// New returns the run of a batch. listed holds the samples whose results are listed.
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
	r.rank()
	return r
}

func expected(s *batches.Sample) int {
	if s.ExpectedTokens > 0 {
		return s.ExpectedTokens
	}
	return usualTokens
}

// rank orders the samples as the package comment says.
func (r *Run) rank() {
	longest := map[string]int{}
	var names []string
	for _, s := range r.samples {
		if _, ok := longest[s.Group]; !ok {
			names = append(names, s.Group)
		}
		longest[s.Group] = max(longest[s.Group], expected(&s.Sample))
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
	long := longFactor * r.usual()
	slices.SortStableFunc(r.order, func(i, j int) int {
		a, b := r.samples[i], r.samples[j]
		aTokens, bTokens := expected(&a.Sample), expected(&b.Sample)
		if aTokens > long || bTokens > long {
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

// usual returns the median guess of the batch's lengths.
func (r *Run) usual() int {
	tokens := make([]int, 0, len(r.samples))
	for _, s := range r.samples {
		tokens = append(tokens, expected(&s.Sample))
	}
	if len(tokens) == 0 {
		return usualTokens
	}
	slices.Sort(tokens)
	return tokens[len(tokens)/2]
}

// Next returns the sample to start next, if one may start now.
func (r *Run) Next(now time.Time) (index int, ok bool) {
	resumed := -1
	for _, i := range r.order {
		s := r.samples[i]
		if s.phase != waiting || now.Before(s.notBefore) {
			continue
		}
		// A sample that was under way goes before any that was not.
		if s.partial.Events > 0 {
			return i, true
		}
		if resumed < 0 {
			resumed = i
		}
	}
	return resumed, resumed >= 0
}

// Sample returns a sample of the batch.
func (r *Run) Sample(i int) *batches.Sample { return &r.samples[i].Sample }

// Restore gives a sample that was not started yet the text that an earlier owner saved.
// Text that the batch does not allow is dropped.
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

// Spare reports whether the trainer does not wait for the sample's group.
func (r *Run) Spare(i int) bool { return r.samples[i].class == classSpare }

// Home returns the endpoint that last took a sample of the same group: it has the
// group's prompt in its cache.
func (r *Run) Home(i int) string { return r.groups[r.samples[i].Group].endpoint }

// Resume returns what can be continued of a sample under version, and forgets the
// rest when it cannot be.
func (r *Run) Resume(i, version int) Partial {
	s := r.samples[i]
	if r.opt.SingleVersion && s.partial.Events > 0 && (len(s.partial.Versions) > 1 || s.partial.Versions[0] != version) {
		s.partial = Partial{}
	}
	return s.partial.Clone()
}

// Waiting returns the kept text of a sample that is not running.
func (r *Run) Waiting(i int) (Partial, bool) {
	s := r.samples[i]
	return s.partial, s.phase == waiting && s.partial.Events > 0
}

// Started records that a sample runs at an endpoint.
func (r *Run) Started(i int, endpoint string) {
	s := r.samples[i]
	s.phase, s.endpoint = running, endpoint
	r.groups[s.Group].endpoint = endpoint
}

// Postponed records that no endpoint could take the sample now.
func (r *Run) Postponed(now time.Time, i int) { r.samples[i].notBefore = now.Add(firstPause) }

// Ended records the end of an attempt and what was generated until then.
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
		s.pauses, s.crashes = 0, 0
		return
	}
	if s.crashes >= crashesToHold {
		s.notBefore = r.opt.GiveUpAt
		return
	}
	s.notBefore = now.Add(min(firstPause<<min(s.pauses, 8), maxPause))
	s.pauses++
}

// Scored records the score of a sample.
func (r *Run) Scored(i int, score string) {
	if r.samples[i].phase == scoring {
		r.finish(i, batches.Completed, score)
	}
}

// ScoreFailed records that the scoring request ran and failed. It reports whether the
// request should be sent again.
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

// Expire abandons what is unfinished once samples may be given up.
func (r *Run) Expire(now time.Time) {
	if now.Before(r.opt.GiveUpAt) {
		return
	}
	for i, s := range r.samples {
		if s.phase == waiting || s.phase == scoring {
			r.finish(i, batches.Abandoned, "")
		}
	}
}

// finish ends a sample; its text is released once the result was taken.
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
	r.ended = append(r.ended, result)
}

// TakeResults returns the results since the last call.
func (r *Run) TakeResults() []batches.Result {
	out := r.ended
	r.ended = nil
	return out
}

// CompleteGroups returns the number of groups of which every sample has ended.
func (r *Run) CompleteGroups() int {
	n := 0
	for _, g := range r.groups {
		if g.open == 0 {
			n++
		}
	}
	return n
}

// Satisfied reports whether the trainer has all that it waits for: as many complete
// groups as it asked for, and every carried one.
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

// MinVersion is the oldest version that may make an event.
func (r *Run) MinVersion() int { return r.batch.MinVersion }
