package system

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

func hostID(s string) model.HostID { return model.HostID(s) }
func zoneID(s string) model.ZoneID { return model.ZoneID(s) }

// sentAtLeast waits until n requests of a caller have ended.
func (c *cluster) sentAtLeast(caller *standin.Caller, n int) {
	c.t.Helper()
	c.until("enough requests of the caller have ended", func() bool { return len(caller.Sent()) >= n })
}

// Entry programs are killed and started again while requests are in flight. The callers
// resend, and no non-idempotent request runs twice.
func TestNoDuplicateRuns_EntryKilled(t *testing.T) {
	c := startCluster(t)
	lab := c.caller(100, 800)
	for i, h := range c.hosts[:3] {
		c.sentAtLeast(lab, 150*(i+1))
		c.kill(h, "entry")
		c.sentAtLeast(lab, 150*(i+1)+50)
		c.start(h, "entry")
	}
	c.wait("callers end", lab.Done())
	v := c.judge(map[string]*standin.Caller{"lab": lab}, nil)
	if v.Answered < v.Requests*9/10 {
		t.Errorf("%d of %d requests answered", v.Answered, v.Requests)
	}
}

// A host that may own claim shards is paused with SIGSTOP, so that other hosts take over its
// shards, and then continues. No non-idempotent request runs twice.
func TestNoDuplicateRuns_ClaimOwnerPaused(t *testing.T) {
	c := startCluster(t)
	lab := c.caller(100, 600)
	c.sentAtLeast(lab, 100)
	c.signal(c.hosts[0], "entry", syscall.SIGSTOP)
	c.signal(c.hosts[0], "control", syscall.SIGSTOP)
	c.sentAtLeast(lab, 300)
	c.signal(c.hosts[0], "entry", syscall.SIGCONT)
	c.signal(c.hosts[0], "control", syscall.SIGCONT)
	c.wait("callers end", lab.Done())
	c.judge(map[string]*standin.Caller{"lab": lab}, nil)
}

// During an outage of the object API idempotent calls and streams are still answered. A
// non-idempotent call is refused with claim_unknown. After the outage, 20 writes to the
// claims take effect but lose their answers.
func TestObjectAPIOutage_ClaimUnknown(t *testing.T) {
	c := startCluster(t)
	lab := c.caller(100, 800)
	streams := c.reviewer(5, 40)
	c.sentAtLeast(lab, 100)
	c.store.SetFaults(standin.Faults{Outage: true})
	c.until("idempotent calls are answered during the outage", func() bool { return answeredIdempotent(lab) >= 300 })
	c.store.SetFaults(standin.Faults{LoseAnswers: 20, LoseKeyPrefix: "claims/"})
	c.wait("callers end", lab.Done())
	c.wait("reviewers end", streams.Done())
	v := c.judge(map[string]*standin.Caller{"lab": lab, "reviewer": streams}, nil)
	// Whether a key was used before cannot be determined during the outage, so the refusal
	// must not say "not run".
	if v.Results[strconv.Itoa(int(resultcode.ClaimUnknown))] == 0 {
		t.Error("no request got claim_unknown: the outage affected no claim")
	}
	for _, s := range streams.Sent() {
		if !s.Answered {
			t.Errorf("stream %s was not answered during the outage: %v", s.Body, s.Results)
		}
	}
}

// answeredIdempotent counts the answered idempotent calls.
func answeredIdempotent(caller *standin.Caller) int {
	n := 0
	for _, s := range caller.Sent() {
		if s.Answered && !s.NonIdempotent {
			n++
		}
	}
	return n
}

// Two entry programs stop on SIGTERM. They finish the requests in flight, and the callers
// move to the other hosts without a broken connection or an unknown outcome.
func TestPlannedStop_NoInterruption(t *testing.T) {
	c := startCluster(t)
	lab := c.caller(100, 800)
	streams := c.reviewer(10, 60)
	c.sentAtLeast(lab, 100)
	for _, h := range c.hosts[:2] {
		if err := c.terminate(h, "entry"); err != nil {
			t.Errorf("planned stop of %s: %v", h.name, err)
		}
	}
	c.wait("callers end", lab.Done())
	c.wait("reviewers end", streams.Done())
	v := c.judge(map[string]*standin.Caller{"lab": lab, "reviewer": streams}, nil)
	c.nothingInterrupted(v, lab, streams)
}

// A drained endpoint starts no request later than bound after the drain command.
func TestEndpointDrain_NoNewRequests(t *testing.T) {
	const bound = 3 * time.Second
	c := startCluster(t)
	lab := c.caller(100, 900)
	c.sentAtLeast(lab, 100)
	drained := c.plainEndpoints[0]
	if code := c.ctl("drain", "endpoint", drained.Name()); code != 0 {
		t.Fatalf("drain exited with code %d", code)
	}
	cutoff := time.Now().Add(bound)
	c.wait("callers end", lab.Done())
	for _, r := range drained.Runs() {
		if r.Start.After(cutoff) {
			t.Fatalf("drained endpoint started request %s, %s after the bound", r.Body, r.Start.Sub(cutoff))
		}
	}
	c.judge(map[string]*standin.Caller{"lab": lab}, nil)
}

// A request that crashes its endpoint is quarantined. All entry hosts together run it on at
// most two endpoints.
func TestCrashingRequest_AtMostTwoEndpoints(t *testing.T) {
	c := startCluster(t)
	for _, p := range c.plainEndpoints {
		p.SetFaults(standin.Faults{CrashOnKey: "poison"})
	}
	lab := c.caller(60, 400)
	c.sentAtLeast(lab, 50)
	for i := range 12 {
		req, err := http.NewRequest(http.MethodPost, "http://"+c.hosts[i%len(c.hosts)].entry+"/v1/services/registry/look", strings.NewReader("poison"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Oleander-Caller", "lab")
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.wait("callers end", lab.Done())
	crashes := 0
	for _, p := range c.plainEndpoints {
		for _, r := range p.Runs() {
			if r.Body == "poison" {
				crashes++
			}
		}
	}
	if crashes < 1 || crashes > 2 {
		t.Errorf("the crashing request was started %d times, want 1 or 2", crashes)
	}
	c.judge(map[string]*standin.Caller{"lab": lab}, nil)
}

// Several operators apply changes to the same generation at the same time. One change is
// accepted; the others are refused with configuration_raced.
func TestConcurrentApply_OneAccepted(t *testing.T) {
	c := startCluster(t)
	code, out := c.ctlOutput("--output", "json", "get")
	if code != 0 {
		t.Fatalf("get exited with code %d: %s", code, out)
	}
	const operators = 6
	codes := make([]int, operators)
	var wg sync.WaitGroup
	for i := range operators {
		c.writeFile("race/"+string(rune('a'+i))+"/10.ini", strings.Replace(c.readFile("config/10-all.ini"), "timeout = 2s", "timeout = "+string(rune('3'+i))+"s", 1))
	}
	for i := range operators {
		wg.Go(func() { codes[i] = c.ctl("apply", "--base", "1", c.path("race/"+string(rune('a'+i)))) })
	}
	wg.Wait()
	accepted := 0
	for _, code := range codes {
		switch resultcode.Code(code) {
		case resultcode.OK:
			accepted++
		case resultcode.ConfigurationRaced:
		default:
			t.Errorf("apply exited with unexpected result code %s", resultcode.Code(code))
		}
	}
	if accepted != 1 {
		t.Errorf("%d of the changes to the same generation were accepted, want 1", accepted)
	}
}

// Control and entry programs that start during an outage of the object API serve with the
// generation that was in force before.
func TestConfiguration_RestartDuringOutage(t *testing.T) {
	c := startCluster(t)
	c.writeConfig("2")
	if code := c.ctl("apply", "--wait", c.path("config")); code != 0 {
		t.Fatalf("apply exited with code %d", code)
	}
	c.store.SetFaults(standin.Faults{Outage: true})
	for _, h := range c.hosts[:2] {
		c.kill(h, "control")
		c.kill(h, "entry")
		c.start(h, "control")
		c.start(h, "entry")
	}
	c.until("restarted programs are ready during the outage", c.allReady)
	lab := standin.StartCaller(standin.CallerOptions{Name: "lab", Entries: c.entryAddresses()[:2], Service: "registry", Calls: []string{"look"}, Rate: 100, Count: 100, MaxAttempts: 4})
	t.Cleanup(lab.Close)
	c.wait("callers end", lab.Done())
	v := c.judge(map[string]*standin.Caller{"lab": lab}, nil)
	if v.Answered != v.Requests {
		t.Errorf("%d of %d requests answered by restarted hosts during the outage", v.Answered, v.Requests)
	}
	c.until("status shows generation 2 in force", func() bool {
		_, out := c.ctlOutput("status")
		return strings.Contains(out, "generation 2 in force")
	})
}
