package prompts

import "time"

const (
	// rateForgetting is the weight that earlier measurements keep with each new one. The weights
	// add up to that of the last 32 or so.
	rateForgetting = 0.97
	// minRateWeight is the weight of the measurements from which a rate is computed.
	minRateWeight = 4
	// minRateSpread is the least standard deviation of the numbers of tokens, relative to their
	// mean, from which a rate is computed. Prompts of one size do not show which part of the time
	// is spent on reading them.
	minRateSpread = 0.5
	// maxRateError bounds a measurement relative to the expected time, so that one stalled stream
	// does not make an engine slow.
	maxRateError = 2
)

// Rate learns how fast engines read prompts from the times of first events. It fits a line to the
// time by the number of tokens that were read until then. The zero value knows nothing.
type Rate struct {
	// Weighted sums over the measurements: of 1, the tokens x, the times y in milliseconds, x², xy.
	weight, x, y, xx, xy float64
}

// Add records that a first event came after a time, in which an engine read a number of tokens.
func (r *Rate) Add(tokens int, took time.Duration) {
	if tokens < 0 || took <= 0 {
		return
	}
	x, y := float64(tokens), took.Seconds()*1000
	if perToken, first, ok := r.fit(); ok {
		y = min(y, maxRateError*(first+perToken*x))
	}
	for _, sum := range []*float64{&r.weight, &r.x, &r.y, &r.xx, &r.xy} {
		*sum *= rateForgetting
	}
	r.weight++
	r.x += x
	r.y += y
	r.xx += x * x
	r.xy += x * y
}

// fit returns the time to read a token and the time to the first event besides reading, both in
// milliseconds; ok is false if the measurements do not show them.
func (r *Rate) fit() (perToken, first float64, ok bool) {
	if r.weight < minRateWeight || r.x == 0 {
		return 0, 0, false
	}
	mx, my := r.x/r.weight, r.y/r.weight
	variance := r.xx/r.weight - mx*mx
	covariance := r.xy/r.weight - mx*my
	if covariance <= 0 || variance < minRateSpread*minRateSpread*mx*mx {
		return 0, 0, false
	}
	perToken = covariance / variance
	if first = my - perToken*mx; first < 0 {
		return my / mx, 0, true
	}
	return perToken, first, true
}

// PerToken returns the time in which a token is read; ok is false if it is not known.
func (r *Rate) PerToken() (d time.Duration, ok bool) {
	perToken, _, ok := r.fit()
	return time.Duration(perToken * float64(time.Millisecond)), ok
}

// Mean returns the mean time to the first event, and the mean time for each token that exceeds a
// time to the first event besides reading; zero is unknown.
func (r *Rate) Mean(besides time.Duration) (firstEvent, perToken time.Duration) {
	if r.weight == 0 {
		return 0, 0
	}
	firstEvent = time.Duration(r.y / r.weight * float64(time.Millisecond))
	if r.x > 0 {
		perToken = time.Duration(float64(max(firstEvent-besides, 0)) * r.weight / r.x)
	}
	return firstEvent, perToken
}
