package front

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/admission"
	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/quarantine"
	"oleanderfall.example/oleanderfall/internal/coordination/retries"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

var background = context.Background()

func submit(t *testing.T, n *testNode, groups, events int) string {
	t.Helper()
	const id = "b1"
	if err := n.Batches.Submit(background, batch(id, groups, events)); err != nil {
		t.Fatal(err)
	}
	return id
}

func code(err error) resultcode.Code {
	var coded *resultcode.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return resultcode.OK
}

func TestAnyHostReadsABatchAndAllAgreeOnPositions(t *testing.T) {
	w := newWorld(t)
	hosts := w.start("h1", "h2", "h3")
	id := submit(t, hosts[0], 6, 8)
	first := w.readAll(hosts[1], id)
	w.checkResults(batch(id, 6, 8), first)
	for _, n := range hosts {
		again := w.readAll(n, id)
		for i := range first {
			if again[i].ID != first[i].ID || again[i].Text != first[i].Text {
				t.Fatalf("position %d differs at %s", i, n.Settings.Host)
			}
		}
	}
	body, err := hosts[2].Batches.Body(background, id, "b1-2-1")
	if err != nil || string(body) != "b1-2-1" {
		t.Fatalf("body is %q: %v", body, err)
	}
}

// TestResultsComeWhileTheOwnershipIsBeingProved: a reader is not kept from results that
// are there because the store is slow to confirm that there were none before.
func TestResultsComeWhileTheOwnershipIsBeingProved(t *testing.T) {
	w := newWorld(t)
	w.engines.pace = 20 * time.Millisecond
	n := w.start("h1")[0]
	id := submit(t, n, 1, 80)
	time.Sleep(ownerCheckAge + 100*time.Millisecond) // the last proof is too old now
	prefix := "batches/"
	n.path.stalled.Store(&prefix)
	page, err := n.Batches.Results(background, id, 0, 50*time.Millisecond)
	if err != nil || len(page.Results) == 0 {
		t.Errorf("the reader got %d results: %v", len(page.Results), err)
	}
}

// TestSamplesLeaveAnEndpointThatNoConnectionReaches: one that is cut off neither ends its
// streams nor accepts connections. The stall limit is not waited for, which the second
// test shows without a clock.
func TestSamplesLeaveAnEndpointThatNoConnectionReaches(t *testing.T) {
	w := newWorld(t)
	w.engines.pace = 10 * time.Millisecond
	n := w.start("h1")[0]
	id := submit(t, n, 3, 60)
	w.until("samples run there", func() bool {
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		return w.engines.open["e0"] > 0
	})
	w.engines.silence("e0")
	w.checkResults(batch(id, 3, 60), w.readAll(n, id))
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	if w.engines.reached["e0"] == 0 {
		t.Error("no connection to the silent endpoint was tried")
	}
}

// TestAConnectionIsTriedOnceForEachSilence: and it decides whether the samples leave.
func TestAConnectionIsTriedOnceForEachSilence(t *testing.T) {
	w := newWorld(t)
	n := w.start("h1")[0]
	a := &activeBatch{owner: n.Batches, probes: map[string]*probe{}, ctx: background, log: slog.New(slog.DiscardHandler)}
	at := &attempt{endpoint: catalog.Endpoint{ID: "e0"}}
	now := time.Now()
	at.lastEvent.Store(now.Add(-probeAfter).UnixNano())
	w.engines.silence("e0")
	w.until("the endpoint is found unreachable", func() bool { return a.unreachable(now, at) })
	at.lastEvent.Store(now.Add(time.Second).UnixNano()) // it answered after all
	if a.unreachable(now.Add(2*time.Second), at) {
		t.Error("an earlier silence's finding is used for a new one")
	}
	w.until("the new silence is probed", func() bool { return a.unreachable(now.Add(2*time.Second), at) })
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	if got := w.engines.reached["e0"]; got != 2 {
		t.Errorf("%d connections were tried for two silences", got)
	}
}

// TestPeersAvoidAnEndpointThatOneOfThemDoesNotReach: hosts tell each other.
func TestPeersAvoidAnEndpointThatOneOfThemDoesNotReach(t *testing.T) {
	w := newWorld(t)
	hosts := w.start("h1", "h2")
	w.until("the endpoints are known", func() bool { return len(hosts[1].feed.State(0).Endpoints) == 4 })
	hosts[0].Forwarder.fleet.With(func(table *placement.Table) { table.Eject(time.Now(), "e0") })
	w.until("the other host avoids the endpoint", func() bool {
		avoided := true
		hosts[1].Forwarder.fleet.With(func(table *placement.Table) {
			for i := range 12 {
				e, ok := table.Pick(time.Now(), placement.Query{Service: "engines", Model: "m", FreeSlot: true}, uint64(i)<<32)
				avoided = avoided && ok && e.ID != "e0"
			}
		})
		return avoided
	})
}

func TestABatchIsAcceptedOnceAtAnyHost(t *testing.T) {
	w := newWorld(t)
	hosts := w.start("h1", "h2")
	for range 2 {
		for _, n := range hosts {
			submit(t, n, 3, 4)
		}
	}
	w.checkResults(batch("b1", 3, 4), w.readAll(hosts[1], "b1"))
	err := hosts[1].Batches.Submit(background, batch("b1", 4, 4))
	if code(err) != resultcode.StepConflict {
		t.Fatalf("other content under the same id: %v", err)
	}
}

func TestASubmissionThatTheStoreRefusesDoesNotRun(t *testing.T) {
	w := newWorld(t)
	n := w.start("h1")[0]
	n.path.refusing.Store(true)
	err := n.Batches.Submit(background, batch("b1", 1, 1))
	if info := code(err).Info(); info.Outcome != resultcode.NotRun || !info.Retry {
		t.Fatalf("refused as %v", err)
	}
	n.path.refusing.Store(false)
	if _, err := n.Batches.Results(background, "b1", 0, 0); code(err) != resultcode.NotFound {
		t.Fatalf("the refused batch reads as %v", err)
	}
}

func TestASubmissionWhoseAnswerIsLostIsNotRefused(t *testing.T) {
	w := newWorld(t)
	n := w.start("h1")[0]
	prefix := "batches/"
	n.path.swallow.Store(&prefix)
	err := n.Batches.Submit(background, batch("b1", 1, 1))
	// The client finds its own write by reading it again.
	if err != nil && code(err).Info().Outcome == resultcode.NotRun {
		t.Fatalf("a batch that was written is answered as not run: %v", err)
	}
}

func TestAnotherHostTakesOverFromAKilledOwner(t *testing.T) {
	w := newWorld(t)
	hosts := w.start("h1", "h2", "h3")
	w.engines.pace = 10 * time.Millisecond
	id := submit(t, hosts[0], 8, 40)
	w.until("some results are listed", func() bool {
		page, err := hosts[1].Batches.Results(background, id, 0, 0)
		return err == nil && len(page.Results) > 0
	})
	before, err := hosts[1].Batches.Results(background, id, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	w.kill(hosts[0])
	after := w.readAll(hosts[2], id)
	w.checkResults(batch(id, 8, 40), after)
	for i, r := range before.Results {
		if after[i].ID != r.ID || after[i].Text != r.Text {
			t.Fatalf("position %d changed with the owner", i)
		}
	}
}

func TestAHostThatRestartsContinuesItsBatchWithWhatItSaved(t *testing.T) {
	w := newWorld(t)
	hosts := w.start("h1")
	w.engines.pace = 40 * time.Millisecond
	id := submit(t, hosts[0], 2, 100)
	w.until("unfinished samples are saved", func() bool {
		samples, _, err := hosts[0].Batches.store.partials(background, id)
		return err == nil && len(samples) > 0
	})
	s := hosts[0].Settings
	w.kill(hosts[0])
	w.engines.mu.Lock()
	w.engines.pace = time.Millisecond
	w.engines.mu.Unlock()
	n := w.startWith(s)
	w.checkResults(batch(id, 2, 100), w.readAll(n, id))
	if w.engines.resumed.Load() == 0 {
		t.Error("no sample was continued after its saved text")
	}
}

// Hosts that know only a common seed learn of each other from it, without the store.
// Found by the incident inc-5741: two hosts that did not know each other both took the
// weights lease.
func TestHostsLearnOfEachOtherFromASeed(t *testing.T) {
	w := newWorld(t)
	seed := w.settings("h1")
	w.startWith(seed)
	var nodes []*testNode
	for _, h := range []string{"h2", "h3"} {
		s := w.settings(h)
		s.Seeds = []string{seed.PeerAddress}
		n := w.startWith(s)
		n.path.refusing.Store(true) // no list of hosts
		nodes = append(nodes, n)
	}
	w.until("the two know each other", func() bool {
		_, a := nodes[0].peers.Get("h3")
		_, b := nodes[1].peers.Get("h2")
		return a && b
	})
}

func TestAHostThatTheStoreTurnsAwayWorksThroughAPeer(t *testing.T) {
	w := newWorld(t)
	hosts := w.start("h1", "h2")
	hosts[0].path.refusing.Store(true)
	w.until("the host notices", func() bool {
		err := hosts[0].Batches.Submit(background, batch("b1", 3, 4))
		return err == nil
	})
	w.checkResults(batch("b1", 3, 4), w.readAll(hosts[0], "b1"))
	w.configure(2)
	w.until("the configuration is in force", func() bool { return hosts[0].Catalog.Generation() == 2 })
}

func TestAnEndStopsTheWorkAndKeepsWhatIsListed(t *testing.T) {
	w := newWorld(t)
	hosts := w.start("h1", "h2")
	w.engines.pace = 100 * time.Millisecond
	id := submit(t, hosts[0], 4, 200)
	w.until("samples run", func() bool { return w.engines.generating.Load() > 0 })
	for range 2 {
		if err := hosts[1].Batches.End(background, id); err != nil {
			t.Fatal(err)
		}
	}
	w.until("no sample runs", func() bool { return w.engines.generating.Load() == 0 })
	page, err := hosts[1].Batches.Results(background, id, 0, 0)
	if err != nil || page.Total != 8 {
		t.Fatalf("the ended batch reads as %+v: %v", page, err)
	}
	if err := hosts[1].Batches.End(background, "unknown"); code(err) != resultcode.NotFound {
		t.Fatalf("the end of an unknown batch: %v", err)
	}
}

func TestAnOldBatchIsRemovedWholeAndAnOpenOneIsKept(t *testing.T) {
	w := newWorld(t)
	n := w.start("h1")[0]
	for _, id := range []string{"old", "open"} {
		if err := n.Batches.Submit(background, batch(id, 2, 3)); err != nil {
			t.Fatal(err)
		}
		w.readAll(n, id)
	}
	if err := n.Batches.End(background, "old"); err != nil {
		t.Fatal(err)
	}
	all, err := n.Batches.store.listManifests(background)
	if err != nil {
		t.Fatal(err)
	}
	for i := range all {
		all[i].AcceptedUnixMs -= (n.Settings.Retention + removeSlack).Milliseconds()
	}
	n.Batches.removeOld(background, all)
	if _, err := n.Batches.Results(background, "open", 0, 0); err != nil {
		t.Errorf("the open batch reads as %v", err)
	}
	for _, prefix := range []string{"batches/", "batchparts/", "batchlogs/", "batchpartials/"} {
		page, err := w.store.List(background, prefix, "", 100)
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range page.Objects {
			if strings.Contains(o.Key, "old") {
				t.Errorf("%s is left", o.Key)
			}
		}
	}
}

func TestAPlannedStopHandsABatchOver(t *testing.T) {
	w := newWorld(t)
	hosts := w.start("h1", "h2")
	w.engines.pace = 30 * time.Millisecond
	id := submit(t, hosts[0], 3, 150)
	w.until("samples run", func() bool { return w.engines.generating.Load() > 0 })
	delete(w.nodes, "h1")
	if err := hosts[0].Stop(background); err != nil {
		t.Fatal(err)
	}
	w.checkResults(batch(id, 3, 150), w.readAll(hosts[1], id))
	if w.engines.resumed.Load() == 0 {
		t.Error("no sample was continued by the next owner")
	}
}

func TestADrainingHostLeavesTheDirectoryAtOnce(t *testing.T) {
	w := newWorld(t)
	hosts := w.start("h1", "h2")
	stopped := make(chan error, 1)
	delete(w.nodes, "h1")
	go func() { stopped <- hosts[0].Stop(background) }()
	w.until("the peer's directory lacks the host", func() bool { return len(hosts[1].Addresses()) == 1 })
	if hosts[0].Ready() {
		t.Error("a draining host is ready")
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}

func TestAnEndpointThatDrainsGetsNoNewSamples(t *testing.T) {
	w := newWorld(t)
	hosts := w.start("h1", "h2")
	for _, id := range []string{"e0", "e1"} {
		w.put("endpoints/"+id, catalog.Endpoint{ID: id, Service: "engines", Address: id + ":1", Zone: "a", Slots: 4,
			Draining: true, Versions: map[string]int{"m": 1}})
	}
	w.until("all hosts know", func() bool {
		for _, n := range hosts {
			ok := true
			for _, e := range n.feed.State(0).Endpoints {
				ok = ok && (e.Draining || e.ID == "e2" || e.ID == "p0")
			}
			if !ok {
				return false
			}
		}
		return true
	})
	w.engines.mu.Lock()
	w.engines.down["e0"], w.engines.down["e1"] = true, true // a run there would be unreachable
	w.engines.mu.Unlock()
	w.checkResults(batch(submit(t, hosts[1], 4, 3), 4, 3), w.readAll(hosts[0], "b1"))
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	for id, n := range w.engines.runs {
		if n > 1 {
			t.Errorf("request %s was sent %d times", id, n)
		}
	}
}

func TestASampleGoesOnAtAnotherEngineWhenItsOwnIsGone(t *testing.T) {
	w := newWorld(t)
	n := w.start("h1")[0]
	w.engines.pace = 20 * time.Millisecond
	id := submit(t, n, 4, 60)
	w.until("samples run", func() bool { return w.engines.generating.Load() > 3 })
	w.engines.mu.Lock()
	w.engines.down["e0"] = true
	w.engines.mu.Unlock()
	w.checkResults(batch(id, 4, 60), w.readAll(n, id))
}

func TestConfigurationsAreInForceEverywhereAndNeverRevert(t *testing.T) {
	w := newWorld(t)
	hosts := w.start("h1", "h2", "h3")
	for g := uint64(2); g <= 6; g += 2 {
		w.configure(g)
		w.until("all hosts have it", func() bool {
			for _, n := range hosts {
				if n.Catalog.Generation() != g {
					return false
				}
			}
			return true
		})
	}
	if hosts[0].Catalog.Apply(&catalog.Config{Generation: 5}, nil) {
		t.Error("an older configuration was applied")
	}
}

func TestOneHostAtATimeOrdersEngines(t *testing.T) {
	w := newWorld(t)
	w.engines.loaded = w.report
	hosts := w.start("h1", "h2", "h3")
	upgraded := func(version int) func() bool {
		return func() bool {
			w.engines.mu.Lock()
			defer w.engines.mu.Unlock()
			for i := range 3 {
				if w.engines.versions["e"+string(rune('0'+i))] != version {
					return false
				}
			}
			return true
		}
	}
	w.put("models/m", 2)
	w.until("version 2 is loaded", upgraded(2))
	holder := ""
	w.engines.mu.Lock()
	holder = w.engines.received[0].holder
	w.engines.mu.Unlock()
	for _, n := range hosts {
		if n.Settings.Host == holder {
			w.kill(n)
		}
	}
	w.put("models/m", 3)
	w.until("version 3 is loaded", upgraded(3))
	checkOrders(t, w.engines.received, 300*time.Millisecond)
}

func TestAStoppingHolderReleasesTheWeightsLease(t *testing.T) {
	w := newWorld(t)
	w.engines.loaded = w.report
	hosts := w.start("h1", "h2")
	w.put("models/m", 2)
	w.until("an engine is ordered", func() bool {
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		return len(w.engines.received) > 0
	})
	holder, other := hosts[0], hosts[1]
	if holder.weights.FencingToken() == 0 {
		holder, other = other, holder
	}
	delete(w.nodes, holder.Settings.Host)
	stopped := make(chan error, 1)
	go func() { stopped <- holder.Stop(background) }()
	w.until("the other host holds it while the first still drains", func() bool { return other.weights.FencingToken() != 0 })
	if holder.weights.FencingToken() != 0 {
		t.Error("both hosts hold the lease")
	}
	w.put("models/m", 3)
	w.until("version 3 is loaded", func() bool {
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		return w.engines.versions["e0"] == 3 && w.engines.versions["e1"] == 3 && w.engines.versions["e2"] == 3
	})
	w.engines.mu.Lock()
	checkOrders(t, w.engines.received, other.Settings.Lease)
	w.engines.mu.Unlock()
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}

// A holder that never ordered passes on the distance that it had to keep itself.
func TestAReleaseCountsTheOrdersOfFormerHolders(t *testing.T) {
	lease := 3 * time.Second
	w := &Weights{settings: Settings{Host: "h2", Lease: lease}}
	for _, c := range []struct {
		former leaseRecord
		want   time.Duration
	}{
		{leaseRecord{}, 0},
		{leaseRecord{Holder: "h2"}, 0},
		{leaseRecord{Holder: "h1"}, lease + leaseValidity},
		{leaseRecord{Holder: "h1", Released: true}, lease},
		{leaseRecord{Holder: "h1", Released: true, LastOrderAgoMs: 1000}, 2 * time.Second},
		{leaseRecord{Holder: "h1", Released: true, LastOrderAgoMs: 9000}, 0},
		// The former holder took the lease just before and was still waiting itself.
		{leaseRecord{Holder: "h1", Released: true, LastOrderAgoMs: -500}, lease + 500*time.Millisecond},
	} {
		if got := w.distance(c.former); got != c.want {
			t.Errorf("%+v: waits %v, not %v", c.former, got, c.want)
		}
	}
}

// checkOrders fails when two holders share a fencing token, a token goes back, or the
// orders of two holders are closer than the lease.
func checkOrders(t *testing.T, orders []order, lease time.Duration) {
	t.Helper()
	holders := map[uint64]string{}
	for i, o := range orders {
		if h, ok := holders[o.token]; ok && h != o.holder {
			t.Errorf("token %d is used by %s and %s", o.token, h, o.holder)
		}
		holders[o.token] = o.holder
		if i == 0 {
			continue
		}
		last := orders[i-1]
		if o.token < last.token {
			t.Errorf("token %d after %d", o.token, last.token)
		}
		if o.holder != last.holder && o.at.Sub(last.at) < lease {
			t.Errorf("%s orders %v after %s", o.holder, o.at.Sub(last.at), last.holder)
		}
	}
}

func TestAStoreHostMayBeRemoved(t *testing.T) {
	w := newWorld(t)
	hosts := w.start("h1", "h2")
	w.put("removals/s1", 10)
	w.until("the removal is answered", func() bool {
		for _, n := range hosts {
			if _, ok := n.path.statuses.Load("removals/s1"); ok {
				return true
			}
		}
		return false
	})
}

func TestForeignEntriesNameNoEndpoint(t *testing.T) {
	w := newWorld(t)
	w.put("endpoints/odd", "no endpoint")
	n := w.start("h1")[0]
	w.until("the endpoints are known", func() bool { return len(n.feed.State(0).Endpoints) == 4 })
}

func TestAnIdempotentRequestIsSentAgainAndAnUnsafeOneIsNot(t *testing.T) {
	w := newWorld(t)
	w.put("endpoints/p1", catalog.Endpoint{ID: "p1", Service: "plain", Address: "p1:1", Zone: "a", Slots: 8})
	n := w.start("h1")[0]
	w.until("the endpoints are known", func() bool { return len(n.feed.State(0).Endpoints) == 5 })
	broken := 0
	w.engines.do = func(r backend.Request) (*backend.Answer, error) {
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		if broken++; broken == 1 {
			return nil, backend.ErrBroken
		}
		return &backend.Answer{Status: 200, Signature: "s"}, nil
	}
	for _, c := range []struct {
		path string
		want resultcode.Code
		runs int
	}{{"/plain/x", resultcode.OK, 2}, {"/once/x", resultcode.EndpointFailed, 1}} {
		broken = 0
		route, err := n.Forwarder.Route("h", c.path)
		if err != nil {
			t.Fatal(err)
		}
		in := &Inbound{ID: "r" + c.path, Host: "h", Method: "POST", URI: c.path, Path: c.path}
		if _, err := n.Forwarder.Forward(background, route, in); code(err) != c.want {
			t.Errorf("%s: %v", c.path, err)
		}
		if got := w.engines.runs[in.ID]; got != c.runs {
			t.Errorf("%s was sent %d times, not %d", c.path, got, c.runs)
		}
	}
}

// A request that takes down each endpoint that runs it is refused at every host after
// the second one, and other requests are not.
func TestARequestThatCrashesEndpointsIsHeldOffEverywhere(t *testing.T) {
	w := newWorld(t)
	for _, id := range []string{"p1", "p2", "p3"} {
		w.put("endpoints/"+id, catalog.Endpoint{ID: id, Service: "plain", Address: id + ":1", Zone: "a", Slots: 8})
	}
	hosts := w.start("h1", "h2")
	w.until("the endpoints are known", func() bool {
		return len(hosts[0].feed.State(0).Endpoints) == 7 && len(hosts[1].feed.State(0).Endpoints) == 7
	})
	w.engines.do = func(r backend.Request) (*backend.Answer, error) {
		if string(r.Body) != "poison" {
			return &backend.Answer{Status: 200, Signature: "s"}, nil
		}
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		w.engines.down[r.Endpoint.ID] = true
		return nil, backend.ErrBroken
	}
	send := func(n *testNode, id, body string) error {
		route, err := n.Forwarder.Route("h", "/plain/x")
		if err != nil {
			t.Fatal(err)
		}
		_, err = n.Forwarder.Forward(background, route, &Inbound{ID: id, Host: "h", Method: "POST", URI: "/plain/x", Path: "/plain/x", Body: []byte(body)})
		return err
	}
	_ = send(hosts[0], "first", "poison")
	print := fingerprint(&Inbound{Host: "h", Method: "POST", URI: "/plain/x", Body: []byte("poison")})
	w.until("the other host has heard of it", func() bool {
		verdict, _ := hosts[1].Forwarder.quarantine.check(print)
		return verdict == quarantine.Refuse
	})
	for _, n := range hosts {
		if err := send(n, "again", "poison"); code(err) != resultcode.Quarantined {
			t.Errorf("%s answers %v", n.Settings.Host, err)
		}
	}
	w.engines.mu.Lock()
	crashed := len(w.engines.down)
	w.engines.mu.Unlock()
	if crashed > quarantine.MaxCrashes {
		t.Errorf("%d endpoints crashed", crashed)
	}
	if err := send(hosts[1], "other", "harmless"); err != nil {
		t.Errorf("another request: %v", err)
	}
}

// A burst in which every endpoint is slow must not double itself.
func TestHedgesStayAShareOfTheRequests(t *testing.T) {
	w := newWorld(t)
	for _, id := range []string{"p1", "p2"} { // with room for all requests and as many hedges
		w.put("endpoints/"+id, catalog.Endpoint{ID: id, Service: "plain", Address: id + ":1", Zone: "a", Slots: 128})
	}
	n := w.start("h1")[0]
	w.until("the endpoints are known", func() bool { return len(n.feed.State(0).Endpoints) == 6 })
	release := make(chan struct{})
	w.engines.do = func(backend.Request) (*backend.Answer, error) {
		<-release
		return &backend.Answer{Status: 200, Signature: "s"}, nil
	}
	route, err := n.Forwarder.Route("h", "/plain/x")
	if err != nil {
		t.Fatal(err)
	}
	const requests = 60
	ended := make(chan error, requests)
	for i := range requests {
		go func() {
			_, err := n.Forwarder.Forward(background, route, &Inbound{ID: fmt.Sprint("r", i), Host: "h", Method: "POST", URI: "/plain/x", Path: "/plain/x"})
			ended <- err
		}()
	}
	w.until("all are sent", func() bool {
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		return len(w.engines.runs) == requests
	})
	time.Sleep(2 * time.Duration(hedgeShare*float64(route.Objective)))
	w.engines.mu.Lock()
	sent := 0
	for _, n := range w.engines.runs {
		sent += n
	}
	w.engines.mu.Unlock()
	close(release)
	if extra := sent - requests; extra > int(retries.Reserve) {
		t.Errorf("%d extra attempts for %d requests", extra, requests)
	}
	for range requests {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// TestBurstIsRefusedBeforeItReachesFullEndpoints: a host sends no more than the endpoints
// can take, refuses the rest at once, and spreads its callers' return.
func TestBurstIsRefusedBeforeItReachesFullEndpoints(t *testing.T) {
	w := newWorld(t)
	const slots, requests = 8, 80 // the slots of the world's one endpoint of the service
	n := w.start("h1")[0]
	w.until("the endpoints are known", func() bool { return len(n.feed.State(0).Endpoints) == 4 })
	release := make(chan struct{})
	w.engines.do = func(backend.Request) (*backend.Answer, error) {
		<-release
		return &backend.Answer{Status: 200, Signature: "s"}, nil
	}
	route, err := n.Forwarder.Route("h", "/plain/x")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, requests)
	for i := range requests {
		go func() {
			_, err := n.Forwarder.Forward(background, route, &Inbound{ID: fmt.Sprint("r", i), Host: "h", Method: "GET",
				URI: "/plain/x", Path: "/plain/x", Body: []byte{byte(i)}, Budget: 10 * time.Second})
			ended <- err
		}()
	}
	back := map[int64]bool{}
	refused := 0
	for range requests - limitOf(slots) {
		err := <-ended
		var coded *resultcode.Error
		if !errors.As(err, &coded) || coded.Code != resultcode.Overloaded || coded.Code.Info().Outcome != resultcode.NotRun {
			t.Fatalf("after %d refusals the burst is answered with %v", refused, err)
		}
		refused++
		back[coded.RetryAfterMillis] = true
	}
	close(release)
	for range requests - refused {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	if len(back) < refused/2 {
		t.Errorf("%d callers were told %d times to come back", refused, len(back))
	}
	if len(w.engines.runs) != requests-refused {
		t.Errorf("%d requests reached the endpoint", len(w.engines.runs))
	}
}

// limitOf is how many requests the only host sends to so many slots.
func limitOf(slots int) int { return admission.ComputeShare(slots, 0, 0, 1).Ceiling }

// TestRefusalsOfFullEndpointsAreRepeatedWithinABudget: endpoints that refuse for lack of
// room are not flooded with repeats.
func TestRefusalsOfFullEndpointsAreRepeatedWithinABudget(t *testing.T) {
	w := newWorld(t)
	for _, id := range []string{"p1", "p2", "p3"} {
		w.put("endpoints/"+id, catalog.Endpoint{ID: id, Service: "plain", Address: id + ":1", Zone: "a", Slots: 64})
	}
	n := w.start("h1")[0]
	w.until("the endpoints are known", func() bool { return len(n.feed.State(0).Endpoints) == 7 })
	var sent atomic.Int64
	w.engines.do = func(backend.Request) (*backend.Answer, error) {
		sent.Add(1)
		return nil, backend.ErrNotRun
	}
	route, err := n.Forwarder.Route("h", "/plain/x")
	if err != nil {
		t.Fatal(err)
	}
	const requests = 100
	for i := range requests {
		_, err := n.Forwarder.Forward(background, route, &Inbound{ID: fmt.Sprint("r", i), Host: "h", Method: "GET", URI: "/plain/x", Path: "/plain/x"})
		if code(err).Info().Outcome != resultcode.NotRun {
			t.Fatalf("refused by every endpoint: %v", err)
		}
	}
	if extra := sent.Load() - requests; extra > int64(retries.Reserve) {
		t.Errorf("%d repeats of %d requests", extra, requests)
	}
}

func TestARefusalSaysNotRunOnlyWhenNothingWasSent(t *testing.T) {
	w := newWorld(t)
	n := w.start("h1")[0]
	w.engines.do = func(backend.Request) (*backend.Answer, error) { return nil, backend.ErrNotRun }
	route, err := n.Forwarder.Route("h", "/once/x")
	if err != nil {
		t.Fatal(err)
	}
	in := &Inbound{ID: "r1", Host: "h", Method: "POST", URI: "/once/x", Path: "/once/x"}
	_, err = n.Forwarder.Forward(background, route, in)
	if code(err).Info().Outcome != resultcode.NotRun {
		t.Errorf("refused by every endpoint: %v", err)
	}
	if _, err := n.Forwarder.Route("h", "/nowhere/"); code(err) != resultcode.UnknownService {
		t.Errorf("a path without a route: %v", err)
	}
}
