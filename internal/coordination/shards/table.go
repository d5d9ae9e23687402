package shards

import (
	"sort"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Record is the content of a shard's ownership object. Host, Incarnation and Address
// identify the owner.
type Record struct {
	Epoch       model.Epoch       `json:"epoch"`
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"incarnation"`
	Address     string            `json:"address"`
	// Released reports that the owner released the shard; any eligible host may acquire it.
	Released bool `json:"released,omitempty"`
}

// Candidate is a host that may own shards.
type Candidate struct {
	Host model.HostID
	// Eligible reports that the host may acquire shards: it is neither draining nor dead.
	Eligible bool
	// Dead reports that the host is dead, so that other hosts may acquire its shards.
	Dead bool
}

// Timing holds the delays and time limits of the decisions.
type Timing struct {
	// SettleTime is how long the fleet view must be unchanged before an unowned shard is
	// acquired.
	SettleTime time.Duration
	// RankDelay is the additional delay for each position in the preference order.
	RankDelay time.Duration
	// Jitter bounds the additional delay that keeps hosts from writing at the same time.
	Jitter time.Duration
	// MissingTimeout is how long an owner must be absent from the fleet view to count as dead.
	MissingTimeout time.Duration
	// UnreachableTimeout is how long calls to an owner must fail before it counts as dead.
	UnreachableTimeout time.Duration
	// MinHold is how long an owner keeps a shard before a more preferred host acquires it.
	MinHold time.Duration
	// StablePeriod is how long the fleet view must be unchanged before the most preferred host
	// acquires a shard from a live owner.
	StablePeriod time.Duration
	// Cooldown is how long a host that released a shard does not acquire it again.
	Cooldown time.Duration
}

// DefaultTiming is the timing used in production.
var DefaultTiming = Timing{
	SettleTime:         500 * time.Millisecond,
	RankDelay:          time.Second,
	Jitter:             200 * time.Millisecond,
	MissingTimeout:     3 * time.Second,
	UnreachableTimeout: 3 * time.Second,
	MinHold:            30 * time.Second,
	StablePeriod:       10 * time.Second,
	Cooldown:           5 * time.Second,
}

// Acquisition is an attempt to acquire a shard: a conditional write of its record.
type Acquisition struct {
	ID     string
	Record Record
	// Expect is the version that the record must still have, 0 if there must be none.
	Expect uint64
}

// shardState is what this host knows of one shard.
type shardState struct {
	record  Record
	version uint64
	// epochSince is when this epoch was first seen, zero if it was already in effect when
	// the table first read the record.
	epochSince time.Time
	// unownedSince is when the shard was first seen without a live owner.
	unownedSince time.Time
	// failingSince and lastFailure are the times of the first and the last failed call to
	// the owner in the current series.
	failingSince  time.Time
	lastFailure   time.Time
	cooldownUntil time.Time
}

// Table holds one host's view of the fleet and of all shards. It is not safe for
// concurrent use.
type Table struct {
	self       Record
	timing     Timing
	configured []string
	candidates map[model.HostID]Candidate
	// deadSince is when each listed host was first reported dead.
	deadSince map[model.HostID]time.Time
	// preference holds the preference order of each configured shard, fleetChanged the time
	// of the last change of the configured shards or the candidates.
	preference   map[string][]model.HostID
	fleetChanged time.Time
	shards       map[string]*shardState
}

// NewTable returns the table of the host that self identifies. The Epoch of self is not used.
func NewTable(self Record, timing Timing) *Table {
	return &Table{self: self, timing: timing, candidates: map[model.HostID]Candidate{}, deadSince: map[model.HostID]time.Time{}, shards: map[string]*shardState{}}
}

// SetFleet replaces the configured shards and the candidates, and reports whether either
// changed.
func (t *Table) SetFleet(now time.Time, shards []string, candidates []Candidate) bool {
	next := make(map[model.HostID]Candidate, len(candidates))
	for _, c := range candidates {
		next[c.Host] = c
	}
	if t.sameFleet(shards, next) {
		return false
	}
	t.configured = append([]string(nil), shards...)
	sort.Strings(t.configured)
	t.candidates = next
	t.recordDead(now)
	t.fleetChanged = now
	t.preference = PreferenceOrder(t.configured, eligible(next))
	return true
}

func (t *Table) recordDead(now time.Time) {
	for host, c := range t.candidates {
		if _, recorded := t.deadSince[host]; c.Dead && !recorded {
			t.deadSince[host] = now
		}
	}
	for host := range t.deadSince {
		if !t.candidates[host].Dead {
			delete(t.deadSince, host)
		}
	}
}

func (t *Table) sameFleet(shards []string, next map[model.HostID]Candidate) bool {
	if len(shards) != len(t.configured) || len(next) != len(t.candidates) || t.fleetChanged.IsZero() {
		return false
	}
	sorted := append([]string(nil), shards...)
	sort.Strings(sorted)
	for i, id := range sorted {
		if t.configured[i] != id {
			return false
		}
	}
	for host, c := range next {
		if t.candidates[host] != c {
			return false
		}
	}
	return true
}

func eligible(candidates map[model.HostID]Candidate) []model.HostID {
	var out []model.HostID
	for host, c := range candidates {
		if c.Eligible {
			out = append(out, host)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Configured returns the shards that the configuration defines, sorted. The caller must not
// change the slice.
func (t *Table) Configured() []string { return t.configured }

// SetRecord updates the ownership record of a shard after a read or a write; version 0
// means that the shard has no record. A record older than the known one is ignored.
func (t *Table) SetRecord(now time.Time, id string, r Record, version uint64) {
	s := t.shards[id]
	if s == nil {
		t.shards[id] = &shardState{record: r, version: version}
		return
	}
	if version < s.version {
		return
	}
	if r.Epoch != s.record.Epoch {
		s.epochSince = now
		s.failingSince = time.Time{}
	}
	s.record, s.version = r, version
}

// Record returns the last known ownership record of a shard, false if there is none.
func (t *Table) Record(id string) (Record, bool) {
	s := t.shards[id]
	if s == nil || s.version == 0 {
		return Record{}, false
	}
	return s.record, true
}

// ExpectsChanges reports whether a record is likely to change soon: a configured shard has no
// owner, or one that the fleet view shows as dead or draining.
func (t *Table) ExpectsChanges() bool {
	for _, id := range t.configured {
		r, ok := t.Record(id)
		if !ok || r.Released {
			return true
		}
		if c, listed := t.candidates[r.Host]; listed && (c.Dead || !c.Eligible) {
			return true
		}
	}
	return false
}

// Version returns the version of the last known record of a shard, 0 if there is none.
func (t *Table) Version(id string) uint64 {
	if s := t.shards[id]; s != nil {
		return s.version
	}
	return 0
}

// Owns reports whether the record names this incarnation of this host as the owner.
func (t *Table) Owns(id string) bool {
	r, ok := t.Record(id)
	return ok && !r.Released && r.Host == t.self.Host && r.Incarnation == t.self.Incarnation
}

// CallFailed records a failed call to the owner of the given epoch.
func (t *Table) CallFailed(now time.Time, id string, epoch model.Epoch) {
	s := t.shards[id]
	if s == nil || s.record.Epoch != epoch {
		return
	}
	if s.failingSince.IsZero() || now.Sub(s.lastFailure) > t.timing.UnreachableTimeout {
		s.failingSince = now
	}
	s.lastFailure = now
}

// CallSucceeded records that the owner answered a call.
func (t *Table) CallSucceeded(id string) {
	if s := t.shards[id]; s != nil {
		s.failingSince = time.Time{}
	}
}

// StartCooldown starts the cooldown of a shard that this host releases voluntarily.
func (t *Table) StartCooldown(now time.Time, id string) {
	if s := t.shards[id]; s != nil {
		s.cooldownUntil = now.Add(t.timing.Cooldown)
	}
}
