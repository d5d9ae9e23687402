package shards

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

var start = time.Unix(1_700_000_000, 0)

// store holds the ownership objects in memory and supports conditional writes.
type store struct {
	records  map[string]Record
	versions map[string]uint64
	revision uint64
	// owners holds the record written for each epoch of each shard.
	owners map[string]Record
}

func newStore() *store {
	return &store{records: map[string]Record{}, versions: map[string]uint64{}, owners: map[string]Record{}}
}

func (s *store) put(a Acquisition) (uint64, bool) {
	if s.versions[a.ID] != a.Expect {
		return 0, false
	}
	s.revision++
	s.records[a.ID], s.versions[a.ID] = a.Record, s.revision
	s.owners[fmt.Sprint(a.ID, a.Record.Epoch)] = a.Record
	return s.revision, true
}

func hosts(n int) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{Host: model.HostID(fmt.Sprintf("h%d", i)), Eligible: true})
	}
	return out
}

func ids(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("claims/%d", i))
	}
	return out
}

func newTables(n int) []*Table {
	var out []*Table
	for _, c := range hosts(n) {
		out = append(out, NewTable(Record{Host: c.Host, Incarnation: 1, Address: string(c.Host)}, DefaultTiming))
	}
	return out
}

// run executes the plan of every table each 100 ms and counts the successful writes.
func run(s *store, tables []*Table, from time.Time, d time.Duration) (acquired int) {
	for now := from; now.Before(from.Add(d)); now = now.Add(100 * time.Millisecond) {
		for _, t := range tables {
			for _, id := range t.Configured() {
				t.SetRecord(now, id, s.records[id], s.versions[id])
			}
			for _, a := range t.Plan(now) {
				if v, ok := s.put(a); ok {
					acquired++
					t.SetRecord(now, a.ID, a.Record, v)
				}
			}
		}
	}
	return acquired
}

// With an unchanged fleet each shard is acquired once, and the shards are spread over the
// hosts. Without a stable order owners would keep changing.
func TestPlan_StableFleet(t *testing.T) {
	s, tables := newStore(), newTables(8)
	for _, table := range tables {
		table.SetFleet(start, ids(4), hosts(8))
	}
	if acquired := run(s, tables, start, 10*time.Minute); acquired != 4 {
		t.Fatalf("%d acquisitions of 4 shards in ten minutes without a fleet change, want 4", acquired)
	}
	seen := map[model.HostID]bool{}
	for _, r := range s.records {
		seen[r.Host] = true
	}
	if len(seen) != 4 {
		t.Fatalf("four shards are owned by %d of eight hosts, want 4", len(seen))
	}
}

// The wall clock of a host steps back before its process restarts: the record of the former process has a higher
// incarnation, and the shard would stay without an owner while the host is alive. A record that a newer process of the
// host wrote later must still be left to it.
func TestPlan_RestartAfterClockStepBack(t *testing.T) {
	for name, c := range map[string]struct {
		before bool
		want   int
	}{"former process": {true, 1}, "newer process": {false, 0}} {
		s, table := newStore(), NewTable(Record{Host: "h0", Incarnation: 5, Address: "h0"}, DefaultTiming)
		table.SetFleet(start, ids(1), hosts(1))
		other := Acquisition{ID: "claims/0", Record: Record{Host: "h0", Incarnation: 9, Address: "h0", Epoch: 2}}
		if !c.before {
			released := Acquisition{ID: "claims/0", Record: Record{Host: "h0", Incarnation: 4, Address: "h0", Epoch: 1}}
			other.Expect, _ = s.put(released)
			table.SetRecord(start, "claims/0", released.Record, other.Expect)
		}
		if _, ok := s.put(other); !ok {
			t.Fatal("cannot write the record")
		}
		if acquired := run(s, []*Table{table}, start, 5*time.Second); acquired != c.want {
			t.Errorf("record of a %s: %d acquisitions, want %d", name, acquired, c.want)
		}
	}
}

// When half of the hosts die at the same time, the remaining hosts acquire each of their
// shards once.
func TestPlan_ShardsOfDeadHosts(t *testing.T) {
	s, tables := newStore(), newTables(8)
	for _, table := range tables {
		table.SetFleet(start, ids(16), hosts(8))
	}
	run(s, tables, start, 5*time.Second)
	after := hosts(8)
	for i := range 4 {
		after[i].Eligible, after[i].Dead = false, true
	}
	diedAt := start.Add(time.Minute)
	for _, table := range tables[4:] {
		table.SetFleet(diedAt, ids(16), after)
	}
	if acquired := run(s, tables[4:], diedAt, 5*time.Second); acquired != 8 {
		t.Fatalf("%d acquisitions of the 8 shards of dead hosts, want 8", acquired)
	}
	for id, r := range s.records {
		if r.Host < "h4" {
			t.Errorf("shard %s is still owned by dead host %s", id, r.Host)
		}
	}
}

// Two hosts whose fleet views report each other dead may each acquire a shard at most once
// per MinHold. Otherwise they would take it from each other in every round.
func TestPlan_ConflictingViews(t *testing.T) {
	s, tables := newStore(), newTables(2)
	tables[0].SetFleet(start, ids(1), []Candidate{{Host: "h0", Eligible: true}, {Host: "h1", Dead: true}})
	tables[1].SetFleet(start, ids(1), []Candidate{{Host: "h1", Eligible: true}, {Host: "h0", Dead: true}})
	acquired := run(s, tables, start, 5*time.Minute)
	if limit := int(5*time.Minute/DefaultTiming.MinHold) * 2; acquired > limit {
		t.Fatalf("%d acquisitions in five minutes, want at most %d", acquired, limit)
	}
}

// An owner whose calls fail for UnreachableTimeout is replaced even though the fleet view
// shows it as alive.
func TestPlan_UnreachableLiveOwner(t *testing.T) {
	s, tables := newStore(), newTables(3)
	for _, table := range tables {
		table.SetFleet(start, ids(1), hosts(3))
	}
	run(s, tables, start, 3*time.Second)
	first := s.records["claims/0"]
	now := start.Add(time.Minute)
	for ; now.Before(start.Add(time.Minute + 10*time.Second)); now = now.Add(500 * time.Millisecond) {
		for _, table := range tables {
			if table.self.Host != first.Host {
				table.CallFailed(now, "claims/0", first.Epoch)
				run(s, []*Table{table}, now, 100*time.Millisecond)
			}
		}
	}
	if got := s.records["claims/0"]; got.Host == first.Host || got.Epoch <= first.Epoch {
		t.Fatalf("unreachable owner %v was not replaced: record %v", first, got)
	}
}

// An epoch has only one owner, whatever the order of stale reads, host failures and lost
// write responses.
func TestPlan_OneOwnerPerEpoch(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s, tables := newStore(), newTables(3)
		epochOwner := map[string]model.HostID{}
		now := start
		for range rapid.IntRange(10, 120).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(r, "ms")) * time.Millisecond)
			table := tables[rapid.IntRange(0, 2).Draw(r, "table")]
			if rapid.Bool().Draw(r, "fleet") {
				fleet := hosts(3)
				for i := range fleet {
					fleet[i].Dead = rapid.Bool().Draw(r, "gone")
					fleet[i].Eligible = !fleet[i].Dead
				}
				table.SetFleet(now, ids(2), fleet)
			}
			if rapid.Bool().Draw(r, "read") {
				for _, id := range ids(2) {
					table.SetRecord(now, id, s.records[id], s.versions[id])
				}
			}
			for _, a := range table.Plan(now) {
				v, ok := s.put(a)
				if !ok {
					continue
				}
				name := fmt.Sprint(a.ID, a.Record.Epoch)
				if other, taken := epochOwner[name]; taken {
					r.Fatalf("epoch %s acquired by %s and %s", name, other, a.Record.Host)
				}
				epochOwner[name] = a.Record.Host
				if rapid.Bool().Draw(r, "answered") {
					table.SetRecord(now, a.ID, a.Record, v)
				}
			}
		}
	})
}

// A released shard is acquired without the rank delay of the host that released it.
func TestPlan_ReleasedShard(t *testing.T) {
	s, tables := newStore(), newTables(3)
	for _, table := range tables {
		table.SetFleet(start, ids(1), hosts(3))
	}
	run(s, tables, start, 5*time.Second)
	owner := s.records["claims/0"]
	owner.Released = true
	s.revision++
	s.records["claims/0"], s.versions["claims/0"] = owner, s.revision
	var others []*Table
	for i, c := range hosts(3) {
		if c.Host != owner.Host {
			others = append(others, tables[i])
		}
	}
	// The former owner is still first in the preference order, but only the jitter may pass.
	if run(s, others, start.Add(5*time.Second), DefaultTiming.Jitter+200*time.Millisecond) != 1 {
		t.Fatalf("released shard is still owned by %s", s.records["claims/0"].Host)
	}
}

// An owner that acquired the shard after the fleet view reported it dead normally keeps it
// for MinHold. If its calls also fail for UnreachableTimeout, it is replaced
// before that.
func TestPlan_RecentDeadOwnerFailingCalls(t *testing.T) {
	s, tables := newStore(), newTables(2)
	table := tables[0]
	fleet := hosts(2)
	fleet[1].Eligible, fleet[1].Dead = false, true
	table.SetFleet(start, ids(1), fleet)
	// The other host's acquisition becomes visible only after the view reported it dead.
	taken := Record{Epoch: 1, Host: "h1", Incarnation: 1}
	table.SetRecord(start, "claims/0", Record{}, 0)
	s.revision, s.records["claims/0"], s.versions["claims/0"] = 1, taken, 1
	now := start.Add(time.Second)
	table.SetRecord(now, "claims/0", taken, 1)
	for end := now.Add(DefaultTiming.UnreachableTimeout); !now.After(end); now = now.Add(500 * time.Millisecond) {
		table.CallFailed(now, "claims/0", 1)
	}
	if run(s, tables[:1], now, time.Second) != 1 {
		t.Fatalf("shard is still owned by a dead host that fails every call: %+v", s.records["claims/0"])
	}
}
