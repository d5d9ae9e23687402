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
	"oleanderfall.example/oleanderfall/internal/transport/sharder"
)

// post opens a step at the first host and returns the HTTP status.
func (b *bench) post(open trainerapi.OpenStep) int {
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

// restored returns an owner that took over from what the object API holds.
func (b *bench) restored() *owner {
	b.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.t.Cleanup(cancel)
	o := newOwner(ctx, ownerOptions{
		Trainer: "t", Shard: sharder.Shard{ID: "trainer/t", Epoch: 1 << 20}, API: b.store, View: b.view, Engines: b.client,
		Metrics: newMetrics(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler),
	})
	if err := o.restore(ctx); err != nil {
		b.t.Fatalf("the next owner can't take over: %v", err)
	}
	return o
}

func (b *bench) promptObjects() []string {
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

func startOwned(t *testing.T) *bench {
	b := newBench(t, 1, quickEngines())
	b.start(0)
	waitFor(t, func() bool { return b.hosts[0].service.owned("t") != nil })
	return b
}

func TestARefusedOpeningLeavesTheOpenStepsPrompts(t *testing.T) {
	b := startOwned(t)
	if got := b.post(trainerapi.OpenStep{Step: 1, Prompts: []string{"a", "b"}}); got != http.StatusOK {
		t.Fatalf("opening answered %d", got)
	}
	if got := b.post(trainerapi.OpenStep{Step: 1, Prompts: []string{"c"}}); got != http.StatusConflict {
		t.Fatalf("opening with other prompts answered %d", got)
	}
	waitFor(t, func() bool { return len(b.promptObjects()) == 1 })
	b.kill(0)
	if got := b.restored().steps[1].prompts; !slices.Equal(got, []string{"a", "b"}) {
		t.Fatalf("the next owner has the prompts %q", got)
	}
}

func TestFewerPromptsThanGroupsAreNotTakenOver(t *testing.T) {
	b := startOwned(t)
	b.post(trainerapi.OpenStep{Step: 1, Prompts: []string{"a", "b"}})
	b.kill(0)
	key := b.promptObjects()[0]
	held, err := b.store.Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.store.Put(context.Background(), key, []byte(`["a"]`), held.Version); err != nil {
		t.Fatal(err)
	}
	o := newOwner(context.Background(), ownerOptions{Trainer: "t", Shard: sharder.Shard{Epoch: 1 << 20}, API: b.store, View: b.view, Log: slog.New(slog.DiscardHandler)})
	defer o.cancelAll()
	if err := o.restore(context.Background()); err == nil || !strings.Contains(err.Error(), "1 prompts for 2 groups") {
		t.Fatalf("got %v", err)
	}
}

func TestPromptsStayUntilTheRecordWithoutTheirStepIsWritten(t *testing.T) {
	b := startOwned(t)
	for step := uint64(1); step <= 2; step++ {
		if got := b.post(trainerapi.OpenStep{Step: step, Prompts: []string{"a"}}); got != http.StatusOK {
			t.Fatalf("opening answered %d", got)
		}
	}
	gate := b.hosts[0].api
	gate.mu.Lock()
	gate.stopAt, gate.stopped = gate.writes+1, make(chan struct{})
	gate.mu.Unlock()
	reply, err := newClient(t).Get("http://" + b.addresses()[0] + "/v1/trainers/t/steps/2/batches?wait_ms=0")
	if err != nil {
		t.Fatal(err)
	}
	_ = reply.Body.Close()
	<-gate.stopped
	waitFor(t, func() bool { return b.hosts[0].service.owned("t") != nil })
	clock.Sleep(context.Background(), offerTime)
	b.kill(0)
	if got := b.restored().steps[1]; got == nil || !slices.Equal(got.prompts, []string{"a"}) {
		t.Fatalf("the next owner has %v", got)
	}
}

func TestTheSameOpeningHasTheSameDigestAfterASettingsChange(t *testing.T) {
	open := trainerapi.OpenStep{Step: 1, Prompts: []string{"a", "b"}}
	first, err1 := specOf(open, model.Trainer{GroupSize: 4, StepSamples: 64, StalenessBound: 3})
	again, err2 := specOf(open, model.Trainer{GroupSize: 2, StepSamples: 64, StalenessBound: 1})
	if err1 != nil || err2 != nil || first.Digest != again.Digest {
		t.Fatalf("digest %x then %x (%v, %v)", first.Digest, again.Digest, err1, err2)
	}
	for _, other := range [][]string{{"a|b"}, {"a", "|b"}, {"ab", ""}, {"b", "a"}} {
		spec, err := specOf(trainerapi.OpenStep{Step: 1, Prompts: other}, model.Trainer{GroupSize: 4, StepSamples: 64, StalenessBound: 3})
		if err != nil || spec.Digest == first.Digest {
			t.Errorf("prompts %q have the digest of others (%v)", other, err)
		}
	}
}

func TestPromptsThatCantBeKeptAreRefusedWithTheReason(t *testing.T) {
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
			ctx, cancel := context.WithTimeout(context.Background(), 2*storeRetry)
			defer cancel()
			err := keepPrompts(ctx, &store{api: objects, trainer: "t"}, samples.StepSpec{Step: 1, Digest: 2}, []string{c.prompt})
			var refused *resultcode.Error
			if !errors.As(err, &refused) || refused.Code != c.want {
				t.Fatalf("got %v", err)
			}
		})
	}
}
