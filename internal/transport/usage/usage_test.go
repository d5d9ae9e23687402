package usage

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/usage"
)

// Every window must be reported once, in time and with the right counts, whatever fails. The operator
// charges reports that are late, missing or wrong, and two different reports of a window violate a rule.
// Where the failure makes it impossible to be in time, lateAllowed says how many windows it covers.
func TestUsage_Reports(t *testing.T) {
	for _, c := range []struct {
		name string
		// fail causes the failure 32 s after the start, repair ends it 20 s later.
		fail, repair func(w *world)
		lateAllowed  int
		wrongAllowed int
	}{
		{name: "nothing fails"},
		{name: "holder killed", fail: func(w *world) { w.currentHolder().kill() }},
		{name: "holder killed and restarted", fail: func(w *world) {
			h := w.currentHolder()
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
		{name: "wall clock of the holder steps", fail: func(w *world) {
			h := w.currentHolder()
			w.set(func() { w.hosts[0].wallError, w.hosts[1].wallError, h.wallError = time.Minute, -time.Minute, time.Hour })
		}},
		{name: "API silent", fail: func(w *world) { w.set(func() { w.api.silent = true }) }, repair: func(w *world) { w.set(func() { w.api.silent = false }) }},
		// The windows that end from 10 s before the outage to 10 s before its end cannot be in time.
		{name: "API down", fail: func(w *world) { w.set(func() { w.api.down = true }) }, repair: func(w *world) { w.set(func() { w.api.down = false }) }, lateAllowed: 4},
		{name: "store down", fail: func(w *world) { w.set(func() { w.storeDown = true }) }, repair: func(w *world) { w.set(func() { w.storeDown = false }) }, lateAllowed: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 8)
				from := unixNow()
				done := make(chan struct{})
				go func() {
					w.load(90*time.Second, 200)
					close(done)
				}()
				time.Sleep(32 * time.Second)
				if c.fail != nil {
					c.fail(w)
				}
				time.Sleep(20 * time.Second)
				if c.repair != nil {
					c.repair(w)
				}
				<-done
				time.Sleep(20 * time.Second)
				v := w.judge(from)
				if v.all < 15 || v.late > c.lateAllowed || v.wrong > c.wrongAllowed {
					t.Errorf("%+v; want at most %d late, %d wrong", v, c.lateAllowed, c.wrongAllowed)
				}
				w.stop()
			})
		})
	}
}

// If all hosts are killed, reports of windows that ended before must be those of the new hosts, and the
// windows in which nothing ran are reported as empty.
func TestUsage_AllHostsKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		from := unixNow()
		w.load(31*time.Second, 200)
		for _, h := range w.hosts {
			h.kill()
		}
		time.Sleep(12 * time.Second)
		for _, h := range w.hosts {
			h.start()
		}
		restarted := unixNow()
		time.Sleep(3 * time.Second)
		w.load(30*time.Second, 200)
		time.Sleep(20 * time.Second)
		v := w.judge(from)
		// Late: what was due from the kill to the first call, 6 s after the restart.
		if v.late > 4 || v.wrong > 1 {
			t.Errorf("%+v; want at most 4 late, and 1 wrong: that in which they were killed", v)
		}
		if v := w.judge(restarted); v.late > 0 || v.wrong > 0 {
			t.Errorf("after the restart %+v", v)
		}
		w.stop()
	})
}

// A holder that the others cannot reach decides nothing that they do not know of and must stop calling;
// when it is back, it gives its counts to the new one.
func TestUsage_HolderCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		from := unixNow()
		done := make(chan struct{})
		go func() {
			w.load(60*time.Second, 200)
			close(done)
		}()
		time.Sleep(21 * time.Second)
		h := w.currentHolder()
		w.set(func() { h.cut = true })
		time.Sleep(6 * time.Second)
		w.set(func() { h.cut = false })
		<-done
		time.Sleep(20 * time.Second)
		// Wrong: the windows of which the cut host could not send its last counts within 4 s.
		if v := w.judge(from); v.late > 0 || v.wrong > 2 {
			t.Errorf("%+v; want none late and at most 2 wrong", v)
		}
		w.stop()
	})
}

// The store must not fill with old reports and is not written without need.
func TestUsage_StoredObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		time.Sleep(10 * time.Minute)
		before := w.store.Calls()
		time.Sleep(10 * time.Minute)
		after := w.store.Calls()
		page, err := w.store.List(context.Background(), reportPrefix, "", 0)
		if err != nil || len(page.Objects) > keptReports+4 || len(page.Objects) < keptReports {
			t.Errorf("%d stored reports, err %v", len(page.Objects), err)
		}
		for _, o := range page.Objects {
			if !strings.HasPrefix(o.Key, reportPrefix) {
				t.Errorf("object %s", o.Key)
			}
		}
		// Without requests, each window of 5 s takes its report, the removal of an old one, and a save
		// of the state after the decision and one after the answer. The lease is read each second.
		windows := int(10 * time.Minute / testWindow)
		if n := after.Writes - before.Writes; n > 4*windows+4 {
			t.Errorf("%d writes for %d windows", n, windows)
		}
		if n := after.Reads - before.Reads; n > 600+4 {
			t.Errorf("%d reads in 600 s", n)
		}
		w.stop()
	})
}

// A message that is not one must be refused, and one to a host that does not hold the lease must not be
// taken as received.
func TestUsage_Receive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		time.Sleep(5 * time.Second)
		for _, raw := range [][]byte{nil, {0xff}, []byte("no cbor"), {0xa0}} {
			if _, err := w.hosts[0].service.Receive(raw); err == nil {
				t.Errorf("message %x was accepted", raw)
			}
		}
		for _, h := range w.hosts {
			if h != w.currentHolder() {
				h.service.send(context.Background(), h.name, &message{Source: usage.Source{Host: "x"}, Reports: []windowCounts{{1 << 40, usage.Counts{"a": 1}}}})
				if h.service.sent[1<<40] != nil {
					t.Error("counts that the receiver did not take are regarded as sent")
				}
			}
		}
		w.stop()
	})
}
