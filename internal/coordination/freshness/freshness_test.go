package freshness

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestTracker_Traces replays the proofs that reach a host. It guards against a request with a removed
// key that is admitted later than the bound, and against refusals while a proof holds. Each line is
// "NOW_MS read SENT_MS GENERATION", "NOW_MS answer ASKED_MS AGE_MS GENERATION" or
// "NOW_MS check GENERATION_IN_FORCE". The times are boot times of the host.
func TestTracker_Traces(t *testing.T) {
	datadriven.RunTest(t, "testdata/proofs", func(t *testing.T, d *datadriven.TestData) string {
		var boundMs int64
		d.ScanArgs(t, "bound", &boundMs)
		bound := time.Duration(boundMs) * time.Millisecond
		var tracker Tracker
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			var kind string
			var now, sent, age, generation int64
			ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
			if _, err := fmt.Sscan(line, &now, &kind); err != nil {
				d.Fatalf(t, "%q: %v", line, err)
			}
			var err error
			switch kind {
			case "read":
				_, err = fmt.Sscan(line, &now, &kind, &sent, &generation)
				tracker.Observe(ms(sent), 0, uint64(generation))
			case "answer":
				_, err = fmt.Sscan(line, &now, &kind, &sent, &age, &generation)
				tracker.Observe(ms(sent), ms(age), uint64(generation))
			case "check":
				_, err = fmt.Sscan(line, &now, &kind, &generation)
				fmt.Fprintf(&out, "%d: fresh %t, due %t\n", now, tracker.Fresh(ms(now), uint64(generation), bound), tracker.Due(ms(now), bound))
			default:
				d.Fatalf(t, "%q", line)
			}
			if err != nil {
				d.Fatalf(t, "%q: %v", line, err)
			}
		}
		return out.String()
	})
}

// A host must not admit a request with a key later than the bound after the store confirmed the
// configuration without that key, whatever the order in which reads and answers of peers arrive and
// however the boot clocks of the hosts differ. The bound is the one of the operators' settings.
func TestTracker_NoAdmissionAfterBound(t *testing.T) {
	const bound = 5 * time.Second
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		// confirmedAt[g] is the true time at which the store confirmed generation g.
		confirmedAt := []time.Duration{0, 0}
		clockOffset := [2]time.Duration{time.Duration(rng.Int64N(1e15)), time.Duration(rng.Int64N(1e15))}
		var trackers [2]Tracker
		var inForce [2]uint64
		for now := time.Duration(0); now < time.Minute; now += time.Duration(rng.Int64N(int64(700 * time.Millisecond))) {
			host := rng.IntN(2)
			local := now + clockOffset[host]
			delay := time.Duration(rng.Int64N(int64(8 * time.Second)))
			switch sent := max(now-delay, 0); rng.IntN(4) {
			case 0: // the store confirms a configuration
				confirmedAt = append(confirmedAt, now)
			case 1: // a read that the store executed after it was sent is answered
				executed := sent + time.Duration(rng.Int64N(int64(now-sent)+1))
				generation := uint64(len(confirmedAt) - 1)
				for confirmedAt[generation] > executed {
					generation--
				}
				trackers[host].Observe(local-(now-sent), 0, generation)
				inForce[host] = max(inForce[host], generation)
			case 2: // a peer answers at once a question that waited at the peer
				peer := 1 - host
				if age, generation, ok := trackers[peer].Newest(now+clockOffset[peer], inForce[peer]); ok {
					trackers[host].Observe(local-(now-sent), age, generation)
				}
			case 3: // the host fetches a peer's configuration
				inForce[host] = max(inForce[host], inForce[1-host])
			}
			for h := range trackers {
				next := inForce[h] + 1
				if trackers[h].Fresh(now+clockOffset[h], inForce[h], bound) && int(next) < len(confirmedAt) && now > confirmedAt[next]+bound {
					t.Fatalf("seed %d: at %v a host with generation %d admits requests, %v after generation %d was confirmed", seed, now, inForce[h], now-confirmedAt[next], next)
				}
			}
		}
	}
}
