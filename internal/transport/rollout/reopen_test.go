package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/samples"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/trainerapi"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
	"oleanderfall.example/oleanderfall/internal/transport/shardassignment"
)

// openStep opens a step at the first host and returns the HTTP status.
func (b *testFleet) openStep(open trainerapi.OpenStep) int {
	b.t.Helper()
	body, err := json.Marshal(open)
	if err != nil {
		b.t.Fatal(err)
	}
	reply, err := newClient(b.t).Post("http://"+b.addresses()[0]+"/v1/trainers/t/steps", "application/json", bytes.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	_ = reply.Body.Close()
	return reply.StatusCode
}

// restoredOwner returns an owner that has restored the state stored in the object API.
func (b *testFleet) restoredOwner() *owner {
	b.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.t.Cleanup(cancel)
	o := newOwner(ctx, ownerOptions{
		Trainer: "t", Shard: shardassignment.Shard{ID: "trainer/t", Epoch: 1 << 20}, API: b.store, View: b.view, Engines: b.client,
		Metrics: newMetrics(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler),
	})
	if err := o.restore(ctx); err != nil {
		b.t.Fatalf("next owner failed to restore: %v", err)
	}
	return o
}

func (b *testFleet) promptObjects() []string {
	b.t.Helper()
	page, err := b.store.List(context.Background(), "trainer/t/prompts/", "", 10)
	if err != nil {
		b.t.Fatal(err)
	}
	var keys []string
	for _, o := range page.Objects {
		keys = append(keys, o.Key)
	}
	return keys
}

func newFleetWithOwner(t *testing.T) *testFleet {
	b := newTestFleet(t, 1, fastEngines())
	b.start(0)
	waitFor(t, func() bool { return b.hosts[0].service.localOwner("t") != nil })
	return b
}

// A refused opening with other prompts neither replaces nor deletes the prompts of the open
// step.
func TestOpen_RefusedKeepsOpenStepsPrompts(t *testing.T) {
	b := newFleetWithOwner(t)
	if got := b.openStep(trainerapi.OpenStep{Step: 1, Prompts: []string{"a", "b"}}); got != http.StatusOK {
		t.Fatalf("opening returned status %d", got)
	}
	if got := b.openStep(trainerapi.OpenStep{Step: 1, Prompts: []string{"c"}}); got != http.StatusConflict {
		t.Fatalf("opening with other prompts returned status %d", got)
	}
	waitFor(t, func() bool { return len(b.promptObjects()) == 1 })
	b.kill(0)
	if got := b.restoredOwner().steps[1].prompts; !slices.Equal(got, []string{"a", "b"}) {
		t.Fatalf("next owner restored prompts %q", got)
	}
}

// A takeover fails if the stored prompts are fewer than the groups of the step.
func TestRestore_FewerPromptsThanGroups(t *testing.T) {
	b := newFleetWithOwner(t)
	b.openStep(trainerapi.OpenStep{Step: 1, Prompts: []string{"a", "b"}})
	b.kill(0)
	key := b.promptObjects()[0]
	held, err := b.store.Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.store.Put(context.Background(), key, []byte(`["a"]`), held.Version); err != nil {
		t.Fatal(err)
	}
	o := newOwner(context.Background(), ownerOptions{Trainer: "t", Shard: shardassignment.Shard{Epoch: 1 << 20}, API: b.store, View: b.view, Log: slog.New(slog.DiscardHandler)})
	defer o.cancelAll()
	if err := o.restore(context.Background()); err == nil || !strings.Contains(err.Error(), "1 prompts for 2 groups") {
		t.Fatalf("got %v", err)
	}
}

// The owner dies after it closed a step and before the record without the step is written.
// The next owner still finds the step in the record and needs its prompts.
func TestPrompts_KeptUntilRecordIsWritten(t *testing.T) {
	b := newFleetWithOwner(t)
	for step := uint64(1); step <= 2; step++ {
		if got := b.openStep(trainerapi.OpenStep{Step: step, Prompts: []string{"a"}}); got != http.StatusOK {
			t.Fatalf("opening returned status %d", got)
		}
	}
	gate := b.hosts[0].api
	gate.mu.Lock()
	gate.hangAtWrite, gate.hanging = gate.writes+1, make(chan struct{})
	gate.mu.Unlock()
	reply, err := newClient(t).Get("http://" + b.addresses()[0] + "/v1/trainers/t/steps/2/batches?wait_ms=0")
	if err != nil {
		t.Fatal(err)
	}
	_ = reply.Body.Close()
	<-gate.hanging
	waitFor(t, func() bool { return b.hosts[0].service.localOwner("t") != nil })
	clock.Sleep(context.Background(), offerWindow)
	b.kill(0)
	if got := b.restoredOwner().steps[1]; got == nil || !slices.Equal(got.prompts, []string{"a"}) {
		t.Fatalf("next owner restored %v", got)
	}
}

// The digest of an opening does not change with the trainer's settings, so that the opening
// can be sent again. Different prompts have different digests, also if they join to the same
// text.
func TestDigest_IndependentOfSettings(t *testing.T) {
	open := trainerapi.OpenStep{Step: 1, Prompts: []string{"a", "b"}}
	first, err1 := newStepSpec(open, model.Trainer{GroupSize: 4, StepSamples: 64, StalenessBound: 3})
	again, err2 := newStepSpec(open, model.Trainer{GroupSize: 2, StepSamples: 64, StalenessBound: 1})
	if err1 != nil || err2 != nil || first.Digest != again.Digest {
		t.Fatalf("digests %x and %x (%v, %v), want the same", first.Digest, again.Digest, err1, err2)
	}
	for _, other := range [][]string{{"a|b"}, {"a", "|b"}, {"ab", ""}, {"b", "a"}} {
		spec, err := newStepSpec(trainerapi.OpenStep{Step: 1, Prompts: other}, model.Trainer{GroupSize: 4, StepSamples: 64, StalenessBound: 3})
		if err != nil || spec.Digest == first.Digest {
			t.Errorf("prompts %q have the same digest as different prompts (%v)", other, err)
		}
	}
}

// If the prompts cannot be stored, the result code must state the reason, because the caller
// decides by it whether to send the opening again.
func TestStorePrompts_Errors(t *testing.T) {
	for name, c := range map[string]struct {
		faults standin.Faults
		prompt string
		want   resultcode.Code
	}{
		"outage":    {faults: standin.Faults{Outage: true}, prompt: "a", want: resultcode.StorageUnknown},
		"too large": {prompt: strings.Repeat("a", 8<<20), want: resultcode.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			objects := standin.NewObjectStore(standin.ObjectStoreOptions{})
			objects.SetFaults(c.faults)
			ctx, cancel := context.WithTimeout(context.Background(), 2*storeRetryDelay)
			defer cancel()
			err := storePrompts(ctx, &store{api: objects, trainer: "t"}, samples.StepSpec{Step: 1, Digest: 2}, []string{c.prompt})
			var refused *resultcode.Error
			if !errors.As(err, &refused) || refused.Code != c.want {
				t.Fatalf("got %v", err)
			}
		})
	}
}
