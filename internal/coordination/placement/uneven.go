package placement

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// tokenTimeWeight is the weight of a new sample in the average time for an expected token. Estimates
// of the length are often far off, so it is small.
const tokenTimeWeight = 0.05

// RecordSample records the time that an endpoint took for a whole sample of the given expected length.
func (t *Table) RecordSample(now time.Time, ep catalog.Endpoint, expectedTokens int, took time.Duration) {
	if expectedTokens <= 0 || took <= 0 || t.IsSlow(now, ep.ID) {
		return
	}
	perToken := took / time.Duration(expectedTokens)
	if old := t.tokenTimes[ep.Service]; old > 0 {
		perToken = time.Duration((1-tokenTimeWeight)*float64(old) + tokenTimeWeight*float64(perToken))
	}
	t.tokenTimes[ep.Service] = perToken
}

// TokenTime returns the average time of a sample for each expected token at the endpoints of a service
// that are not slow; zero is unknown.
func (t *Table) TokenTime(service string) time.Duration { return t.tokenTimes[service] }

// UsualSlots returns the number of slots, free or not, at endpoints that meet the query, are not slow
// and are not ejected.
func (t *Table) UsualSlots(now time.Time, q Query) int {
	q.FreeSlot = false
	slots := 0
	for _, e := range t.services[q.Service] {
		if e.eligible(&q) && !now.Before(e.ejectedUntil) && !t.IsSlow(now, e.endpoint.ID) && !t.isLoading(now, e, q.Model) {
			slots += e.endpoint.Slots
		}
	}
	return slots
}
