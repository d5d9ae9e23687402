package origins

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

var testStart = time.Unix(1000, 0)

// The first origin of a stream stays, or a late copy of another attempt could change it.
func TestTable_FirstOriginStays(t *testing.T) {
	x := NewTable()
	x.Add(testStart, Record{ID: "a", Origin: Origin{Service: "s", Software: "v1"}})
	x.Add(testStart, Record{ID: "a", Origin: Origin{Service: "s", Software: "v2"}})
	if o, ok := x.Get(testStart, "a"); !ok || o.Software != "v1" {
		t.Errorf("origin %+v, known %v, want v1", o, ok)
	}
}

// Streams are forgotten after the retention and beyond the maximum number, the one used first
// before the others, so that memory stays bounded.
func TestTable_Bounded(t *testing.T) {
	x, now := NewTable(), testStart
	for i := range 2 * maxRecords {
		now = now.Add(time.Millisecond)
		x.Add(now, Record{ID: strconv.Itoa(i)})
		if _, ok := x.Get(now, "0"); !ok {
			t.Fatalf("the stream in use was forgotten after %d others", i)
		}
	}
	if len(x.byID) != maxRecords || x.byUse.Len() != maxRecords {
		t.Errorf("%d and %d records, want %d", len(x.byID), x.byUse.Len(), maxRecords)
	}
	now = now.Add(Retention + time.Second)
	if _, ok := x.Get(now, "0"); ok {
		t.Error("a stream was remembered for longer than the retention")
	}
	x.Add(now, Record{ID: strings.Repeat("x", MaxIDBytes+1)})
	x.Add(now, Record{ID: "new"})
	if len(x.byID) > 2 {
		t.Errorf("%d records after the retention, want the new one", len(x.byID))
	}
}
