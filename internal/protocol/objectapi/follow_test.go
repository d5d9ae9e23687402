package objectapi_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/standin"
)

// mirror is a ChangeHandler that keeps the objects delivered by Follow.
type mirror struct {
	mu      sync.Mutex
	objects map[string]string
	resets  int
}

func (m *mirror) Reset(objects []objectapi.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resets++
	m.objects = map[string]string{}
	for _, o := range objects {
		m.objects[o.Key] = string(o.Value)
	}
}

func (m *mirror) Change(e objectapi.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.Deleted {
		delete(m.objects, e.Key)
		return
	}
	m.objects[e.Key] = string(e.Value)
}

func (m *mirror) snapshot() (string, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprint(m.objects), m.resets
}

// Watches are dropped at random while objects change, and the short history forces Follow to
// list again. Its handler must still end with the objects that the store holds.
func TestFollow_ConvergesAfterDroppedWatches(t *testing.T) {
	store := standin.NewObjectStore(standin.ObjectStoreOptions{History: 4})
	opt := objectapi.ClientOptions{Seed: 1, ReadsPerSecond: 10000, WritesPerSecond: 10000}
	writer, follower := objectapi.NewClient(store, opt), objectapi.NewClient(store, opt)
	ctx, cancel := context.WithCancel(t.Context())
	m := &mirror{}
	done := make(chan error, 1)
	go func() { done <- follower.Follow(ctx, "p/", m) }()
	random := rand.New(rand.NewPCG(7, 7))
	want := map[string]string{}
	versions := map[string]uint64{}
	for i := range 400 {
		key := fmt.Sprintf("p/%d", random.IntN(9))
		if _, present := want[key]; present && random.IntN(4) == 0 {
			if err := writer.Delete(ctx, key, versions[key]); err != nil {
				t.Fatal(err)
			}
			delete(want, key)
			versions[key] = 0
		} else {
			want[key] = fmt.Sprint(i)
			versions[key] = mustPut(t, writer, key, want[key], versions[key])
		}
		if random.IntN(20) == 0 {
			store.SetFaults(standin.Faults{DropWatches: true})
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		got, resets := m.snapshot()
		if got == fmt.Sprint(want) {
			t.Logf("listed %d times", resets)
			break
		}
		if time.Now().After(end) {
			t.Fatalf("mirror %s, store %v", got, want)
		}
	}
	cancel()
	if err := <-done; err == nil {
		t.Fatal("Follow returned no error after its context was cancelled")
	}
}
