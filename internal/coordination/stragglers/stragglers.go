// Package stragglers predicts the length of samples from the lengths of finished ones,
// decides when a slow sample should be resumed on another engine, and counts dropped
// samples by their expected length.
//
// Invariant: a prediction affects only the order and placement of work. It never
// decides which of several generated samples is delivered, so it cannot bias the training
// data.
package stragglers

import (
	"math/bits"
	"time"
)

// bucketCount is the number of power-of-two buckets: bucket b covers lengths in
// [2^(b-1), 2^b), and the last one also all longer samples.
const bucketCount = 24

// LengthHistogram is a histogram of the lengths of finished samples, in tokens, in which
// older samples weigh less. It is not safe for concurrent use.
type LengthHistogram struct {
	count [bucketCount]float64
	sum   [bucketCount]float64
	// added is the number of calls of Add.
	added int
}

// samplesPerHalving is the number of added samples after which the weight of all earlier
// ones is halved.
const samplesPerHalving = 8192

// NewLengthHistogram returns an empty histogram.
func NewLengthHistogram() *LengthHistogram { return &LengthHistogram{} }

func bucket(tokens int) int { return min(bits.Len(uint(max(tokens, 0))), bucketCount-1) }

// Add records the length of a finished sample.
func (l *LengthHistogram) Add(tokens int) {
	l.added++
	if l.added%samplesPerHalving == 0 {
		for i := range l.count {
			l.count[i] /= 2
			l.sum[i] /= 2
		}
	}
	b := bucket(tokens)
	l.count[b]++
	l.sum[b] += float64(tokens)
}

// Remaining returns the expected number of further tokens of a sample that already has
// done tokens: the mean length of the finished samples in buckets with a mean above done,
// less done.
func (l *LengthHistogram) Remaining(done int) int {
	var count, sum float64
	for b := bucket(done); b < bucketCount; b++ {
		if mean := l.sum[b] / max(l.count[b], 1); l.count[b] > 0 && mean > float64(done) {
			count += l.count[b]
			sum += l.sum[b]
		}
	}
	if count == 0 {
		// No finished sample was longer: expect half as many tokens as are done.
		return done / 2
	}
	return int(sum/count) - done
}

// ShouldMove reports whether a sample with remaining tokens to generate would finish in
// less than half the time on another engine, the cost of the move included. rate is the
// sample's current speed in tokens per second; averageRate is the rate expected elsewhere.
// It returns false while averageRate is unknown (0).
func ShouldMove(remaining int, rate, averageRate float64, cost time.Duration) bool {
	const minSpeedup = 2
	if averageRate <= 0 || remaining <= 0 {
		return false
	}
	timeElsewhere := float64(remaining)/averageRate + cost.Seconds()
	return rate <= 0 || float64(remaining)/rate > minSpeedup*timeElsewhere
}

// LengthCounts counts dropped samples by the power of two of their expected length in
// tokens: element b counts lengths in [2^(b-1), 2^b).
type LengthCounts [bucketCount]uint64

// Add counts one sample with the given expected length.
func (d *LengthCounts) Add(tokens int) { d[bucket(tokens)]++ }

// Total returns the number of samples counted.
func (d *LengthCounts) Total() uint64 {
	total := uint64(0)
	for _, n := range d {
		total += n
	}
	return total
}
