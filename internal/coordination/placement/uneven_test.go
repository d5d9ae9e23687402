package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// Requests must go where they end first. A third of the endpoints is 2 to 5 times slower, and answers
// take seconds. A slow endpoint is tried again now and then, but by one request at a time: while
// faster ones have free slots, it must not get another one before that has shown its speed.
func TestPick_UnevenEndpoints(t *testing.T) {
	const service = 2 * time.Second
	for _, utilization := range []float64{0.2, 0.5, 0.8} {
		s := &promptSim{tables: []*Table{NewTable("a")}, random: rand.New(rand.NewPCG(1, 1))}
		table, took, known := s.tables[0], map[string]time.Duration{}, map[string]bool{}
		capacity := 0.0
		for i, factor := range []time.Duration{1, 1, 2, 1, 1, 3, 1, 1, 4, 1, 1, 5} {
			e := catalog.Endpoint{ID: "e" + strconv.Itoa(i), Service: "s", Zone: "a", Slots: 32}
			table.Put(e)
			took[e.ID] = factor * service
			capacity += float64(e.Slots) / took[e.ID].Seconds()
		}
		fastIsFree := func() bool {
			for id, d := range took {
				if d == service && table.InFlight(id) < 32 {
					return true
				}
			}
			return false
		}
		requests, late := 0, 0
		var total time.Duration
		end := testStart.Add(2 * time.Minute)
		var arrive func(now time.Time)
		arrive = func(now time.Time) {
			e, _ := table.Pick(now, Query{Service: "s"}, s.random.Uint64())
			if took[e.ID] > service && known[e.ID] && table.InFlight(e.ID) > 0 && fastIsFree() {
				late++
			}
			table.Begin(now, e)
			d := time.Duration((0.8 + 0.4*s.random.Float64()) * float64(took[e.ID]))
			requests, total = requests+1, total+d
			s.at(now.Add(d), func(now time.Time) {
				table.End(now, e, OK)
				table.RecordServiceTime(now, e.ID, d)
				known[e.ID] = true
			})
			if now = now.Add(time.Duration(s.random.ExpFloat64() / (capacity * utilization) * float64(time.Second))); now.Before(end) {
				s.at(now, arrive)
			}
		}
		s.at(testStart, arrive)
		s.replay()
		t.Logf("utilization %v: %d requests, mean time %v", utilization, requests, (total / time.Duration(requests)).Round(time.Millisecond))
		if late > 0 {
			t.Errorf("utilization %v: %d of %d requests went to slow endpoints that were being tried already", utilization, late, requests)
		}
	}
}
