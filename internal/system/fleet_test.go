package system

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/standin"
)

// Every host is replaced in turn: its programs are stopped with SIGTERM and started again.
// No request is interrupted and no sample is wrong.
func TestHostsReplacedOneAfterAnotherInterruptNothing(t *testing.T) {
	c := startCluster(t)
	lab := c.caller(60, 1800)
	streams := c.reviewer(5, 150)
	trainer := c.trainer(3, 10, 0)
	for i, h := range c.hosts {
		c.sentAtLeast(lab, 100*(i+1))
		for _, program := range []string{"entry", "rollout", "control"} {
			if err := c.terminate(h, program); err != nil {
				t.Errorf("planned stop of %s on %s: %v", program, h.name, err)
			}
		}
		for _, program := range []string{"control", "entry", "rollout"} {
			c.start(h, program)
		}
		c.until("the replaced host is ready", c.allReady)
	}
	c.wait("callers end", lab.Done())
	c.wait("reviewers end", streams.Done())
	c.wait("the trainer ends", trainer.Done())
	v := c.judge(map[string]*standin.Caller{"lab": lab, "reviewer": streams}, map[string]*standin.Trainer{"drafts": trainer})
	c.nothingInterrupted(v, lab, streams)
}

// All of one zone fails at once: its processes are killed and its endpoints accept no
// connections. The other zones still answer at least 95% of the requests and complete every
// training step.
func TestZoneLoss_OtherZonesServe(t *testing.T) {
	c := startCluster(t)
	lab := c.caller(100, 1500)
	trainer := c.trainer(2, 20, time.Second)
	c.sentAtLeast(lab, 150)
	for _, h := range c.hosts {
		if h.zone != zones[0] {
			continue
		}
		for _, program := range []string{"control", "entry", "rollout"} {
			c.kill(h, program)
		}
	}
	// Plain endpoint 0 and engines 0 and 3 are the endpoints in zones[0].
	c.plainEndpoints[0].SetFaults(standin.Faults{Down: true})
	c.engines[0].SetFaults(standin.Faults{Down: true})
	c.engines[3].SetFaults(standin.Faults{Down: true})
	c.wait("callers end", lab.Done())
	c.wait("the trainer ends", trainer.Done())
	v := c.judge(map[string]*standin.Caller{"lab": lab}, map[string]*standin.Trainer{"drafts": trainer})
	if v.Answered < v.Requests*95/100 || v.StepsDone["drafts"] != 2 {
		t.Errorf("%d of %d requests answered, %d training steps completed", v.Answered, v.Requests, v.StepsDone["drafts"])
	}
}
