package shards

import (
	"sort"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Record is the content of a shard's ownership object.
type Record struct {
	Epoch       model.Epoch       `json:"epoch"`
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"incarnation"`
	Address     string            `json:"address"`
	// Released says that the holder handed the shard over; anyone may take it.
	Released bool `json:"released,omitempty"`
}

// Candidate is a host that may hold shards.
type Candidate struct {
	Host model.HostID
	// Eligible says that the host may take shards: it is neither leaving nor dead.
	Eligible bool
	// Gone says that the host is dead; what it holds is free.
	Gone bool
}

// Timing holds the waits of the decision.
type Timing struct {
	// Settle is how long the fleet must be known before a shard without an owner is taken.
	Settle time.Duration
	// RankDelay is what each place in the order of preference waits longer.
	RankDelay time.Duration
	// Jitter spreads the takers of one moment.
	Jitter time.Duration
	// Missing is how long a holder must be off the fleet's list to count as gone.
	Missing time.Duration
	// Unreachable is how long calls to a holder must fail before it counts as gone.
	Unreachable time.Duration
	// MinHold is how long a shard stays where it is before a preferred host takes it.
	MinHold time.Duration
	// Stable is how long the fleet must be unchanged before a preferred host takes it.
	Stable time.Duration
	// Cooldown is how long a host that gave a shard up leaves it to others.
	Cooldown time.Duration
}

// DefaultTiming is the timing of the programs.
var DefaultTiming = Timing{
	Settle:      500 * time.Millisecond,
	RankDelay:   time.Second,
	Jitter:      200 * time.Millisecond,
	Missing:     3 * time.Second,
	Unreachable: 3 * time.Second,
	MinHold:     30 * time.Second,
	Stable:      10 * time.Second,
	Cooldown:    5 * time.Second,
}

// Take asks for a conditional write of a shard's record.
type Take struct {
	ID     string
	Record Record
	// Expect is the version the record must still have, 0 for none.
	Expect uint64
}

// known is what the table holds of one shard.
type known struct {
	record  Record
	version uint64
	// since is when this epoch was seen to begin, zero when it is older than the table.
	since time.Time
	// freeSince is when the shard was first seen without a living holder.
	freeSince time.Time
	// failingSince and failedAt span the failing calls to the holder.
	failingSince time.Time
	failedAt     time.Time
	coolUntil    time.Time
}

// Table is one host's knowledge of the shards. It is not safe for concurrent use.
type Table struct {
	self       Record
	timing     Timing
	wanted     []string
	candidates map[model.HostID]Candidate
	// goneSince is when each host of the list was first called gone.
	goneSince  map[model.HostID]time.Time
	order      map[string][]model.HostID
	fleetSince time.Time
	shards     map[string]*known
}

// NewTable returns the table of the host that self describes (Epoch unused).
func NewTable(self Record, timing Timing) *Table {
	return &Table{self: self, timing: timing, candidates: map[model.HostID]Candidate{}, goneSince: map[model.HostID]time.Time{}, shards: map[string]*known{}}
}

// SetFleet takes in the wanted shards and the candidates.
func (t *Table) SetFleet(now time.Time, wanted []string, candidates []Candidate) {
	next := make(map[model.HostID]Candidate, len(candidates))
	for _, c := range candidates {
		next[c.Host] = c
	}
	if t.sameFleet(wanted, next) {
		return
	}
	t.wanted = append([]string(nil), wanted...)
	sort.Strings(t.wanted)
	t.candidates = next
	t.noteGone(now)
	t.fleetSince = now
	t.order = Order(t.wanted, eligible(next))
}

func (t *Table) noteGone(now time.Time) {
	for host, c := range t.candidates {
		if _, noted := t.goneSince[host]; c.Gone && !noted {
			t.goneSince[host] = now
		}
	}
	for host := range t.goneSince {
		if !t.candidates[host].Gone {
			delete(t.goneSince, host)
		}
	}
}

func (t *Table) sameFleet(wanted []string, next map[model.HostID]Candidate) bool {
	if len(wanted) != len(t.wanted) || len(next) != len(t.candidates) || t.fleetSince.IsZero() {
		return false
	}
	sorted := append([]string(nil), wanted...)
	sort.Strings(sorted)
	for i, id := range sorted {
		if t.wanted[i] != id {
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

// Wanted returns the shards that the configuration asks for.
func (t *Table) Wanted() []string { return t.wanted }

// SetRecord takes in an ownership record as read or written; version 0 means that
// the shard has none. A record older than the one known is ignored.
func (t *Table) SetRecord(now time.Time, id string, r Record, version uint64) {
	k := t.shards[id]
	if k == nil {
		t.shards[id] = &known{record: r, version: version}
		return
	}
	if version < k.version {
		return
	}
	if r.Epoch != k.record.Epoch {
		k.since = now
		k.failingSince = time.Time{}
	}
	k.record, k.version = r, version
}

// Record returns what is known of a shard's ownership.
func (t *Table) Record(id string) (Record, bool) {
	k := t.shards[id]
	if k == nil || k.version == 0 {
		return Record{}, false
	}
	return k.record, true
}

// Orphans reports whether a shard has no holder, or one that the fleet calls gone.
func (t *Table) Orphans() bool {
	for _, id := range t.wanted {
		r, ok := t.Record(id)
		if !ok || r.Released || t.candidates[r.Host].Gone {
			return true
		}
	}
	return false
}

// Version returns the version of the record known, 0 for none.
func (t *Table) Version(id string) uint64 {
	if k := t.shards[id]; k != nil {
		return k.version
	}
	return 0
}

// Mine reports whether the record names this life of this host as holder.
func (t *Table) Mine(id string) bool {
	r, ok := t.Record(id)
	return ok && !r.Released && r.Host == t.self.Host && r.Incarnation == t.self.Incarnation
}

// Failed notes that a call to the holder of epoch failed.
func (t *Table) Failed(now time.Time, id string, epoch model.Epoch) {
	k := t.shards[id]
	if k == nil || k.record.Epoch != epoch {
		return
	}
	if k.failingSince.IsZero() || now.Sub(k.failedAt) > t.timing.Unreachable {
		k.failingSince = now
	}
	k.failedAt = now
}

// Reached notes that the holder answered.
func (t *Table) Reached(id string) {
	if k := t.shards[id]; k != nil {
		k.failingSince = time.Time{}
	}
}

// GaveUp notes that this host gave the shard up of its own accord.
func (t *Table) GaveUp(now time.Time, id string) {
	if k := t.shards[id]; k != nil {
		k.coolUntil = now.Add(t.timing.Cooldown)
	}
}
