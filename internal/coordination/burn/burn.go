// Package burn rates how fast a service spends the errors that its objective allows.
//
// Invariant: a rate of 1 spends the whole allowance exactly over the objective's
// period; a service without requests burns nothing.
package burn

import "time"

// Windows are the spans that burn is reported over, the shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Urgency says how soon somebody must look.
type Urgency string

// The urgencies.
const (
	Fine   Urgency = "fine"
	Ticket Urgency = "ticket"
	Page   Urgency = "page"
)

// The rates over which a long window and its short one together raise an alarm: at
// PageRate 2 % of a 30-day allowance go in an hour, at TicketRate 5 % in six hours.
const (
	PageRate   = 14.4
	TicketRate = 6
)

// Rate is the share of bad requests over the share that the objective allows.
func Rate(good, bad uint64, objective float64) float64 {
	total := good + bad
	if total == 0 || bad == 0 {
		return 0
	}
	allowed := max(1-objective, 1e-9)
	return float64(bad) / float64(total) / allowed
}

// Judge returns the urgency of a service's rates by window. The short window makes
// an alarm end soon after its cause.
func Judge(rates map[time.Duration]float64) Urgency {
	over := func(limit float64, long, short time.Duration) bool {
		return rates[long] > limit && rates[short] > limit
	}
	switch {
	case over(PageRate, time.Hour, 5*time.Minute):
		return Page
	case over(TicketRate, 6*time.Hour, 30*time.Minute):
		return Ticket
	}
	return Fine
}
