package system

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/standin"
)

// receivedAtLeast waits until the trainer has n samples.
func (c *cluster) receivedAtLeast(t *standin.Trainer, n int) {
	c.t.Helper()
	c.until("samples arrive", func() bool { return len(t.Report().Received) >= n })
}

// judgeSteps judges one trainer and checks that all its steps are whole.
func (c *cluster) judgeSteps(t *standin.Trainer, steps, samples int) standin.Verdict {
	c.t.Helper()
	v := c.judge(nil, map[string]*standin.Trainer{"drafts": t})
	if v.StepsDone["drafts"] != steps || v.Samples != samples {
		c.t.Errorf("%d steps with %d samples, want %d with %d", v.StepsDone["drafts"], v.Samples, steps, samples)
	}
	return v
}

func TestSamplesStayTrueWhenRolloutsAreKilled(t *testing.T) {
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

func TestSamplesStayTrueWhenSwapsFailAndEnginesCrash(t *testing.T) {
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

func TestSamplesStayTrueWhenTheStoreLosesAnswersAndStops(t *testing.T) {
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

func TestNewWeightsReachEveryEngineThroughKills(t *testing.T) {
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
