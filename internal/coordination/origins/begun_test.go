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
