package batchrun

import "time"

// maxFasterWaitShare is the share of what a sample gains at a usual engine, compared with a slow one,
// that it may be expected to wait for it. The rest covers the error of the estimate.
const maxFasterWaitShare = 0.5

// SlowOffer is a free slot at an engine that is slower than usual, at a time at which the usual ones
// are full.
type SlowOffer struct {
	// Slow and Usual are the times that this engine and a usual one take for an event.
	Slow, Usual time.Duration
	// UsualSlots is the number of slots of the usual engines that the sample could use, free or not.
	UsualSlots int
	// Ahead is the number of samples that wait for such a slot before this one.
	Ahead int
	// TokenTime is the average time of a sample for each expected token at the usual engines; zero
	// is unknown.
	TokenTime time.Duration
}

// AwaitFaster reports whether a waiting sample should leave a slot at a slow engine free and wait for
// one at a usual engine, because it is then expected to end earlier. A sample never waits for longer
// in all than the usual engine saves it.
//
// Load: a third of the engines are two to five times slower than the others, steps of several
// trainers that fill the fast ones for some tenths of a second. Samples that start at a slow engine
// then are moved a moment later, at the price of a new connection and of reading the prompt again.
func (r *Run) AwaitFaster(now time.Time, i int, o SlowOffer) bool {
	s := r.samples[i]
	if o.Usual <= 0 || o.Slow <= o.Usual || o.UsualSlots <= 0 || o.TokenTime <= 0 {
		return false
	}
	work := time.Duration(expectedTokens(&s.Sample)) * o.TokenTime
	gain := time.Duration(float64(work) * (float64(o.Slow)/float64(o.Usual) - 1))
	mean := time.Duration(r.meanTokens) * o.TokenTime
	expected := time.Duration(o.Ahead+1) * mean / time.Duration(o.UsualSlots)
	if float64(expected) > maxFasterWaitShare*float64(gain) {
		return false
	}
	if s.fasterAwaitedSince.IsZero() {
		s.fasterAwaitedSince = now
	}
	return now.Sub(s.fasterAwaitedSince) < gain
}

// minMoveGain is what a sample must gain by leaving a slow engine while it runs. The move interrupts
// the stream, opens a connection and makes another engine read the prompt and the output so far.
const minMoveGain = 400 * time.Millisecond

// WorthMoving reports whether a sample that has received the given number of events from a slow engine
// is expected to end enough earlier at a usual one.
func (r *Run) WorthMoving(i, events int, o SlowOffer) bool {
	s := r.samples[i]
	if o.Usual <= 0 || o.TokenTime <= 0 {
		return true // nothing is known of the lengths
	}
	work := time.Duration(expectedTokens(&s.Sample)) * o.TokenTime
	// Many samples are longer than their estimate, so some work is always assumed to remain.
	remaining := max(work-time.Duration(s.partial.Events+events)*o.Usual, work/4)
	return float64(remaining)*(float64(o.Slow)/float64(o.Usual)-1) >= float64(minMoveGain)
}

// Waiting returns the number of samples that are not running and may start.
func (r *Run) Waiting() int {
	n := 0
	for _, s := range r.samples {
		if s.phase == waiting {
			n++
		}
	}
	return n
}
