package shards

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

var start = time.Unix(1_700_000_000, 0)

// store is the ownership objects in memory, with conditional writes.
type store struct {
	records  map[string]Record
	versions map[string]uint64
	revision uint64
	// holders remembers who ever wrote an epoch of a shard.
	holders map[string]Record
}

func newStore() *store {
	return &store{records: map[string]Record{}, versions: map[string]uint64{}, holders: map[string]Record{}}
}

func (s *store) put(t Take) (uint64, bool) {
	if s.versions[t.ID] != t.Expect {
		return 0, false
	}
	s.revision++
	s.records[t.ID], s.versions[t.ID] = t.Record, s.revision
	s.holders[fmt.Sprint(t.ID, t.Record.Epoch)] = t.Record
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

// run lets every table act each 100 ms and counts the takes.
func run(s *store, tables []*Table, from time.Time, d time.Duration) (takes int) {
	for now := from; now.Before(from.Add(d)); now = now.Add(100 * time.Millisecond) {
		for _, t := range tables {
			for _, id := range t.Wanted() {
				t.SetRecord(now, id, s.records[id], s.versions[id])
			}
			for _, take := range t.Plan(now) {
				if v, ok := s.put(take); ok {
					takes++
					t.SetRecord(now, take.ID, take.Record, v)
				}
			}
		}
	}
	return takes
}

func TestEveryShardGetsOneHolderAndStaysThere(t *testing.T) {
	s, tables := newStore(), newTables(8)
	for _, table := range tables {
		table.SetFleet(start, ids(4), hosts(8))
	}
	if takes := run(s, tables, start, 10*time.Minute); takes != 4 {
		t.Fatalf("%d takes for 4 shards in ten quiet minutes", takes)
	}
	seen := map[model.HostID]bool{}
	for _, r := range s.records {
		seen[r.Host] = true
	}
	if len(seen) != 4 {
		t.Fatalf("four shards lie on %d hosts of eight", len(seen))
	}
}

func TestShardsOfDeadHostsAreTakenOnceEach(t *testing.T) {
	s, tables := newStore(), newTables(8)
	for _, table := range tables {
		table.SetFleet(start, ids(16), hosts(8))
	}
	run(s, tables, start, 5*time.Second)
	after := hosts(8)
	for i := range 4 {
		after[i].Eligible, after[i].Gone = false, true
	}
	died := start.Add(time.Minute)
	for _, table := range tables[4:] {
		table.SetFleet(died, ids(16), after)
	}
	if takes := run(s, tables[4:], died, 5*time.Second); takes != 8 {
		t.Fatalf("%d takes for the 8 shards of the dead hosts", takes)
	}
	for id, r := range s.records {
		if r.Host < "h4" {
			t.Errorf("%s is still on %s", id, r.Host)
		}
	}
}

func TestDifferingViewsDoNotPingPong(t *testing.T) {
	s, tables := newStore(), newTables(2)
	tables[0].SetFleet(start, ids(1), []Candidate{{Host: "h0", Eligible: true}, {Host: "h1", Gone: true}})
	tables[1].SetFleet(start, ids(1), []Candidate{{Host: "h1", Eligible: true}, {Host: "h0", Gone: true}})
	takes := run(s, tables, start, 5*time.Minute)
	if limit := int(5*time.Minute/DefaultTiming.MinHold) * 2; takes > limit {
		t.Fatalf("%d takes in five minutes, want at most %d", takes, limit)
	}
}

func TestUnreachableHolderIsReplacedThoughAlive(t *testing.T) {
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
				table.Failed(now, "claims/0", first.Epoch)
				run(s, []*Table{table}, now, 100*time.Millisecond)
			}
		}
	}
	if got := s.records["claims/0"]; got.Host == first.Host || got.Epoch <= first.Epoch {
		t.Fatalf("the unreachable holder %v is still %v", first, got)
	}
}

// An epoch has one holder under any order of stale reads, deaths and restarts.
func TestEpochHasOneHolder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s, tables := newStore(), newTables(3)
		wrote := map[string]model.HostID{}
		now := start
		for range rapid.IntRange(10, 120).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(r, "ms")) * time.Millisecond)
			table := tables[rapid.IntRange(0, 2).Draw(r, "table")]
			if rapid.Bool().Draw(r, "fleet") {
				fleet := hosts(3)
				for i := range fleet {
					fleet[i].Gone = rapid.Bool().Draw(r, "gone")
					fleet[i].Eligible = !fleet[i].Gone
				}
				table.SetFleet(now, ids(2), fleet)
			}
			if rapid.Bool().Draw(r, "read") {
				for _, id := range ids(2) {
					table.SetRecord(now, id, s.records[id], s.versions[id])
				}
			}
			for _, take := range table.Plan(now) {
				v, ok := s.put(take)
				if !ok {
					continue
				}
				name := fmt.Sprint(take.ID, take.Record.Epoch)
				if other, taken := wrote[name]; taken {
					r.Fatalf("epoch %s taken by %s and %s", name, other, take.Record.Host)
				}
				wrote[name] = take.Record.Host
				if rapid.Bool().Draw(r, "answered") {
					table.SetRecord(now, take.ID, take.Record, v)
				}
			}
		}
	})
}

func TestReleasedShardWaitsForNobodyElse(t *testing.T) {
	s, tables := newStore(), newTables(3)
	for _, table := range tables {
		table.SetFleet(start, ids(1), hosts(3))
	}
	run(s, tables, start, 5*time.Second)
	holder := s.records["claims/0"]
	holder.Released = true
	s.revision++
	s.records["claims/0"], s.versions["claims/0"] = holder, s.revision
	var others []*Table
	for i, c := range hosts(3) {
		if c.Host != holder.Host {
			others = append(others, tables[i])
		}
	}
	// The old holder is still first in order; a jitter alone may pass.
	if run(s, others, start.Add(5*time.Second), DefaultTiming.Jitter+200*time.Millisecond) != 1 {
		t.Fatalf("a released shard is still with %s", s.records["claims/0"].Host)
	}
}

func TestDeadHolderThatFailsCallsIsReplacedThoughItTookTheShardLately(t *testing.T) {
	s, tables := newStore(), newTables(2)
	table := tables[0]
	fleet := hosts(2)
	fleet[1].Eligible, fleet[1].Gone = false, true
	table.SetFleet(start, ids(1), fleet)
	// The other host's take shows only after the view called it gone.
	taken := Record{Epoch: 1, Host: "h1", Incarnation: 1}
	table.SetRecord(start, "claims/0", Record{}, 0)
	s.revision, s.records["claims/0"], s.versions["claims/0"] = 1, taken, 1
	now := start.Add(time.Second)
	table.SetRecord(now, "claims/0", taken, 1)
	for end := now.Add(DefaultTiming.Unreachable); !now.After(end); now = now.Add(500 * time.Millisecond) {
		table.Failed(now, "claims/0", 1)
	}
	if run(s, tables[:1], now, time.Second) != 1 {
		t.Fatalf("the shard is still with a host that is dead and fails every call: %+v", s.records["claims/0"])
	}
}
