package front

import (
	"testing"
	"time"
	"unsafe"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// afterStep returns the reading of a clock that has stepped: its wall time differs by whole seconds, its
// monotonic time does not.
func afterStep(t *testing.T, now time.Time, step time.Duration) time.Time {
	const wallSecondsShift = 30 // the layout of time.Time with a monotonic reading
	stepped := now
	*(*uint64)(unsafe.Pointer(&stepped)) += uint64(step/time.Second) << wallSecondsShift
	if stepped.Sub(now) != 0 || stepped.Round(0).Sub(now.Round(0)) != step {
		t.Fatalf("cannot step the clock: %v became %v", now, stepped)
	}
	return stepped
}

// The wall clock steps while streams and calls run. All of them would count as stalled and be cancelled, and
// their endpoints be ejected, or a stalled one would be noticed too late.
func TestSilence_ClockStep(t *testing.T) {
	const silence = 300 * time.Millisecond
	began := time.Now()
	at := &attempt{endpoint: catalog.Endpoint{ID: "e0"}, began: began}
	call := &directCall{}
	call.maxSilence.Store(int64(time.Second))
	for _, step := range []time.Duration{0, 30 * time.Second, -30 * time.Second} {
		at.lastEvent.set(began)
		call.progressAt.set(began)
		now := afterStep(t, began.Add(silence), step)
		if got := at.silence(now); got != silence {
			t.Errorf("step of %v: a stream is silent for %v, want %v", step, got, silence)
		}
		if got := call.silenceLeft(now); got != time.Second-silence {
			t.Errorf("step of %v: a call may be silent for %v, want %v", step, got, time.Second-silence)
		}
		at.lastEvent.set(now) // the first event after the step
		if got := at.silence(now); got != 0 {
			t.Errorf("step of %v: a stream is silent for %v at its event", step, got)
		}
	}
}

// The wall clock steps back between the last event of a stream and the probe of its silent endpoint: the result
// of the probe must still count.
func TestUnreachable_ClockStep(t *testing.T) {
	now := time.Now()
	a := &activeBatch{probes: map[string]*probe{"e0": {began: afterStep(t, now.Add(probeDelay), -time.Minute)}}}
	a.probes["e0"].failed.Store(true)
	at := &attempt{endpoint: catalog.Endpoint{ID: "e0"}}
	at.lastEvent.set(now)
	if !a.unreachable(now.Add(2*probeDelay), at) {
		t.Error("the endpoint is not found unreachable")
	}
}

// The wall clock of a host steps back before its process restarts: its peers must not ignore the new process as
// an older one. It would be lost to them for minutes, while it takes requests.
func TestPeers_RestartAfterClockStepBack(t *testing.T) {
	w := newTestCluster(t)
	hosts := w.start("h1", "h2")
	peer, restarting := hosts[0], hosts[1]
	ahead := restarting.membership.heartbeat()
	w.kill(restarting)
	ahead.Incarnation += int64(time.Minute) // of a process that started before the step
	peer.peers.mu.Lock()
	accepted, _ := peer.peers.table.Receive(time.Now(), presence.Heartbeat{Member: ahead.Member, Sequence: 1})
	peer.peers.mu.Unlock()
	if !accepted {
		t.Fatal("the heartbeat of the former process was ignored")
	}
	w.startWith(restarting.Settings)
	w.waitUntil("the peer has the record of the new process", func() bool {
		m, alive := peer.peers.Get("h2")
		return alive && m.Incarnation > ahead.Incarnation
	})
}
