package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

func anyRecord() *rapid.Generator[members.Record] {
	return rapid.Custom(func(t *rapid.T) members.Record {
		return members.Record{
			Host:        model.HostID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host")),
			Incarnation: model.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
			Revision:    uint64(rapid.IntRange(0, 3).Draw(t, "revision")),
			State:       members.State(rapid.IntRange(0, 2).Draw(t, "state")),
		}
	})
}

// Tables that merged the same records must be equal, whatever the order or the number of
// duplicates.
func TestTable_MergeOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOf(anyRecord()).Draw(t, "records")
		other := rapid.Permutation(list).Draw(t, "order")
		a, b := members.NewTable(), members.NewTable()
		for i := range list {
			a.Merge(list[i])
			b.Merge(other[i])
			b.Merge(other[i])
		}
		if !slices.Equal(a.All(), b.All()) || a.Digest() != b.Digest() {
			t.Fatalf("tables differ: %v and %v", a.All(), b.All())
		}
	})
}

// A host must refute every record that claims it is suspect or dead, and its own record
// must never go back to a lower incarnation or revision.
func TestMachine_RecordsAboutSelf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		self := members.Record{Host: "a", Incarnation: 1}
		m := New(Options{Self: self, Heartbeat: time.Second, Random: rand.New(rand.NewPCG(1, 1)).Uint64}, now)
		for _, r := range rapid.SliceOf(anyRecord()).Draw(t, "claims") {
			before := m.Self()
			m.MergeRecords(now, []members.Record{r})
			own, _ := m.Table().Get("a")
			if own.State != members.Alive || own != m.Self() {
				t.Fatalf("after record %+v the own record is %+v", r, own)
			}
			if r.Host == "a" && r.State != members.Alive && r.Supersedes(own) {
				t.Fatalf("record %+v is not refuted by %+v", r, own)
			}
			if before.Supersedes(own) {
				t.Fatalf("own record went back from %+v to %+v", before, own)
			}
		}
	})
}

// A record with the highest possible revision must be ignored: it could not be refuted,
// since the next higher revision overflows.
func TestMachine_RevisionOverBoundIgnored(t *testing.T) {
	m := New(Options{Self: members.Record{Host: "a", Incarnation: 1}, Heartbeat: time.Second, Random: func() uint64 { return 1 }}, time.Unix(0, 0))
	m.MergeRecords(time.Unix(1, 0), []members.Record{{Host: "a", Incarnation: 1, Revision: 1<<64 - 1, State: members.Dead}})
	if own, _ := m.Table().Get("a"); own.Revision != 0 || own.State != members.Alive {
		t.Fatalf("own record is %+v, want revision 0 and alive", own)
	}
}

// The death of an unknown host must be neither recorded nor disseminated; otherwise a
// removed record would return from hosts that still hold it.
func TestMachine_DeathOfUnknownHostIgnored(t *testing.T) {
	m := New(Options{Self: members.Record{Host: "a", Incarnation: 1}, Heartbeat: time.Second, Random: func() uint64 { return 1 }}, time.Unix(0, 0))
	out := m.MergeRecords(time.Unix(1, 0), []members.Record{{Host: "b", Incarnation: 1, State: members.Dead}})
	if _, known := m.Table().Get("b"); known || len(out.Updates) > 0 {
		t.Fatalf("unknown host: known %v, updates %v, want neither", known, out.Updates)
	}
}
