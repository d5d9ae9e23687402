package system

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/standin"
)

// receivedAtLeast waits until the trainer has received n samples.
func (c *cluster) receivedAtLeast(t *standin.Trainer, n int) {
	c.t.Helper()
	c.until("the trainer has received enough samples", func() bool { return len(t.Report().Received) >= n })
}

// judgeSteps judges the samples of one trainer and checks that all its steps are complete.
func (c *cluster) judgeSteps(t *standin.Trainer, steps, samples int) standin.Verdict {
	c.t.Helper()
	v := c.judge(nil, map[string]*standin.Trainer{"drafts": t})
	if v.StepsDone["drafts"] != steps || v.Samples != samples {
		c.t.Errorf("trainer completed %d steps with %d samples, want %d steps with %d samples", v.StepsDone["drafts"], v.Samples, steps, samples)
	}
	return v
}

// Each rollout program is killed and started again during the training steps. No sample is
// lost, repeated or reported with a wrong weight version.
func TestSampleCorrectness_RolloutKilled(t *testing.T) {
	c := startCluster(t)
	trainer := c.trainer(3, 20, 700*time.Millisecond)
	for i, h := range c.hosts {
		c.receivedAtLeast(trainer, 40*(i+1))
		c.kill(h, "rollout")
		c.start(h, "rollout")
	}
	c.wait("the trainer ends", trainer.Done())
	c.judgeSteps(trainer, 3, 240)
}

// The steps complete with correct samples while one engine fails two weight swaps, one
// reports no version, one crashes and one cuts its answers after 700 bytes.
func TestSampleCorrectness_EngineFaults(t *testing.T) {
	c := startCluster(t)
	c.engines[0].SetFaults(standin.Faults{FailSwaps: 2})
	c.engines[1].SetFaults(standin.Faults{HideVersion: true})
	trainer := c.trainer(3, 20, time.Second)
	c.receivedAtLeast(trainer, 60)
	c.engines[2].SetFaults(standin.Faults{Crash: true})
	c.receivedAtLeast(trainer, 120)
	c.engines[1].SetFaults(standin.Faults{})
	c.engines[3].SetFaults(standin.Faults{CutAtByte: 700})
	c.receivedAtLeast(trainer, 180)
	c.engines[3].SetFaults(standin.Faults{})
	c.wait("the trainer ends", trainer.Done())
	c.judgeSteps(trainer, 3, 240)
}

// The object API loses the answers to 30 writes of trainer data, fails for two seconds and
// then loses the answers to 30 other writes. The steps complete with correct samples.
func TestSampleCorrectness_StoreFaults(t *testing.T) {
	c := startCluster(t)
	trainer := c.trainer(3, 20, time.Second)
	c.store.SetFaults(standin.Faults{LoseAnswers: 30, LoseKeyPrefix: "trainer/"})
	c.receivedAtLeast(trainer, 60)
	c.store.SetFaults(standin.Faults{Outage: true})
	time.Sleep(2 * time.Second)
	c.store.SetFaults(standin.Faults{LoseAnswers: 30})
	c.wait("the trainer ends", trainer.Done())
	c.judgeSteps(trainer, 3, 240)
}

// The rolling update to the last weight version reaches every engine although one engine
// fails a swap and two control programs are killed and started again.
func TestWeightUpdate_ControlKilled(t *testing.T) {
	c := startCluster(t)
	c.engines[0].SetFaults(standin.Faults{FailSwaps: 1})
	trainer := c.trainer(2, 10, 0)
	c.wait("the trainer ends", trainer.Done())
	for _, h := range c.hosts[:2] {
		c.kill(h, "control")
		c.start(h, "control")
	}
	want := trainer.Report().Version
	c.until("every engine has the last version", func() bool {
		for _, e := range c.engines {
			if e.Version() != want {
				return false
			}
		}
		return true
	})
	c.judgeSteps(trainer, 2, 80)
}
