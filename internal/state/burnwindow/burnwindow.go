// Package burnwindow counts a service's good and bad requests over sliding windows.
//
// Invariant: a sum over a span holds every request of that span up to Longest, at
// the resolution of one bucket, in memory that does not grow.
package burnwindow

import "time"

const (
	// BucketSpan is the resolution.
	BucketSpan = time.Minute
	// Longest is the longest span that can be summed.
	Longest = 6 * time.Hour

	buckets = int(Longest/BucketSpan) + 1
)

// Count is a number of requests.
type Count struct {
	Good uint64
	Bad  uint64
}

type bucket struct {
	minute int64
	count  Count
}

// Window is the counts of one service. The zero value is empty.
type Window struct {
	ring [buckets]bucket
}

// Add counts one request that ended at now.
func (w *Window) Add(now time.Time, good bool) {
	minute := minuteOf(now)
	b := &w.ring[minute%int64(buckets)]
	if b.minute != minute {
		*b = bucket{minute: minute}
	}
	if good {
		b.count.Good++
	} else {
		b.count.Bad++
	}
}

// Sum counts the requests of the span before now.
func (w *Window) Sum(now time.Time, span time.Duration) Count {
	last := minuteOf(now)
	first := last - int64(min(span, Longest)/BucketSpan)
	var out Count
	for _, b := range w.ring {
		if b.minute > first && b.minute <= last {
			out.Good += b.count.Good
			out.Bad += b.count.Bad
		}
	}
	return out
}

func minuteOf(t time.Time) int64 { return t.Unix() / int64(BucketSpan/time.Second) }
