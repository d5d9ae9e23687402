// Package burnrate computes how fast a service consumes the error budget of its objective,
// and whether that rate calls for an alert.
//
// Invariant: a burn rate of 1 consumes the complete error budget exactly over the
// objective's period; a service without requests has a burn rate of 0.
package burnrate

import "time"

// Windows are the time windows for which burn rates are reported, in ascending order.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Urgency says how soon an alert must be handled.
type Urgency string

// The urgencies, in ascending order: no alert, a ticket, and a page that needs an immediate
// response.
const (
	NoAlert Urgency = "fine"
	Ticket  Urgency = "ticket"
	Page    Urgency = "page"
)

// The burn rates above which a long window and its short window together raise an alert.
// PageRate consumes 2 % of a 30-day error budget in one hour, TicketRate 5 % in six hours.
const (
	PageRate   = 14.4
	TicketRate = 6
)

// Rate returns the burn rate: the fraction of bad requests divided by the fraction that
// the objective, between 0 and 1, allows. It is 0 if there are no requests.
func Rate(good, bad uint64, objective float64) float64 {
	total := good + bad
	if total == 0 || bad == 0 {
		return 0
	}
	// The minimum keeps the rate finite for an objective of 1.
	errorBudget := max(1-objective, 1e-9)
	return float64(bad) / float64(total) / errorBudget
}

// Classify returns the urgency for a service's burn rates by window. An alert needs both a
// long and a short window over the limit: the short window ends the alert soon after its
// cause has ended.
func Classify(rates map[time.Duration]float64) Urgency {
	exceeds := func(limit float64, long, short time.Duration) bool {
		return rates[long] > limit && rates[short] > limit
	}
	switch {
	case exceeds(PageRate, time.Hour, 5*time.Minute):
		return Page
	case exceeds(TicketRate, 6*time.Hour, 30*time.Minute):
		return Ticket
	}
	return NoAlert
}
