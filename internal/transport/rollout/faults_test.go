package rollout

import (
	"context"
	"maps"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/samples"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/ledger"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// updateConfig changes the configuration of later views.
func (b *testFleet) updateConfig(change func(c *model.Config)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := *b.config
	c.Trainers, c.Scorers = maps.Clone(c.Trainers), maps.Clone(c.Scorers)
	change(&c)
	b.config = &c
}

// After a takeover the content of a batch that the trainer still asks for is gone. It is
// generated again even at the content limit, which only holds back slots that never ran;
// otherwise the trainer and the owner would wait for each other.
func TestOwner_RerunsRequestedBatchAtContentLimit(t *testing.T) {
	b := newTestFleet(t, 1, fastEngines())
	b.orderVersion(1)
	value, err := ledger.Encode(ledger.Record{Epoch: 1, Sequence: 1, TrainerVersion: 1, Steps: []ledger.Step{
		{Step: 1, Groups: 2, GroupSize: 1, StalenessBound: 1, PromptPrefix: "p", Batches: [][]uint16{{0}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.store.Put(context.Background(), "trainer/t/step", value, 0); err != nil {
		t.Fatal(err)
	}
	o := b.restoredOwner()
	defer func() { o.cancelAll(); o.workers.Wait() }()
	o.heldBytes = maxContentBytes
	o.pendingPulls = []pullRequest{{pull: samples.Pull{Step: 1, Max: 8, Version: 1}, deadline: time.Now().Add(time.Hour), reply: make(chan pullReply, 1)}}
	o.advance()
	if len(o.attempts) != 1 {
		t.Fatalf("started %d samples, want the one of the requested batch", len(o.attempts))
	}
}

// Samples that wait for a score are sent to the new scorer when the configured address
// changes.
func TestScoring_ScorerAddressChanged(t *testing.T) {
	b := newFleetWithOwner(t)
	b.scorer.SetFaults(standin.Faults{Outage: true})
	other, err := standin.NewScorer("127.0.0.1:0", "other")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	tr := b.startTrainer(standin.TrainerOptions{Steps: 1, Groups: 2, GroupSize: 4})
	waitFor(t, func() bool { return b.service().countScoring("t") == 8 })
	b.updateConfig(func(c *model.Config) {
		c.Scorers["s"] = model.Scorer{Address: other.Address(), Timeout: time.Second}
	})
	b.verify(tr, 8)
}

// Samples that wait for a score become ready when the trainer's scorer is removed from the
// configuration.
func TestScoring_ScorerRemoved(t *testing.T) {
	b := newFleetWithOwner(t)
	b.scorer.SetFaults(standin.Faults{Outage: true})
	tr := b.startTrainer(standin.TrainerOptions{Steps: 1, Groups: 2, GroupSize: 4})
	waitFor(t, func() bool { return b.service().countScoring("t") == 8 })
	b.updateConfig(func(c *model.Config) {
		trainer := c.Trainers["t"]
		trainer.Scorer = ""
		c.Trainers["t"] = trainer
	})
	b.verify(tr, 8)
}

func (b *testFleet) service() *Service { return b.hosts[0].service }

// countScoring returns how many samples of the trainer's step 1 wait for their score.
func (s *Service) countScoring(trainer model.TrainerID) int {
	o, n := s.localOwner(trainer), 0
	for group := 0; o != nil && group < 2; group++ {
		for index := range 4 {
			reply := make(chan samples.Explanation, 1)
			o.enqueue(explainRequest{step: 1, group: group, index: index, reply: reply})
			if e, ok := <-reply; ok && e.State == "scoring" {
				n++
			}
		}
	}
	return n
}
