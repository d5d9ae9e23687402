package front

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/batches"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// storeBatch writes a batch to the store that a host accepted which is gone.
func (w *testCluster) storeBatch(n *testNode, b *batches.Batch, m batches.Manifest) {
	w.t.Helper()
	content, digest, err := encodeBatch(b)
	if err != nil {
		w.t.Fatal(err)
	}
	if m.Parts, err = n.Batches.store.putContent(background, b.ID, digest, content); err != nil {
		w.t.Fatal(err)
	}
	m.ID, m.Digest, m.Total, m.Owner, m.Epoch = b.ID, digest, len(b.Samples), "gone", 1
	if _, err := n.Batches.store.putManifest(background, m, 0); err != nil {
		w.t.Fatal(err)
	}
}

// A host that has just started takes a batch over before it has the configuration: its samples must not be
// abandoned by limits that are not those of their route.
func TestTakeover_BeforeConfiguration(t *testing.T) {
	const age = defaultSampleTTL + time.Second
	w := newTestCluster(t)
	current, err := w.store.Get(background, "conf/main")
	if err != nil {
		t.Fatal(err)
	}
	if err := w.store.Delete(background, "conf/main", current.Version); err != nil {
		t.Fatal(err)
	}
	n := w.startWith(w.settings("h1"))
	b := batch("b1", 2, 3)
	b.MinVersion = 2 // no engine has this version yet
	w.storeBatch(n, b, batches.Manifest{AcceptedUnixMs: time.Now().Add(-age).UnixMilli(), AgeMs: age.Milliseconds()})
	n.Batches.tryTakeOver(background, b.ID, "test")
	time.Sleep(3 * attemptCheckInterval)
	w.put("conf/main", catalog.Config{Generation: 1, Routes: []catalog.Route{
		{Name: "samples", Host: "h", PathPrefix: "/samples/", Kind: catalog.KindRollout, MaxAttempts: 3, SampleTTL: 10 * time.Minute,
			Targets: []catalog.Target{{Service: "engines", Weight: 1}}},
		{Name: "plain", Host: "h", PathPrefix: "/plain/", Kind: catalog.KindSafe, MaxAttempts: 2, Objective: 150 * time.Millisecond,
			Timeout: 2 * time.Second, Targets: []catalog.Target{{Service: "plain", Weight: 1}}},
	}})
	w.addEngine("e9", 2)
	w.checkResults(b, w.readAll(n, b.ID))
}
