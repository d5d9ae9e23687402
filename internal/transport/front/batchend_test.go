package front

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/batchrun"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

// The tests of this file guard against samples of a batch that run after the trainer has ended it.

// startedSamples returns the number of attempts that have reached engines.
func (w *testCluster) startedSamples() int {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	return len(w.engines.started)
}

// scoringRequests returns the number of scoring requests for a batch that have reached endpoints.
func (w *testCluster) scoringRequests(b *batches.Batch) (n int) {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	for i := range b.Samples {
		n += w.engines.runs[b.Samples[i].Scoring.ID]
	}
	return n
}

// Guards against a takeover that reads the content or the log for long and then starts a batch that was ended
// meanwhile, whether the next owner was notified of the end or not.
func TestEnd_DuringTakeover(t *testing.T) {
	for name, held := range map[string]string{"content": batches.PartPrefix, "log": batches.LogPrefix} {
		for _, notified := range []bool{true, false} {
			t.Run(name+map[bool]string{true: ", notified", false: ", not notified"}[notified], func(t *testing.T) {
				w := newTestCluster(t)
				hosts := w.start("h1", "h2")
				b := batch("b1", 4, 3)
				w.storeBatch(hosts[1], b, batches.Manifest{AcceptedUnixMs: time.Now().UnixMilli()})
				// A sample that only lacks its score is scored without another attempt.
				unscored := savedSample{ID: b.Samples[0].ID, Complete: true, Partial: batchrun.Partial{Text: []byte("a"), Events: 1, Versions: []int{1}}}
				if _, err := hosts[1].Batches.store.savePartials(background, b.ID, []savedSample{unscored}, 0); err != nil {
					t.Fatal(err)
				}
				hosts[0].store.heldReads.Store(&held)
				takenOver := make(chan struct{})
				go func() {
					defer close(takenOver)
					hosts[0].Batches.tryTakeOver(background, b.ID, "test")
				}()
				w.waitUntil("the batch has its next owner", func() bool {
					m, err := hosts[1].Batches.store.manifest(background, b.ID)
					return err == nil && m.Owner == "h1"
				})
				if notified {
					if err := hosts[1].Batches.End(background, b.ID); err != nil {
						t.Fatal(err)
					}
				} else {
					w.changeManifest(hosts[1], b.ID, func(m *batches.Manifest) { m.Ended = true })
				}
				hosts[0].store.heldReads.Store(nil)
				<-takenOver
				w.waitUntil("the batch is not active", func() bool { return hosts[0].Batches.activeByID(b.ID) == nil })
				if n := w.startedSamples(); n > 0 {
					t.Errorf("%d samples started after the end, want none", n)
				}
				if n := w.scoringRequests(b); n > 0 {
					t.Errorf("%d scoring requests were sent after the end, want none", n)
				}
			})
		}
	}
}

// Guards against a submission whose acceptance is confirmed late and that then starts a batch that was ended
// meanwhile at another host.
func TestEnd_BeforeAcceptanceIsConfirmed(t *testing.T) {
	w := newTestCluster(t)
	hosts := w.start("h1", "h2")
	prefix := batches.ManifestPrefix
	hosts[0].store.lateWriteAnswers.Store(&prefix)
	b := batch("b1", 4, 3)
	submitted := make(chan error)
	go func() {
		content, digest, err := encodeBatch(b)
		if err == nil {
			err = hosts[0].Batches.accept(background, b, content, digest)
		}
		submitted <- err
	}()
	w.waitUntil("the store has the batch", func() bool {
		_, err := hosts[1].Batches.store.manifest(background, b.ID)
		return err == nil
	})
	if err := hosts[1].Batches.End(background, b.ID); err != nil {
		t.Fatal(err)
	}
	hosts[0].store.lateWriteAnswers.Store(nil)
	if err := <-submitted; err != nil {
		t.Fatal(err)
	}
	w.waitUntil("the batch is not active", func() bool { return hosts[0].Batches.activeByID(b.ID) == nil })
	if n := w.startedSamples(); n > 0 {
		t.Errorf("%d samples started after the end, want none", n)
	}
}

// Guards against appends to the log that count as a check of the manifest: a batch that lists results all the time
// would never notice an end of which its owner was not notified.
func TestEnd_NoticedWhileResultsAreListed(t *testing.T) {
	w := newTestCluster(t)
	n := w.start("h1")[0]
	w.engines.eventInterval = 10 * time.Millisecond
	b := batch("b1", 400, 15)
	if err := n.Batches.Submit(background, b); err != nil {
		t.Fatal(err)
	}
	w.changeManifest(n, b.ID, func(m *batches.Manifest) { m.Ended = true })
	w.waitUntil("the batch is not active", func() bool { return n.Batches.activeByID(b.ID) == nil })
	if started := w.startedSamples(); started >= len(b.Samples) {
		t.Errorf("all %d samples started although the batch had ended", started)
	}
}

// Guards against a repeated end that stops the batch only at the host that is asked, when the first one was
// recorded and its owner was not notified.
func TestEnd_RepeatedReachesOwner(t *testing.T) {
	w := newTestCluster(t)
	hosts := w.start("h1", "h2")
	w.engines.eventInterval = 100 * time.Millisecond
	id := submit(t, hosts[0], 1, 400)
	owner, others := w.owner(id)
	running := owner.Batches.activeByID(id)
	w.changeManifest(others[0], id, func(m *batches.Manifest) { m.Ended = true })
	if err := others[0].Batches.End(background, id); err != nil {
		t.Fatal(err)
	}
	if !running.ended.Load() {
		t.Error("the batch runs on at its owner after a repeated end")
	}
}

// Guards against a batch that is accepted and never run, because an earlier one with its ID was ended and removed.
func TestEnd_OfAnEarlierBatchWithTheID(t *testing.T) {
	w := newTestCluster(t)
	n := w.start("h1")[0]
	store := n.Batches.store
	n.Batches.stopEnded("b1") // as a peer that recorded the end asks this host to
	store.mu.Lock()
	mark := store.cache["b1"]
	mark.cachedAt = mark.cachedAt.Add(-endMarkLifetime - time.Second)
	store.cache["b1"] = mark
	store.mu.Unlock()
	b := batch("b1", 2, 3)
	if err := n.Batches.Submit(background, b); err != nil {
		t.Fatal(err)
	}
	w.checkResults(b, w.readAll(n, b.ID))
}
