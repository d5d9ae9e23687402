// Package stragglers predicts how long samples run and decides when a slow one is
// better resumed elsewhere; it also tells by length what was dropped.
//
// Invariant: a prediction is a hint for the order of work; it never decides which
// sample of a slot is delivered, so that it cannot bias what the trainer gets.
package stragglers

import (
	"math/bits"
	"time"
)

// buckets holds the lengths by power of two: bucket b counts lengths in [2^(b-1), 2^b).
const buckets = 24

// Lengths is a decaying histogram of the lengths of finished samples.
type Lengths struct {
	count [buckets]float64
	sum   [buckets]float64
	seen  int
}

// decayEvery halves the weight of what was seen before.
const decayEvery = 8192

// NewLengths returns an empty histogram.
func NewLengths() *Lengths { return &Lengths{} }

func bucket(tokens int) int { return min(bits.Len(uint(max(tokens, 0))), buckets-1) }

// Add takes in a finished sample.
func (l *Lengths) Add(tokens int) {
	l.seen++
	if l.seen%decayEvery == 0 {
		for i := range l.count {
			l.count[i] /= 2
			l.sum[i] /= 2
		}
	}
	b := bucket(tokens)
	l.count[b]++
	l.sum[b] += float64(tokens)
}

// Remaining is the expected number of further tokens of a sample that has done so many.
func (l *Lengths) Remaining(done int) int {
	var count, sum float64
	for b := bucket(done); b < buckets; b++ {
		if mean := l.sum[b] / max(l.count[b], 1); l.count[b] > 0 && mean > float64(done) {
			count += l.count[b]
			sum += l.sum[b]
		}
	}
	if count == 0 {
		// Longer than any seen: as much again as half of what is done.
		return done / 2
	}
	return int(sum/count) - done
}

// WorthMoving reports whether a sample with so many tokens left, made at rate tokens a
// second where it runs, would end in less than half the time at the usual rate
// elsewhere, with the cost of the move.
func WorthMoving(remaining int, rate, usual float64, cost time.Duration) bool {
	const gain = 2
	if usual <= 0 || remaining <= 0 {
		return false
	}
	there := float64(remaining)/usual + cost.Seconds()
	return rate <= 0 || float64(remaining)/rate > gain*there
}

// Dropped counts samples that were given up, by the power of two of their expected
// length: Dropped[b] counts lengths in [2^(b-1), 2^b).
type Dropped [buckets]uint64

// Add counts one sample.
func (d *Dropped) Add(tokens int) { d[bucket(tokens)]++ }

// Total is the number of samples counted.
func (d *Dropped) Total() uint64 {
	total := uint64(0)
	for _, n := range d {
		total += n
	}
	return total
}
