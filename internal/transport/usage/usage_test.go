package usage

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/transport/duties"
)

// Every window must be reported once, in time and with the right counts, whatever fails. The operator
// charges reports that are late, missing or wrong, and two different reports of a window violate a rule.
func TestUsage_Reports(t *testing.T) {
	for _, c := range []struct {
		name string
		// fail causes the failure 32 s after the start, repair ends it 20 s later.
		fail, repair func(w *world)
		// late and wrong are the windows for which the failure leaves no way to be in time or right.
		late, wrong int
		// wallError is how far the wall clock of the holder is off at its start.
		wallError time.Duration
	}{
		{name: "wall clock of the holder is wrong at its start", wallError: 2 * time.Minute},
		{name: "nothing fails"},
		{name: "holder killed", fail: func(w *world) { w.holder.kill() }},
		{name: "holder killed and restarted", fail: func(w *world) {
			h := w.holder
			h.kill()
			time.Sleep(500 * time.Millisecond)
			h.start()
		}},
		{name: "half of the hosts killed", fail: func(w *world) {
			for i, h := range w.hosts {
				if i%2 == 0 {
					h.kill()
				}
			}
		}},
		{name: "wall clocks step, also that of the holder", fail: func(w *world) {
			w.set(func() {
				w.hosts[0].wallError, w.hosts[1].wallError, w.holder.wallError = time.Minute, -time.Minute, time.Hour
			})
		}},
		{name: "API silent", fail: func(w *world) { w.SetMode(standin.OperatorAPISilent) }, repair: func(w *world) { w.SetMode(standin.OperatorAPIUp) }},
		// Windows whose 10 s end during the outage of 20 s are late.
		{name: "API down", fail: func(w *world) { w.SetMode(standin.OperatorAPIDown) }, repair: func(w *world) { w.SetMode(standin.OperatorAPIUp) }, late: 4},
		{name: "store down", fail: func(w *world) { w.set(func() { w.storeDown = true }) }, repair: func(w *world) { w.set(func() { w.storeDown = false }) }, late: 4},
		// Its counts do not arrive before the windows of these 20 s are decided. Two of those end before
		// it is regarded as lost, or after it is back.
		{name: "holder cut off", fail: func(w *world) { w.set(func() { w.holder.lost = time.Now() }) }, repair: func(w *world) {
			w.set(func() {
				for _, h := range w.hosts {
					h.lost = time.Time{}
				}
			})
		}, wrong: 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 8, c.wallError)
				from := unixNow()
				go func() {
					time.Sleep(32 * time.Second)
					if c.fail != nil {
						c.fail(w)
					}
					time.Sleep(20 * time.Second)
					if c.repair != nil {
						c.repair(w)
					}
				}()
				time.Sleep(8 * time.Second) // the first windows are empty
				w.load(80 * time.Second)
				time.Sleep(20 * time.Second)
				if all, late, wrong := w.judge(from); all < 15 || late > c.late || wrong > c.wrong {
					t.Errorf("of %d windows %d are late and %d wrong; want at most %d and %d", all, late, wrong, c.late, c.wrong)
				}
				w.stop()
			})
		})
	}
}

// If all hosts are killed, the saved counts must be reported by the next hosts, and windows in which
// nothing ran as empty.
func TestUsage_AllHostsKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, 0)
		from := unixNow()
		w.load(31 * time.Second)
		for _, h := range w.hosts {
			h.kill()
		}
		time.Sleep(12 * time.Second)
		for _, h := range w.hosts {
			h.start()
		}
		restarted := unixNow()
		w.load(30 * time.Second)
		time.Sleep(20 * time.Second)
		// Late: what was due from the kill to the first call. Wrong: the window of the kill.
		if _, late, wrong := w.judge(from); late > 4 || wrong > 1 {
			t.Errorf("%d windows late, %d wrong; want at most 4 and 1", late, wrong)
		}
		if _, late, wrong := w.judge(restarted); late > 0 || wrong > 0 {
			t.Errorf("after the restart %d windows late, %d wrong", late, wrong)
		}
		w.stop()
	})
}

// A holder that was paused must first collect again: while it slept the hosts counted on.
func TestUsage_PausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 0)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		s := w.holder.service
		r := s.reporting
		before := r.collector.Decided()
		w.set(func() { w.holder.boot += 10 * time.Second })
		if err := s.decideDue(t.Context(), r); err != nil || r.collector.Decided() != before {
			t.Errorf("decided %d after %d right after a pause, err %v", r.collector.Decided(), before, err)
		}
		w.stop()
	})
}

// notHolding sends no calls, as package duties while the lease is about to become invalid.
type notHolding struct{ operatorapi.Client }

func (notHolding) ReportUsage(context.Context, operatorapi.Credentials, operatorapi.Usage) error {
	return duties.ErrNotHolding
}

// A call that was not sent must not lengthen the time limit of the next one: a report whose first call gets
// no answer within 16 s is not repeated within the 10 s in which it is due.
func TestUsage_CallsNotSentAreNoAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 0)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		s := w.holder.service
		s.Calls = notHolding{}
		r, p := &reporting{collector: s.reporting.collector, unsent: map[int64]*pendingReport{}}, &pendingReport{}
		r.unsent[s.windows.Index(unixNow())] = p
		for range 5 {
			s.sendReports(t.Context(), r)
			synctest.Wait()
		}
		if p.attempts != 0 || p.sending {
			t.Errorf("%d attempts, sending %v after calls that were not sent", p.attempts, p.sending)
		}
		w.stop()
	})
}

// After an outage of an hour a host sends the counts of 720 windows to the next holder. Holders read at most
// 1 MiB of a message, and a message that is refused as a whole never arrives.
func TestUsage_ManyWindowsAfterOutage(t *testing.T) {
	const windows, teams, maxUsageMessage = 720, 200, 1 << 20
	arrived := map[int64]int{}
	s := newService(Params{Host: "h", Window: testWindow, Due: testDue, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
		Lease: &host{world: &world{}}, Holder: func() (string, uint64) { return "holder", 1 },
		Send: func(_ context.Context, _ string, raw []byte) ([]byte, error) {
			if len(raw) > maxUsageMessage {
				return nil, errors.New("message too large")
			}
			var m message
			if err := cbor.Unmarshal(raw, &m); err != nil {
				return nil, err
			}
			for _, w := range m.Reports {
				arrived[w.Window] = len(w.Counts)
			}
			return cbor.Marshal(answer{})
		}}, func() time.Duration { return windows * testWindow }, func() time.Duration { return windows * testWindow })
	for w := range windows {
		for team := range teams {
			s.counter.Begin(fmt.Sprintf("a team's name %03d", team)).Sent(time.Duration(w) * testWindow)
		}
	}
	for range 10 {
		s.sendCounts(t.Context())
	}
	for w := range int64(windows) {
		// The first window is older than what hosts keep.
		if w > 0 && arrived[w] != teams {
			t.Fatalf("window %d: the counts of %d teams arrived, want %d", w, arrived[w], teams)
		}
	}
}

// The store must not fill with old reports, and is not written without need.
func TestUsage_StoredObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 0)
		time.Sleep(10 * time.Minute)
		before := w.store.Calls()
		time.Sleep(10 * time.Minute)
		after := w.store.Calls()
		page, err := w.store.List(context.Background(), reportPrefix, "", 0)
		if err != nil || len(page.Objects) > keptReports+4 || len(page.Objects) < keptReports {
			t.Errorf("%d stored reports, err %v", len(page.Objects), err)
		}
		// Without requests, each window takes its report, the removal of an old one, and a save of the
		// state after the decision and one after the answer.
		const windows = int(10 * time.Minute / testWindow)
		if n := after.Writes - before.Writes; n > 4*windows+4 || after.Reads > before.Reads {
			t.Errorf("%d writes and %d reads for %d windows", n, after.Reads-before.Reads, windows)
		}
		w.stop()
	})
}
