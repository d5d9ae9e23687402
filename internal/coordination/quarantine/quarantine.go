// Package quarantine detects requests that crash the endpoints on which they run, and
// refuses further attempts. A request is identified by a fingerprint: a hash that is the
// same when the caller retries the request.
//
// Invariant: a fingerprint is refused once two distinct endpoint incarnations crashed
// while one host ran it, or three while any hosts ran it one after another, and no endpoint
// answered it in between; every entry expires; a local answer takes precedence over remote
// reports of a single crash. An attempt that ran already when its host learned of a crash
// may have met the same crash, or a crash with the same cause, so it adds nothing to it.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// MaxCrashes is the number of crashes after which a fingerprint is refused.
	MaxCrashes = 2
	// maxConsecutive is the number of crashes in attempts of any hosts, each of which began after the
	// crash before was known at its host, after which a fingerprint is refused.
	maxConsecutive = 3
	// Lifetime is how long a fingerprint stays suspect after a crash, and how long
	// after an answer reports of a single crash are ignored.
	Lifetime = 2 * time.Minute
	// maxEntries bounds the suspect and the cleared fingerprints, each on their own. The
	// entry that expires first is evicted.
	maxEntries = 4096
)

// Crash is a crash of an endpoint incarnation while it ran a request.
type Crash struct {
	Endpoint model.EndpointID
	// StartedAt is when the attempt started. An attempt that started before an earlier crash of
	// the endpoint was recorded may have run on the same incarnation and does not count
	// again.
	StartedAt time.Time
	// Shared is set if many requests may have the fingerprint, for instance because it covers
	// only their content. Endpoints that crash at the same time, for instance when a rack
	// fails, then count as one crash. Only a crash in an attempt that started after the first
	// crash was recorded shows that the request is the cause.
	Shared bool
}

// crashRecord is a crash that an attempt of this host observed.
type crashRecord struct {
	endpoint model.EndpointID
	at       time.Time
}

// suspicion is the entry of a fingerprint that crashed at least one endpoint.
type suspicion struct {
	localCrashes []crashRecord
	// reportedCrashes is the largest number of crashes that another host reported.
	reportedCrashes int
	// consecutive is the number of crashes in attempts of any hosts that began one after another,
	// consecutiveAt when this host learned of the last one.
	consecutive   int
	consecutiveAt time.Time
	expiresAt     time.Time
	// attemptRunning is set while one request with this fingerprint is in flight.
	attemptRunning bool
}

// refused reports whether requests with the fingerprint are refused.
func (s *suspicion) refused() bool {
	return max(len(s.localCrashes), s.reportedCrashes) >= MaxCrashes || s.consecutive >= maxConsecutive
}

// List holds the suspect fingerprints. It is not safe for concurrent use.
type List struct {
	entries map[uint64]*suspicion
	// clearedUntil holds the time until which remote reports of fewer than MaxCrashes
	// crashes of an answered fingerprint are ignored.
	clearedUntil map[uint64]time.Time
}

// New returns an empty list.
func New() *List {
	return &List{entries: map[uint64]*suspicion{}, clearedUntil: map[uint64]time.Time{}}
}

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	// Clear: no crash is known for the fingerprint.
	Clear Verdict = iota
	// Suspect: one endpoint crashed. The attempt may run, and EndAttempt must be called when it
	// ends. No other request with this fingerprint runs at this host meanwhile.
	Suspect
	// Busy: another request with this suspect fingerprint is running; retry later.
	Busy
	// Refuse: MaxCrashes endpoints crashed.
	Refuse
)

// Check decides on a request before each of its attempts. The duration is the time until
// the entry expires for Refuse, and zero otherwise.
func (l *List) Check(now time.Time, fingerprint uint64) (Verdict, time.Duration) {
	s := l.lookup(now, fingerprint)
	if s == nil {
		return Clear, 0
	}
	switch {
	case s.refused():
		return Refuse, s.expiresAt.Sub(now)
	case s.attemptRunning:
		return Busy, 0
	}
	s.attemptRunning = true
	return Suspect, 0
}

// EndAttempt ends an attempt for which Check returned Suspect.
func (l *List) EndAttempt(fingerprint uint64) {
	if s := l.entries[fingerprint]; s != nil {
		s.attemptRunning = false
	}
}

// RecordCrash records that an endpoint crashed while it ran a request with the fingerprint.
// It returns false if the crash has been counted already.
func (l *List) RecordCrash(now time.Time, fingerprint uint64, c Crash) bool {
	s := l.lookup(now, fingerprint)
	if s == nil {
		l.evictSuspect(now)
		s = &suspicion{}
		l.entries[fingerprint] = s
	}
	for _, recorded := range s.localCrashes {
		if (c.Shared || recorded.endpoint == c.Endpoint) && !c.StartedAt.After(recorded.at) {
			return false
		}
	}
	if c.StartedAt.After(s.consecutiveAt) {
		s.consecutive++
		s.consecutiveAt = now
	}
	if len(s.localCrashes) < MaxCrashes {
		s.localCrashes = append(s.localCrashes, crashRecord{endpoint: c.Endpoint, at: now})
	}
	s.expiresAt = now.Add(Lifetime)
	delete(l.clearedUntil, fingerprint)
	return true
}

// RecordAnswer records that an endpoint answered a request with the fingerprint, which clears
// the suspicion but not a quarantine. Later reports of fewer than MaxCrashes crashes are
// ignored for Lifetime, since they may concern the crash that the answer cleared.
func (l *List) RecordAnswer(now time.Time, fingerprint uint64) {
	s := l.entries[fingerprint]
	if s == nil || s.refused() {
		return
	}
	delete(l.entries, fingerprint)
	delete(l.clearedUntil, fingerprint)
	if len(l.clearedUntil) >= maxEntries {
		l.evictCleared(now)
	}
	l.clearedUntil[fingerprint] = now.Add(Lifetime)
}

// evictCleared deletes the cleared fingerprints that have expired or, if there are none,
// the one that expires first.
func (l *List) evictCleared(now time.Time) {
	var earliest uint64
	var earliestExpiry time.Time
	for f, t := range l.clearedUntil {
		if !now.Before(t) {
			delete(l.clearedUntil, f)
			continue
		}
		if earliestExpiry.IsZero() || t.Before(earliestExpiry) {
			earliest, earliestExpiry = f, t
		}
	}
	if len(l.clearedUntil) >= maxEntries {
		delete(l.clearedUntil, earliest)
	}
}

func (l *List) isCleared(now time.Time, fingerprint uint64) bool {
	until, ok := l.clearedUntil[fingerprint]
	return ok && now.Before(until)
}

// Merge adds the crashes reported by other hosts. Their remaining time is capped at
// Lifetime.
func (l *List) Merge(now time.Time, reports []model.QuarantinedRequest) {
	for _, r := range reports {
		if r.Remaining <= 0 || r.Crashes <= 0 {
			continue
		}
		if r.Crashes < MaxCrashes && l.isCleared(now, r.Fingerprint) {
			continue
		}
		until := now.Add(min(r.Remaining, Lifetime))
		s := l.lookup(now, r.Fingerprint)
		if s == nil {
			l.evictSuspect(now)
			s = &suspicion{}
			l.entries[r.Fingerprint] = s
		}
		s.reportedCrashes = max(s.reportedCrashes, r.Crashes)
		if n := max(r.Consecutive, 1); n > s.consecutive {
			s.consecutive, s.consecutiveAt = n, now
		}
		if until.After(s.expiresAt) {
			s.expiresAt = until
		}
	}
}

// Report returns the fingerprints that crashed endpoints in attempts of this host, for
// other hosts to merge. Crashes known only from reports are left out. The fingerprints with the most
// crashes come first, the latest ones before others.
func (l *List) Report(now time.Time) []model.QuarantinedRequest {
	var out []model.QuarantinedRequest
	for f, s := range l.entries {
		if len(s.localCrashes) == 0 || !now.Before(s.expiresAt) {
			continue
		}
		r := model.QuarantinedRequest{Fingerprint: f, Crashes: len(s.localCrashes), Consecutive: s.consecutive, Remaining: s.expiresAt.Sub(now)}
		if s.consecutive >= maxConsecutive {
			r.Crashes = MaxCrashes // builds that do not know Consecutive refuse the fingerprint, too
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b model.QuarantinedRequest) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(b.Remaining, a.Remaining))
	})
	return out
}

// lookup returns the entry of a fingerprint, or nil if there is none or it has expired.
func (l *List) lookup(now time.Time, fingerprint uint64) *suspicion {
	s := l.entries[fingerprint]
	if s != nil && !now.Before(s.expiresAt) {
		delete(l.entries, fingerprint)
		return nil
	}
	return s
}

// evictSuspect makes room for a new entry: if the list is full, it deletes the entries that
// have expired or, if there are none, the one that expires first.
func (l *List) evictSuspect(now time.Time) {
	if len(l.entries) < maxEntries {
		return
	}
	var earliest uint64
	var earliestExpiry time.Time
	for f, s := range l.entries {
		if !now.Before(s.expiresAt) {
			delete(l.entries, f)
			continue
		}
		if earliestExpiry.IsZero() || s.expiresAt.Before(earliestExpiry) {
			earliest, earliestExpiry = f, s.expiresAt
		}
	}
	if len(l.entries) >= maxEntries {
		delete(l.entries, earliest)
	}
}
