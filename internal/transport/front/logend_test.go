package front

import (
	"slices"
	"sync"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

// The tests of this file guard against a host that answers that a position has no result after the
// result has been read somewhere.

// settleTime is the time after which a position that was read once may not be answered as empty.
const settleTime = time.Second

// checkFirstPosition fails the test if a host answers that a batch has no result.
func checkFirstPosition(t *testing.T, n *testNode, id string) {
	t.Helper()
	page, err := n.Batches.Results(background, id, 0, 0)
	if err != nil {
		t.Errorf("%s: %v", n.Settings.Host, err)
	} else if len(page.Results) == 0 {
		t.Errorf("%s answers that the first position has no result after it was read", n.Settings.Host)
	}
}

// waitUntilStored waits until the store has the first result of a batch, from where any host reads it
// while the owner does not answer.
func (w *testCluster) waitUntilStored(n *testNode, id string) {
	w.t.Helper()
	w.waitUntil("the store has a result", func() bool {
		e, err := n.Batches.store.entry(background, id, 0)
		return err == nil && len(e.Results) > 0
	})
}

// The append of a slow owner has taken effect, but the owner does not have the answer yet.
func TestResults_ReadWhileAppendAwaitsAnswer(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t)
	hosts := w.start("h1", "h2")
	prefix := batches.LogPrefix
	for _, n := range hosts {
		n.store.lateWriteAnswers.Store(&prefix)
		defer n.store.lateWriteAnswers.Store(nil)
	}
	id := submit(t, hosts[0], 1, 3)
	w.waitUntilStored(hosts[0], id)
	time.Sleep(settleTime)
	for _, n := range hosts {
		checkFirstPosition(t, n, id)
	}
}

// appendAs appends the result of a sample to the log as another process does.
func (w *testCluster) appendAs(n *testNode, id string, sample batches.Sample) {
	w.t.Helper()
	e := batches.LogEntry{Results: []batches.Result{{ID: sample.ID, Outcome: batches.Completed, Text: generatedText(sample.ID, 400),
		Versions: []int{1}, Score: "signed-score-" + sample.ID}}}
	if err := n.Batches.store.append(background, id, 0, e); err != nil {
		w.t.Fatal(err)
	}
}

// The append of the previous owner takes effect after the next one has read the log.
func TestResults_PreviousOwnerAppendsAfterTakeover(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t)
	hosts := w.start("h1", "h2", "h3")
	w.engines.eventInterval = 100 * time.Millisecond
	id := submit(t, hosts[0], 1, 400)
	previous, _ := w.owner(id)
	w.kill(previous)
	w.waitUntil("another host runs the batch", func() bool {
		for _, n := range w.nodes {
			if n.Batches.activeByID(id) != nil {
				return true
			}
		}
		return false
	})
	owner, others := w.owner(id)
	w.appendAs(others[0], id, batch(id, 1, 400).Samples[0])
	time.Sleep(settleTime)
	for _, n := range append(others, owner) {
		checkFirstPosition(t, n, id)
	}
}

// The append of this host's previous process takes effect after the next one has read the log.
func TestResults_PreviousProcessAppendsAfterRestart(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t)
	n := w.start("h1")[0]
	w.engines.eventInterval = 100 * time.Millisecond
	id := submit(t, n, 1, 400)
	w.kill(n)
	n = w.startWith(n.Settings)
	w.waitUntil("the batch is continued", func() bool { return n.Batches.activeByID(id) != nil })
	w.appendAs(n, id, batch(id, 1, 400).Samples[0])
	time.Sleep(settleTime)
	checkFirstPosition(t, n, id)
}

// Another host has run the batch for a while and handed it back to this one, which had not noticed.
func TestResults_BatchReturnsToUnawareOwner(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t)
	hosts := w.start("h1", "h2")
	w.engines.eventInterval = 100 * time.Millisecond
	id := submit(t, hosts[0], 1, 400)
	owner, others := w.owner(id)
	w.changeManifest(others[0], id, func(m *batches.Manifest) { m.Epoch += 2 })
	w.appendAs(others[0], id, batch(id, 1, 400).Samples[0])
	time.Sleep(settleTime)
	for _, n := range append(others, owner) {
		checkFirstPosition(t, n, id)
	}
}

// The answer of a slow owner that a batch has no result arrives late: the batch has been taken over, and
// its first result read, since the owner confirmed that there was none.
func TestResults_LateAnswerOfFormerOwner(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t)
	hosts := w.start("h1", "h2", "h3")
	w.engines.eventInterval = 100 * time.Millisecond
	id := submit(t, hosts[0], 1, 400)
	owner, others := w.owner(id)
	delay := func() time.Duration { return hedgeDelay - 50*time.Millisecond }
	others[0].peerCalls.delay.Store(&delay)
	if err := owner.Batches.confirmLogEnd(background, owner.Batches.activeByID(id)); err != nil {
		t.Fatal(err)
	}
	confirmed := time.Now()
	w.changeManifest(others[1], id, func(m *batches.Manifest) { m.Owner, m.Epoch = "h9", m.Epoch+1 })
	w.appendAs(others[1], id, batch(id, 1, 400).Samples[0])
	time.Sleep(time.Until(confirmed.Add(maxOwnershipCheckAge - 100*time.Millisecond)))
	checkFirstPosition(t, others[0], id)
}

// Trainers that poll for results that do not exist yet cause no read of the log, also if an append was
// refused, as long as no other process has run the batch.
func TestResults_EmptyPagesReadNoLog(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t)
	n := w.runBatches(1)
	b := n.Batches.activeByID("b0")
	number, _, _ := b.results.beginAppend(time.Now(), []batches.Result{{ID: "b0-0-0"}})
	b.results.endAppend(number, objectapi.ErrRefused)
	n.store.logReads.Store(0)
	w.pollFirstPosition(n, "b0")
	if got := n.store.logReads.Load(); got != 0 {
		t.Errorf("%d reads of the log", got)
	}
}

// pollTime is how long pollFirstPosition polls.
const pollTime = 2 * time.Second

// pollFirstPosition has four trainers poll for the first result of a batch.
func (w *testCluster) pollFirstPosition(n *testNode, id string) {
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			for end := time.Now().Add(pollTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if _, err := n.Batches.Results(background, id, 0, 0); err != nil {
					w.t.Error(err)
				}
			}
		})
	}
	all.Wait()
}

// Trainers that poll at the same time share the reads of the log's end.
func TestResults_ReadsOfLogEndAreShared(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t)
	n := w.runBatches(1)
	b := n.Batches.activeByID("b0")
	number, _, _ := b.results.beginAppend(time.Now(), []batches.Result{{ID: "b0-0-0"}})
	b.results.endAppend(number, objectapi.ErrUnavailable)
	n.store.logReads.Store(0)
	w.pollFirstPosition(n, "b0")
	if got, most := n.store.logReads.Load(), int64(pollTime/sharedReadAge)+1; got == 0 || got > most {
		t.Errorf("%d reads of the log in %v, want 1 to %d", got, pollTime, most)
	}
}

// An entry that a read of the log finds before the answer of its append arrives is added once, and its
// results are not appended again.
func TestResultLog_EntryFoundTwice(t *testing.T) {
	l := newResultLog(3, nil)
	queue := []batches.Result{{ID: "a"}, {ID: "b"}}
	number, e, _ := l.beginAppend(time.Now(), slices.Clone(queue))
	if !l.add(number, *e) || l.add(number, *e) {
		t.Error("the entry was not added exactly once")
	}
	if _, again, _ := l.beginAppend(time.Now(), slices.Clone(queue)); again != nil {
		t.Errorf("the results are appended again: %+v", again)
	}
	if page := l.page(background, 0, 0); len(page.Results) != len(queue) {
		t.Errorf("%d results, want %d", len(page.Results), len(queue))
	}
}

// An append whose outcome is unknown may still take effect after a later one was refused, and a
// confirmed ownership says nothing about it.
func TestResultLog_UnknownAppendKeepsEndUnconfirmed(t *testing.T) {
	began := time.Now()
	for name, c := range map[string]struct {
		outcomes []error
		want     time.Time
	}{
		"refused":               {[]error{objectapi.ErrRefused}, began.Add(time.Hour)},
		"answer lost":           {[]error{objectapi.ErrUnavailable}, began},
		"conflict":              {[]error{objectapi.ErrConflict}, began},
		"answer lost, refused":  {[]error{objectapi.ErrUnavailable, objectapi.ErrRefused}, began},
		"refused, then no word": {[]error{objectapi.ErrRefused, nil}, began},
	} {
		t.Run(name, func(t *testing.T) {
			l := newResultLog(3, nil)
			for _, err := range c.outcomes {
				number, _, _ := l.beginAppend(began, []batches.Result{{ID: "a"}})
				if err != nil {
					l.endAppend(number, err)
				}
			}
			l.setOwnershipConfirmed(began.Add(time.Hour))
			if got := l.page(background, 0, 0).asOf; !got.Equal(c.want) {
				t.Errorf("the log's end is confirmed as of %v, want %v", got.Sub(began), c.want.Sub(began))
			}
		})
	}
}

// The owner of a batch that others have run before must not take the ownership for a confirmation that
// it has all of their entries.
func TestResultLog_OwnershipConfirmsNothingOfOthers(t *testing.T) {
	now := time.Now()
	l := newResultLog(3, []batches.LogEntry{})
	l.setOwnershipConfirmed(now)
	if page := l.page(background, 0, 0); page.certain(now, time.Hour) || l.ownedAlone(now) {
		t.Error("the ownership confirms the end of a log that others have written")
	}
	l.setEndConfirmed(now)
	if page := l.page(background, 0, 0); !page.certain(now, 0) {
		t.Error("a read of the log does not confirm its end")
	}
}

// A page must not be used any longer than its confirmation allows, however old that is when it is sent;
// results and final pages keep for ever.
func TestLogPage_Lifetime(t *testing.T) {
	received := time.Now()
	for name, c := range map[string]struct {
		page logPage
		want int64
	}{
		"confirmed before the call": {logPage{asOf: received.Add(-maxOwnershipCheckAge)}, 250},
		"confirmed at its end":      {logPage{asOf: received.Add(time.Second)}, 1950},
		"too old":                   {logPage{asOf: received.Add(-time.Minute)}, 1},
		"final":                     {logPage{final: true}, 0},
		"with results":              {logPage{Page: Page{Results: make([]batches.Result, 1)}}, 0},
	} {
		if got := c.page.answer(received).ValidMs; got != c.want {
			t.Errorf("%s: valid for %d ms, want %d", name, got, c.want)
		}
	}
}
