package burnwindow

import (
	"testing"
	"time"
)

func TestAWindowForgetsWhatIsOlderThanItsSpan(t *testing.T) {
	var w Window
	start := time.Unix(1_800_000_000, 0).Truncate(BucketSpan)
	for minute := range 800 {
		w.Add(start.Add(time.Duration(minute)*BucketSpan), minute%2 == 0)
	}
	now := start.Add(799 * BucketSpan)
	for span, want := range map[time.Duration]uint64{5 * time.Minute: 5, time.Hour: 60, Longest: 360, 2 * Longest: 360} {
		if c := w.Sum(now, span); c.Good+c.Bad != want {
			t.Errorf("%s: %+v, want %d in all", span, c, want)
		}
	}
	if c := w.Sum(now.Add(10*time.Minute), 5*time.Minute); c != (Count{}) {
		t.Errorf("after a quiet time: %+v", c)
	}
}
