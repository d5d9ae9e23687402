package burnrate

import (
	"testing"
	"time"
)

// An alert must need both the long window and its short window over the limit, so that it
// ends soon after its cause. Rates without requests or without an error budget must stay
// defined.
func TestClassify_LongAndShortWindow(t *testing.T) {
	m, h := time.Minute, time.Hour
	cases := []struct {
		rates map[time.Duration]float64
		want  Urgency
	}{
		{map[time.Duration]float64{5 * m: 15, h: 15}, Page},
		{map[time.Duration]float64{5 * m: 0, h: 15, 30 * m: 7, 6 * h: 7}, Ticket},
		{map[time.Duration]float64{5 * m: 100, h: 14, 30 * m: 7, 6 * h: 5}, NoAlert},
	}
	for _, c := range cases {
		if got := Classify(c.rates); got != c.want {
			t.Errorf("urgency for %v is %s, want %s", c.rates, got, c.want)
		}
	}
	if Rate(0, 0, 0.99) != 0 || Rate(10, 0, 1) != 0 || Rate(0, 1, 1) < PageRate {
		t.Error("wrong rate without requests, without errors, or with an objective of 1")
	}
}
