package origins

import (
	"testing"
	"time"
)

// A host that was cut off or stood still must not rely on its list of endpoints, and an outage of the store must not keep
// streams from being taken up at all hosts.
func TestView_OutOfStep(t *testing.T) {
	for name, c := range map[string]struct {
		view View
		want bool
	}{
		"in step":                            {View{ListAge: time.Second, KnownHosts: 8, AliveHosts: 8}, false},
		"cut off from all":                   {View{ListAge: 5 * time.Second, KnownHosts: 8, AliveHosts: 1}, true},
		"stood still, hears of a newer list": {View{ListAge: 5 * time.Second, NewerKnown: true, KnownHosts: 8, AliveHosts: 8}, true},
		"stood still, hears nothing yet":     {View{ListAge: 5 * time.Second, KnownHosts: 8, AliveHosts: 1}, true},
		"store down for all":                 {View{ListAge: 30 * time.Second, KnownHosts: 8, AliveHosts: 8}, false},
		"the only host, store down":          {View{ListAge: 30 * time.Second, KnownHosts: 1, AliveHosts: 1}, false},
		"cut off a moment ago":               {View{ListAge: 1500 * time.Millisecond, KnownHosts: 8, AliveHosts: 1}, false},
	} {
		if got := c.view.OutOfStep(); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
