package origins

import (
	"testing"
	"time"
)

// A version is forgotten, or the list taken for complete, while a stream that began there may still
// be taken up: the successor of a killed keeper must not rely on the time that its predecessor watched.
func TestKeeper_WaitsForStreamsToEnd(t *testing.T) {
	v1, v2 := Origin{"s", "v1"}, Origin{"s", "v2"}
	at := time.Unix(1000, 0)
	k := NewKeeper(at)
	b, changed := k.Update(at, Begun{Origins: []Origin{v1}}, []Origin{v2})
	if !changed || !b.Has(v1) || !b.Has(v2) || b.Verified {
		t.Fatalf("after the first look: %+v", b)
	}
	b, _ = k.Update(at.Add(Retention-time.Second), b, []Origin{v1, v2})
	k = NewKeeper(at.Add(Retention)) // the successor
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 2}, {Retention, 2}, {Retention + time.Second, 1}} {
		b, _ = k.Update(at.Add(Retention+c.after), b, []Origin{v2})
		if len(b.Origins) != c.want || b.Verified != (c.want == 1) {
			t.Errorf("%v after the takeover: %+v, want %d origins", c.after, b, c.want)
		}
	}
	if o, ok := b.Only(); !ok || o != v2 {
		t.Errorf("only origin %+v, %v", o, ok)
	}
	if _, changed := k.Update(at.Add(3*Retention), b, []Origin{v2}); changed {
		t.Error("an unchanged list is written again")
	}
}

// A version that a host recorded between two looks of the keeper, or that served until just before a look,
// is forgotten at once: the keeper must count Retention from the moment at which it learns of either.
func TestKeeper_VersionsBetweenTwoLooks(t *testing.T) {
	v1, v2 := Origin{"s", "v1"}, Origin{"s", "v2"}
	at := time.Unix(1000, 0)
	k := NewKeeper(at)
	b, _ := k.Update(at, Begun{}, []Origin{v1})
	at = at.Add(Retention + time.Second)
	if b, _ = k.Update(at, b, []Origin{v1}); !b.Verified {
		t.Fatalf("after the watch: %+v", b)
	}
	// Another host began streams at v2, which the keeper's list of endpoints does not show.
	if b, _ = k.Update(at, b.With(v2), []Origin{v1}); !b.Has(v2) {
		t.Error("a version that was just recorded is removed")
	}
	if b, _ = k.Update(at.Add(Retention+time.Second), b, []Origin{v1}); b.Has(v2) {
		t.Error("a version without streams is kept")
	}
	if again, _ := k.Update(at.Add(Retention+time.Second), b.With(v2), []Origin{v1}); !again.Has(v2) {
		t.Error("a version that was recorded again is removed")
	}
	// v1 leaves while the keeper's host is frozen for longer than Retention.
	at = at.Add(3 * Retention)
	if b, _ = k.Update(at, b, []Origin{v2}); !b.Has(v1) {
		t.Error("a version that may have served until now is removed")
	}
	if b, _ = k.Update(at.Add(Retention+time.Second), b, []Origin{v2}); b.Has(v1) {
		t.Error("a version that left is kept")
	}
}
