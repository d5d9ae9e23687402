// Package lapses decides which endpoints stay in use although the store no longer lists them. Endpoints
// refresh their entries, and entries that are not refreshed expire. In an outage of the store live
// endpoints cannot refresh theirs; they register again soon after its return.
//
// Invariant: the time that a missing endpoint is given counts from the return of the store and not from
// the listing that first lacks it. After that time an endpoint that is missing is gone at once.
//
// All times are boot times of the host, which go on while it is frozen or suspended.
package lapses

import "time"

const (
	// registerTime is the time after the return of the store in which live endpoints register again:
	// two seconds, and a part of the time between two listings.
	registerTime = 2200 * time.Millisecond
	// maxReturnLag is the time after the last failed call by which the registerTime of a store that
	// returned right after that call is over. It bounds how late a return may be noticed, and
	// minRegisterTime what that leaves of registerTime.
	maxReturnLag    = 3 * time.Second
	minRegisterTime = time.Second
	// expiryTolerance is subtracted from the shortest outage in which an entry can expire. minExpiry is
	// above the longest time between two reads of the store while nothing is wrong with it.
	expiryTolerance = 200 * time.Millisecond
	minExpiry       = 2 * time.Second
	// interruption is the time without an answer that interrupts the registration of endpoints after
	// an outage, maxInterrupted the time after the first return up to which interruptions count.
	// Without that bound single lost answers could prolong it without end.
	interruption   = time.Second
	maxInterrupted = 10 * time.Second
)

// Tracker follows the outages of the store as one host sees them. It is not safe for concurrent use.
type Tracker struct {
	// expiry is the shortest outage in which entries may expire.
	expiry time.Duration
	// answeredAt is the time of the last answer of the store, failedAt that at which the last failed
	// call was made.
	answeredAt, failedAt time.Duration
	// firstReturn is when the store was first known to answer after an outage, whether or not it was
	// interrupted again since. It is zero before the first outage.
	firstReturn time.Duration
	// registeredBy is when live endpoints have registered again. extendedBy is the same for those that
	// were missing already when the store was interrupted: the entries of others cannot have expired in so
	// short a time.
	registeredBy, extendedBy time.Duration
}

// NewTracker returns a tracker for endpoints that refresh their entries at an interval. Entries expire after
// three intervals, the first of which may have passed before the outage.
func NewTracker(refreshInterval time.Duration) *Tracker {
	return &Tracker{expiry: max(minExpiry, 2*refreshInterval-expiryTolerance)}
}

// Answered records that the store answered a call at a time. The call may be that of another host. It
// reports whether the store has returned from an outage in which entries may have expired.
func (t *Tracker) Answered(at time.Duration) (returned bool) {
	if at <= t.answeredAt {
		return false
	}
	silent := at - t.answeredAt
	switch {
	case t.answeredAt == 0: // nothing was known before, so nothing can be missing
	case silent > t.expiry:
		t.firstReturn, returned = at, true
		t.registeredBy = t.registrationEnd(at)
		t.extendedBy = t.registeredBy
	case silent > interruption && t.answeredAt < t.extendedBy && at-t.firstReturn < maxInterrupted:
		t.extendedBy = t.registrationEnd(at)
	}
	t.answeredAt = at
	return returned
}

// registrationEnd returns when live endpoints have registered again if the store is first known to answer at a time.
func (t *Tracker) registrationEnd(at time.Duration) time.Duration {
	end := at + registerTime
	if t.failedAt > t.answeredAt {
		end = max(at+minRegisterTime, min(end, t.failedAt+maxReturnLag))
	}
	return end
}

// RegisteredBy returns the time by which missing endpoints have registered again if they are alive.
func (t *Tracker) RegisteredBy() time.Duration { return t.extendedBy }

// Join sets RegisteredBy to that of another host. It is for a host that has seen no outage since it
// has just started.
func (t *Tracker) Join(registeredBy time.Duration) {
	t.registeredBy, t.extendedBy = registeredBy, registeredBy
}

// Failed records that the store did not answer a call that was made at a time.
func (t *Tracker) Failed(madeAt time.Duration) { t.failedAt = max(t.failedAt, madeAt) }

// MayReturn reports whether an endpoint that is missing from a listing may still register again. The
// listing was requested at the given time. wasMissing is set if the listing before lacked it as well.
func (t *Tracker) MayReturn(requestedAt time.Duration, wasMissing bool) bool {
	return requestedAt < t.registeredBy || wasMissing && requestedAt < t.extendedBy
}
