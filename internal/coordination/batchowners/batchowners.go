// Package batchowners finds open batches that no live host runs, and the host that is to take each of them over.
//
// A host knows who runs a batch from the manifest in the store and from the heartbeats of the hosts that run it.
// Neither is complete: in a large fleet heartbeats reach only some hosts, and a host that is lost early has sent none.
// So one host, the lister, reads all manifests after each loss of a host and otherwise once in ListInterval. It
// notifies the responsible host of each batch that its owner does not run. A host also takes over by itself what it
// knows to be without an owner, if it ranks first.
//
// Invariant: the results are suspicions. The host that acts on one reads the manifest first, and becomes the owner by
// a conditional update, so that a wrong one costs a read and never a second owner.
package batchowners

import (
	"cmp"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
)

const (
	// CheckInterval is the interval at which a host calls ListDue and Due.
	CheckInterval = 250 * time.Millisecond
	// SettleTime is the time after the start of a process in which it does not judge which hosts are alive. In a fleet
	// that restarts as a whole, all hosts know each other by then.
	SettleTime = 2100 * time.Millisecond
	// ListInterval is the time between two listings of the manifests without a cause.
	ListInterval = 3 * time.Second
	// minListInterval is the time between two listings after losses of hosts, and the delay after one that failed.
	minListInterval = 500 * time.Millisecond
	// retryDelay is the time between two attempts to take a batch over.
	retryDelay = 500 * time.Millisecond
	// claimLifetime is how long a heartbeat that lists a batch shows that its sender runs it. Three heartbeats in a
	// row may be lost.
	claimLifetime = 4 * presence.Interval
	// notifyInterval is the time between two notifications of the same process about a batch that it owns. A host does
	// not list batches whose results are complete, so most of these notifications find the batch running.
	notifyInterval = 4 * ListInterval
)

// Manifest is the part of a batch's manifest in the store that names its owner.
type Manifest struct {
	ID    string
	Owner string
	// Version is the version of the manifest in the store.
	Version uint64
	// Open is false once the batch has ended or was removed.
	Open bool
}

// View is what a host knows of the fleet at a moment.
type View struct {
	Now time.Time
	// Member returns a host other than this one if it is alive.
	Member func(host string) (presence.Member, bool)
	// Successor returns the host that ranks first for a batch, or "".
	Successor func(id string) string
	// Running reports whether this host runs a batch.
	Running func(id string) bool
	// Settled is false while this host has just started. It may not know yet which hosts are alive, and must not
	// count their owners as gone.
	Settled bool
}

// batch is what the host knows of one batch.
type batch struct {
	// owner is the host of the newest known manifest, of a version.
	owner   string
	version uint64
	ended   bool
	// claimant is the host whose heartbeat listed the batch last, at claimedAt.
	claimant  string
	claimedAt time.Time
	// assigned is set if another host found this one responsible.
	assigned bool
	retryAt  time.Time
	// notified is the process that this host has notified last, at notifiedAt.
	notified   process
	notifiedAt time.Time
}

// process is one run of a host, which loses all notifications when it ends.
type process struct {
	host        string
	incarnation int64
}

// Tracker holds what one host knows of the owners of batches. It is not safe for concurrent use.
type Tracker struct {
	self    string
	batches map[string]*batch
	// listedAt is when the last listing began, lossAt when a host was last lost. listAt is the earliest time of the
	// next listing after one that failed.
	listedAt, lossAt, listAt time.Time
}

// NewTracker returns a tracker for a host that knows nothing.
func NewTracker(self string) *Tracker {
	return &Tracker{self: self, batches: map[string]*batch{}}
}

func (t *Tracker) batch(id string) *batch {
	b := t.batches[id]
	if b == nil {
		b = &batch{}
		t.batches[id] = b
	}
	return b
}

// Claimed records a heartbeat of a host that lists the batches it runs.
func (t *Tracker) Claimed(now time.Time, host string, ids []string) {
	for _, id := range ids {
		b := t.batch(id)
		b.claimant, b.claimedAt = host, now
	}
}

// Observe records a manifest that was read from the store or written to it.
func (t *Tracker) Observe(m Manifest) {
	b := t.batch(m.ID)
	if m.Version <= b.version {
		return
	}
	// A batch that was removed may be submitted again, so a newer manifest may be open again.
	b.owner, b.version, b.ended = m.Owner, m.Version, !m.Open
	if b.claimant != m.Owner {
		b.claimant, b.claimedAt = "", time.Time{}
	}
}

// Ended records that the batch of the newest known manifest has ended.
func (t *Tracker) Ended(id string) {
	b := t.batch(id)
	b.ended, b.assigned = true, false
}

// Forget drops what is known of a batch.
func (t *Tracker) Forget(id string) { delete(t.batches, id) }

// Owner returns the host that probably runs a batch, or "".
func (t *Tracker) Owner(id string) string {
	if b := t.batches[id]; b != nil {
		return b.probableOwner()
	}
	return ""
}

// probableOwner returns the sender of the last heartbeat since the manifest was read, else the owner in the manifest.
func (b *batch) probableOwner() string { return cmp.Or(b.claimant, b.owner) }

// HostLost records that a host ceased to be alive or has restarted, or that this one is settled: the next listing is due
// soon.
func (t *Tracker) HostLost(now time.Time) { t.lossAt = now }

// SkipFirstListing makes the first listing wait for ListInterval: nothing is stored yet.
func (t *Tracker) SkipFirstListing(now time.Time) { t.listedAt = now }

// ListDue reports whether the manifests should be listed now, by any host that has just started or else only by the
// lister.
func (t *Tracker) ListDue(now time.Time) (due, byAnyHost bool) {
	switch {
	case now.Before(t.listAt):
		return false, false
	case t.listedAt.IsZero():
		return true, true
	}
	age := now.Sub(t.listedAt)
	return age >= ListInterval || t.lossAt.After(t.listedAt) && age >= minListInterval, false
}

// Listed records a listing that began at a time. One that failed does not count.
func (t *Tracker) Listed(now, began time.Time, ok bool) {
	if ok {
		t.listedAt = began
		return
	}
	t.listAt = now.Add(minListInterval)
}

// Gone reports whether a host cannot run a batch that it owns: it is not alive, or it is stopping and no longer lists
// the batch.
func (t *Tracker) Gone(v View, owner, id string) bool {
	if owner == t.self {
		return false
	}
	m, alive := v.Member(owner)
	switch {
	case !v.Settled:
		return false
	case !alive:
		return true
	}
	b := t.batches[id]
	return m.Draining && b != nil && b.claimant == owner && v.Now.Sub(b.claimedAt) > claimLifetime
}

// Takeover is a batch that this host should take over now.
type Takeover struct {
	ID string
	// Owner is the probable owner as this host knows it, and Assigned is set if another host notified this one.
	Owner    string
	Assigned bool
}

// Due returns the batches that this host should take over now, sorted by ID: those that the store or another host
// names it for, and those of lost owners for which it ranks first. Each is returned again after retryDelay until this
// host runs it or learns of another owner.
func (t *Tracker) Due(v View) []Takeover {
	var out []Takeover
	for id, b := range t.batches {
		if b.ended || v.Now.Before(b.retryAt) {
			continue
		}
		if v.Running(id) {
			b.assigned = false
			continue
		}
		owner := b.probableOwner()
		if b.owner == t.self || b.assigned && v.Settled || t.Gone(v, owner, id) && v.Successor(id) == t.self {
			b.retryAt = v.Now.Add(retryDelay)
			out = append(out, Takeover{ID: id, Owner: owner, Assigned: b.assigned})
		}
	}
	slices.SortFunc(out, func(a, b Takeover) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Assign records that a host found this one responsible for a batch.
func (t *Tracker) Assign(id string) {
	b := t.batch(id)
	b.assigned, b.ended, b.retryAt = true, false, time.Time{}
}

// Unassign records that a read of the manifest showed another host to be responsible.
func (t *Tracker) Unassign(id string) {
	if b := t.batches[id]; b != nil {
		b.assigned = false
	}
}

// Assignment is a batch that no host is known to run, and the host that is responsible for it.
type Assignment struct {
	ID   string
	Host string
	// Owner is the owner in the manifest, and OwnerGone says that it cannot run the batch. ClaimAge is the time since its
	// last heartbeat that listed the batch, negative if this host has received none.
	Owner     string
	OwnerGone bool
	ClaimAge  time.Duration
}

// Assignments returns the other hosts that this one should notify of batches in a listing, and none before this one is
// settled. It names the process of a live owner once within notifyInterval.
func (t *Tracker) Assignments(v View, listed []Manifest) []Assignment {
	var out []Assignment
	if !v.Settled {
		return nil
	}
	for _, m := range listed {
		if !m.Open || m.Owner == t.self || v.Running(m.ID) {
			continue
		}
		b := t.batch(m.ID)
		a := Assignment{ID: m.ID, Host: m.Owner, Owner: m.Owner, OwnerGone: t.Gone(v, m.Owner, m.ID), ClaimAge: -time.Millisecond}
		if b.claimant == m.Owner {
			a.ClaimAge = v.Now.Sub(b.claimedAt)
		}
		if a.OwnerGone {
			a.Host = v.Successor(m.ID)
		} else if a.ClaimAge >= 0 && a.ClaimAge <= claimLifetime {
			continue
		}
		member, ok := v.Member(a.Host)
		if !ok {
			continue // this host, or none
		}
		to := process{a.Host, member.Incarnation}
		if !a.OwnerGone && b.notified == to && v.Now.Sub(b.notifiedAt) < notifyInterval {
			continue
		}
		b.notified, b.notifiedAt = to, v.Now
		out = append(out, a)
	}
	return out
}

// NotifyFailed records that an assignment did not reach its host. The next listing repeats it; if its owner is gone,
// this host takes the batch over itself.
func (t *Tracker) NotifyFailed(a Assignment) {
	b := t.batch(a.ID)
	b.notified = process{}
	if a.OwnerGone {
		t.Assign(a.ID)
	}
}
