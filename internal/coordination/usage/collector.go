package usage

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// SendInterval is the time between two messages of a source while its counts change.
	SendInterval = time.Second
	// SaveInterval is the time between two saves of the collected counts.
	SaveInterval = time.Second
	// heartbeatInterval is the time between two signs of life of a host.
	heartbeatInterval = 300 * time.Millisecond
	// maxPause is the time since the last message of a source from which it had ceased to count: one
	// that counts sends each SendInterval.
	maxPause = SendInterval * 3 / 2
	// restartNoticed bounds the time from the last message of a process that counted until it was
	// killed to the first one of the next process of its host.
	restartNoticed = 5 * time.Second
)

// Liveness reports whether a host is alive, and for how long there has been no sign of life of it;
// negative is unknown.
type Liveness func(host string) (alive bool, silent time.Duration)

// Source identifies a process that counts: a host and its incarnation.
type Source struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
}

// Report is the cumulative counts of one source for one window. Of two reports, the one with the
// higher revision replaces the other, since counts may also fall.
type Report struct {
	Source   Source `cbor:"1,keyasint"`
	Window   int64  `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	Counts   Counts `cbor:"4,keyasint"`
}

// LastMessage is the Unix time in nanoseconds of the last message of a source.
type LastMessage struct {
	Source Source `cbor:"1,keyasint"`
	Unix   int64  `cbor:"2,keyasint"`
}

// State is what a successor needs of a Collector. Unix is the time at which it was taken, in
// nanoseconds; all windows through Decided are decided.
type State struct {
	Unix    int64         `cbor:"1,keyasint"`
	Decided int64         `cbor:"2,keyasint"`
	Reports []Report      `cbor:"3,keyasint,omitempty"`
	Heard   []LastMessage `cbor:"4,keyasint,omitempty"`
}

// sourceState is what is known of a source besides its reports.
type sourceState struct {
	// heard is the Unix time of its last message, savedAt that of the saved state from which this is
	// known, zero if it sent the message to this host.
	heard   time.Duration
	savedAt time.Duration
	// order is higher for a source whose first message to this host came later, zero if none did.
	order int
	// dead is set once it is no longer alive. lost is the estimated time after its last message for
	// which it counted before it died, zero if it had ceased to count before.
	dead bool
	lost time.Duration
	// before is its counts of the last decided window.
	before Counts
}

// Collector merges the reports of all sources. It is not safe for concurrent use.
type Collector struct {
	windows Windows
	// delay is the time after a window's end at which it is decided, maxDelay that until which a
	// source that is still expected is waited for.
	delay    time.Duration
	maxDelay time.Duration
	// decided is the last window that is decided.
	decided int64
	reports map[int64]map[Source]Report
	sources map[Source]*sourceState
	// order is that of the last source that sent its first message.
	order int
}

// NewCollector returns a collector for windows whose reports are due at the given time after their
// end.
//
// A quarter of the time is for the counts of the last hosts to arrive, which send every second; up to
// 0.4 of it for hosts that are late. The rest is for a change of the holder of the duties lease, which
// takes up to 7 s of the 10 s.
func NewCollector(w Windows, due time.Duration) *Collector {
	return &Collector{windows: w, delay: due / 4, maxDelay: due * 2 / 5,
		reports: map[int64]map[Source]Report{}, sources: map[Source]*sourceState{}}
}

// Decided returns the last window that is decided. All windows before it are, too.
func (c *Collector) Decided() int64 { return c.decided }

// Heard records a message of a source that arrived at Unix time now. Former processes of its host are
// dead.
func (c *Collector) Heard(source Source, now time.Duration) {
	s := c.sources[source]
	if s == nil {
		c.order++
		s = &sourceState{heard: now, order: c.order}
		c.sources[source] = s
		c.endFormer(now)
	}
	s.heard, s.savedAt, s.dead, s.lost = now, 0, false, 0
}

// endFormer records that the former processes of hosts are dead of which a newer one is known. Their
// incarnations do not tell which one is newer, since the wall clock of a host may step back.
func (c *Collector) endFormer(now time.Duration) {
	newest := map[string]*sourceState{}
	for source, s := range c.sources {
		if n := newest[source.Host]; n == nil || s.newer(n) {
			newest[source.Host] = s
		}
	}
	for source, s := range c.sources {
		if newest[source.Host].newer(s) && !s.dead {
			s.died(now, -1)
		}
	}
}

// newer reports whether the source is of a newer process of the same host than o. A message to this host is
// newer than a saved state.
func (s *sourceState) newer(o *sourceState) bool {
	return cmp.Or(cmp.Compare(s.order, o.order), cmp.Compare(s.heard, o.heard)) > 0
}

// died records that the source is dead, after a silence of its host until Unix time now, and estimates
// what it lost. Messages of a source that is known from a saved state may have reached the former
// holder after the save. If the silence is unknown, an average is used: half the time between two
// messages, and if the former holder died as well half the time between two saves.
func (s *sourceState) died(now, silent time.Duration) {
	s.dead = true
	last := now - silent + heartbeatInterval/2
	switch {
	case s.savedAt != 0 && s.savedAt-s.heard > maxPause:
	case s.savedAt != 0 && silent < 0:
		s.lost = (SendInterval + SaveInterval) / 2
	case s.savedAt != 0:
		s.lost = min(max(last-s.heard, 0), SendInterval+SaveInterval)
	case silent < 0 && now-s.heard < restartNoticed:
		s.lost = SendInterval / 2
	case silent >= 0 && last-s.heard <= maxPause:
		s.lost = min(max(last-s.heard, 0), SendInterval)
	}
}

// Check notices the sources that are no longer alive at Unix time now.
func (c *Collector) Check(now time.Duration, liveness Liveness) {
	for source, s := range c.sources {
		if s.dead {
			continue
		}
		if alive, silent := liveness(source.Host); !alive {
			s.died(now, silent)
		}
	}
}

// Merge adds a report and reports whether it changed the counts of an undecided window.
func (c *Collector) Merge(r Report) bool {
	if r.Window <= c.decided {
		return false
	}
	old, known := c.reports[r.Window][r.Source]
	if known && old.Revision >= r.Revision {
		return false
	}
	if c.reports[r.Window] == nil {
		c.reports[r.Window] = map[Source]Report{}
	}
	c.reports[r.Window][r.Source] = r
	return !maps.Equal(old.Counts, r.Counts)
}

// State returns the state at Unix time now, for a successor.
func (c *Collector) State(now time.Duration) State {
	out := State{Unix: int64(now), Decided: c.decided}
	for _, bySource := range c.reports {
		out.Reports = slices.AppendSeq(out.Reports, maps.Values(bySource))
	}
	for source, s := range c.sources {
		out.Heard = append(out.Heard, LastMessage{source, int64(s.heard)})
	}
	return out
}

// Restore adds the state that a former holder saved.
func (c *Collector) Restore(s State) {
	for _, r := range s.Reports {
		c.Merge(r)
	}
	for _, h := range s.Heard {
		if known := c.sources[h.Source]; known == nil {
			c.sources[h.Source] = &sourceState{heard: time.Duration(h.Unix), savedAt: time.Duration(s.Unix)}
		}
	}
	c.endFormer(time.Duration(s.Unix))
}

// Due returns the next window if it is to be decided at Unix time now. A window waits for a while for
// live hosts that were counting at its end but have sent no counts since.
func (c *Collector) Due(now time.Duration, liveness Liveness) (window int64, ok bool) {
	window = c.decided + 1
	since := now - c.windows.End(window)
	if since < c.delay {
		return 0, false
	}
	if since >= c.maxDelay {
		return window, true
	}
	for source, s := range c.sources {
		if s.dead || s.heard >= c.windows.End(window) || s.heard < c.windows.End(window)-maxPause {
			continue
		}
		if alive, _ := liveness(source.Host); alive {
			return 0, false
		}
	}
	return window, true
}

// Sum returns the counts of a window as known now, with an estimate of what dead sources lost.
func (c *Collector) Sum(window int64) Counts {
	sum := map[string]float64{}
	for _, r := range c.reports[window] {
		for team, n := range r.Counts {
			sum[team] += float64(n)
		}
	}
	start, end := c.windows.End(window-1), c.windows.End(window)
	for source, s := range c.sources {
		lost := min(s.heard+s.lost, end) - max(s.heard, start)
		counted := max(min(s.heard, end)-start, 0)
		if !s.dead || lost <= 0 {
			continue
		}
		share := lost.Seconds() / (counted + c.windows.Length).Seconds()
		if s.before == nil {
			share = lost.Seconds() / max(counted, SendInterval).Seconds()
		}
		for team, n := range s.before {
			sum[team] += float64(n) * share
		}
		for team, n := range c.reports[window][source].Counts {
			sum[team] += float64(n) * share
		}
	}
	out := Counts{}
	for team, n := range sum {
		if rounded := int64(math.Round(n)); rounded > 0 {
			out[team] = rounded
		}
	}
	return out
}

// SetDecided records that all windows through the given one are decided, and removes their reports.
func (c *Collector) SetDecided(through int64) {
	if through <= c.decided {
		return
	}
	for source, s := range c.sources {
		s.before = c.reports[through][source].Counts
		if s.heard < c.windows.End(through-1) {
			delete(c.sources, source)
		}
	}
	c.decided = through
	maps.DeleteFunc(c.reports, func(w int64, _ map[Source]Report) bool { return w <= through })
}
