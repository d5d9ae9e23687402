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

// configure replaces the configuration that the next views show.
func (b *bench) configure(change func(c *model.Config)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := *b.config
	c.Trainers, c.Scorers = maps.Clone(c.Trainers), maps.Clone(c.Scorers)
	change(&c)
	b.config = &c
}

func TestAnAskedBatchIsMadeAgainWhileTheContentLimitIsReached(t *testing.T) {
	b := newBench(t, 1, quickEngines())
	b.order(1)
	value, err := ledger.Encode(ledger.Record{Epoch: 1, Sequence: 1, TrainerVersion: 1, Steps: []ledger.Step{
		{Step: 1, Groups: 2, GroupSize: 1, Bound: 1, PromptPrefix: "p", Batches: [][]uint16{{0}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.store.Put(context.Background(), "trainer/t/step", value, 0); err != nil {
		t.Fatal(err)
	}
	o := b.restored()
	defer func() { o.cancelAll(); o.workers.Wait() }()
	o.held = maxContentBytes
	o.waiting = []pullRequest{{pull: samples.Pull{Step: 1, Max: 8, Version: 1}, deadline: time.Now().Add(time.Hour), reply: make(chan pullReply, 1)}}
	o.settle()
	if len(o.jobs) != 1 {
		t.Fatalf("%d samples started, want the one of the asked batch", len(o.jobs))
	}
}

func TestSamplesInScoringFollowAChangeOfTheScorersAddress(t *testing.T) {
	b := startOwned(t)
	b.scorer.SetFaults(standin.Faults{Outage: true})
	other, err := standin.NewScorer("127.0.0.1:0", "other")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	tr := b.train(standin.TrainerOptions{Steps: 1, Groups: 2, GroupSize: 4})
	waitFor(t, func() bool { return b.service().scoring("t") == 8 })
	b.configure(func(c *model.Config) {
		c.Scorers["s"] = model.Scorer{Address: other.Address(), Timeout: time.Second}
	})
	b.judge(tr, 8)
}

func TestSamplesInScoringAreReadyOnceNoScorerIsConfigured(t *testing.T) {
	b := startOwned(t)
	b.scorer.SetFaults(standin.Faults{Outage: true})
	tr := b.train(standin.TrainerOptions{Steps: 1, Groups: 2, GroupSize: 4})
	waitFor(t, func() bool { return b.service().scoring("t") == 8 })
	b.configure(func(c *model.Config) {
		trainer := c.Trainers["t"]
		trainer.Scorer = ""
		c.Trainers["t"] = trainer
	})
	b.judge(tr, 8)
}

func (b *bench) service() *Service { return b.hosts[0].service }

// scoring counts the samples of the trainer's step 1 that wait for their score.
func (s *Service) scoring(trainer model.TrainerID) int {
	o, n := s.owned(trainer), 0
	for group := 0; o != nil && group < 2; group++ {
		for index := range 4 {
			reply := make(chan samples.Explanation, 1)
			o.tell(explainRequest{step: 1, group: group, index: index, reply: reply})
			if e, ok := <-reply; ok && e.State == "scoring" {
				n++
			}
		}
	}
	return n
}
