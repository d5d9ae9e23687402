package front

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// softwareVersions registers four engines, two of each of two software versions, and returns the
// version of each.
func (w *testCluster) softwareVersions() map[string]string {
	versions := map[string]string{"e0": "v1", "e1": "v2", "e2": "v2", "e3": "v1"}
	w.engines.mu.Lock()
	w.engines.versions["e3"] = 1
	w.engines.mu.Unlock()
	for id, software := range versions {
		w.put("endpoints/"+id, catalog.Endpoint{ID: id, Service: "engines", Address: id + ":1", Zone: "a", Slots: 4,
			Versions: map[string]int{"m": 1}, Software: software})
	}
	return versions
}

// checkContinued fails the test if a sample was continued at another software version than the one
// that began it. It returns how many were continued at their own.
func (w *testCluster) checkContinued(versions map[string]string) (continued int) {
	w.t.Helper()
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	began := map[string]string{}
	for _, s := range w.engines.started {
		software := versions[s.endpoint]
		switch {
		case s.resumeAfter == 0:
			began[s.id] = software
		case began[s.id] != software:
			w.t.Errorf("sample %s was begun by software %s and continued after event %d by %s", s.id, began[s.id], s.resumeAfter, software)
		default:
			continued++
		}
	}
	return continued
}

func (w *testCluster) setDown(id string, down bool) {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	w.engines.down[id] = down
}

// What software of two versions generates does not fit together, and engines do not check it. A
// sample whose stream breaks goes on at the version that began it, or starts over.
func TestSamples_ContinueOnlyAtTheSoftwareThatBeganThem(t *testing.T) {
	w := newTestCluster(t)
	versions := w.softwareVersions()
	n := w.start("h1")[0]
	w.engines.eventInterval = 5 * time.Millisecond
	id := submit(t, n, 20, 60)
	w.waitUntil("samples run", func() bool { return w.engines.generating.Load() > 8 })
	for _, broken := range []string{"e0", "e1", "e3", "e2"} {
		w.setDown(broken, true)
		time.Sleep(150 * time.Millisecond)
		w.setDown(broken, false)
	}
	w.checkResults(batch(id, 20, 60), w.readAll(n, id))
	if w.checkContinued(versions) == 0 {
		t.Error("no sample was continued")
	}
}

// The owner of a batch is killed, and its successor continues the saved samples only at the
// software that began them.
func TestRestart_ContinuesSavedSamplesAtTheirSoftware(t *testing.T) {
	w := newTestCluster(t)
	versions := w.softwareVersions()
	n := w.start("h1")[0]
	w.engines.eventInterval = 40 * time.Millisecond
	id := submit(t, n, 8, 100)
	w.waitUntil("unfinished samples are saved", func() bool {
		samples, _, err := n.Batches.store.partials(background, id)
		return err == nil && len(samples) > 0
	})
	s := n.Settings
	w.kill(n)
	w.engines.mu.Lock()
	w.engines.eventInterval = time.Millisecond
	w.engines.mu.Unlock()
	n = w.startWith(s)
	w.checkResults(batch(id, 8, 100), w.readAll(n, id))
	if w.checkContinued(versions) == 0 {
		t.Error("no sample was continued")
	}
}

// If every endpoint of a software version is gone, its samples start over elsewhere.
func TestSamples_StartOverWhenTheirSoftwareIsGone(t *testing.T) {
	w := newTestCluster(t)
	versions := w.softwareVersions()
	n := w.start("h1")[0]
	w.engines.eventInterval = 5 * time.Millisecond
	id := submit(t, n, 6, 60)
	w.waitUntil("samples run", func() bool { return w.engines.generating.Load() > 8 })
	for _, e := range []string{"e0", "e3"} {
		w.setDown(e, true)
		current, err := w.store.Get(background, "endpoints/"+e)
		if err != nil {
			t.Fatal(err)
		}
		if err := w.store.Delete(background, "endpoints/"+e, current.Version); err != nil {
			t.Fatal(err)
		}
	}
	began := time.Now()
	w.checkResults(batch(id, 6, 60), w.readAll(n, id))
	if took := time.Since(began); took > 8*time.Second {
		t.Errorf("the batch took %v after the engines were gone", took)
	}
	if w.checkContinued(versions); w.startedOver() == 0 {
		t.Error("no sample started over, so none had run at the software that is gone")
	}
}

// startedOver returns the number of samples that began more than once.
func (w *testCluster) startedOver() int {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	began, again := map[string]bool{}, 0
	for _, s := range w.engines.started {
		if s.resumeAfter == 0 && began[s.id] {
			again++
		}
		began[s.id] = true
	}
	return again
}
