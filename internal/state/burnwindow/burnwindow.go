// Package burnwindow counts the good and bad requests of a service over sliding windows.
//
// Invariant: a sum contains every request of its span, up to MaxSpan, with a resolution of
// one bucket. Memory use is constant.
package burnwindow

import "time"

const (
	// BucketSpan is the time covered by one bucket, which is the resolution of sums.
	BucketSpan = time.Minute
	// MaxSpan is the longest span that can be summed.
	MaxSpan = 6 * time.Hour

	bucketCount = int(MaxSpan/BucketSpan) + 1
)

// Count contains numbers of requests.
type Count struct {
	Good uint64
	Bad  uint64
}

// bucket contains the counts of one BucketSpan. Its number is the Unix time of the span's
// start divided by BucketSpan.
type bucket struct {
	number int64
	count  Count
}

// Window contains the counts of one service. The zero value is empty. It is not safe for
// concurrent use.
type Window struct {
	ring [bucketCount]bucket
}

// Add counts one request that ended at now.
func (w *Window) Add(now time.Time, good bool) {
	number := bucketNumber(now)
	b := &w.ring[number%int64(bucketCount)]
	if b.number != number {
		*b = bucket{number: number}
	}
	if good {
		b.count.Good++
	} else {
		b.count.Bad++
	}
}

// Sum returns the counts of the requests that ended in the span before now. A span above
// MaxSpan is reduced to MaxSpan.
func (w *Window) Sum(now time.Time, span time.Duration) Count {
	last := bucketNumber(now)
	first := last - int64(min(span, MaxSpan)/BucketSpan)
	var out Count
	for _, b := range w.ring {
		if b.number > first && b.number <= last {
			out.Good += b.count.Good
			out.Bad += b.count.Bad
		}
	}
	return out
}

func bucketNumber(t time.Time) int64 { return t.Unix() / int64(BucketSpan/time.Second) }
