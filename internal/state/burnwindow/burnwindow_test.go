package burnwindow

import (
	"testing"
	"time"
)

// A sum must count only the requests of its span, also after buckets have been reused, and a
// span without requests must sum to zero.
func TestSum_Span(t *testing.T) {
	var w Window
	start := time.Unix(1_800_000_000, 0).Truncate(BucketSpan)
	for minute := range 800 {
		w.Add(start.Add(time.Duration(minute)*BucketSpan), minute%2 == 0)
	}
	now := start.Add(799 * BucketSpan)
	for span, want := range map[time.Duration]uint64{5 * time.Minute: 5, time.Hour: 60, MaxSpan: 360, 2 * MaxSpan: 360} {
		if c := w.Sum(now, span); c.Good+c.Bad != want {
			t.Errorf("span %s: counts %+v, want %d requests in total", span, c, want)
		}
	}
	if c := w.Sum(now.Add(10*time.Minute), 5*time.Minute); c != (Count{}) {
		t.Errorf("counts %+v after 10 minutes without requests, want none", c)
	}
}
