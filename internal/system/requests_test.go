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

// sentAtLeast waits until a caller has seen the end of n requests.
func (c *cluster) sentAtLeast(caller *standin.Caller, n int) {
	c.t.Helper()
	c.until("requests end", func() bool { return len(caller.Sent()) >= n })
}

func TestNothingRunsTwiceWhenEntryHostsAreKilled(t *testing.T) {
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

func TestNothingRunsTwiceWhenAClaimOwnerIsPaused(t *testing.T) {
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

func TestPlatformOutageRefusesTruthfullyAndHeals(t *testing.T) {
	c := startCluster(t)
	lab := c.caller(100, 800)
	streams := c.reviewer(5, 40)
	c.sentAtLeast(lab, 100)
	c.store.SetFaults(standin.Faults{Outage: true})
	c.until("calls that may be repeated go on", func() bool { return looksAnswered(lab) >= 300 })
	c.store.SetFaults(standin.Faults{LoseAnswers: 20, LoseKeyPrefix: "claims/"})
	c.wait("callers end", lab.Done())
	c.wait("reviewers end", streams.Done())
	v := c.judge(map[string]*standin.Caller{"lab": lab, "reviewer": streams}, nil)
	// Nothing is certain of a key in an outage, so its refusal may not say "not run".
	if v.Results[strconv.Itoa(int(resultcode.ClaimUnknown))] == 0 {
		t.Error("the outage refused no claim: it was not felt")
	}
	for _, s := range streams.Sent() {
		if !s.Answered {
			t.Errorf("stream %s was not answered during the outage: %v", s.Body, s.Results)
		}
	}
}

// looksAnswered counts the answered calls that may be repeated.
func looksAnswered(caller *standin.Caller) int {
	n := 0
	for _, s := range caller.Sent() {
		if s.Answered && !s.NonIdempotent {
			n++
		}
	}
	return n
}

func TestPlannedStopInterruptsNothing(t *testing.T) {
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

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	const bound = 3 * time.Second
	c := startCluster(t)
	lab := c.caller(100, 900)
	c.sentAtLeast(lab, 100)
	leaving := c.plains[0]
	if code := c.ctl("drain", "endpoint", leaving.Name()); code != 0 {
		t.Fatalf("drain ended with %d", code)
	}
	from := time.Now().Add(bound)
	c.wait("callers end", lab.Done())
	for _, r := range leaving.Runs() {
		if r.Start.After(from) {
			t.Fatalf("%s began %s after the bound", r.Body, r.Start.Sub(from))
		}
	}
	c.judge(map[string]*standin.Caller{"lab": lab}, nil)
}

func TestCrashingRequestTakesTwoEndpointsAtMost(t *testing.T) {
	c := startCluster(t)
	for _, p := range c.plains {
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
	for _, p := range c.plains {
		for _, r := range p.Runs() {
			if r.Body == "poison" {
				crashes++
			}
		}
	}
	if crashes < 1 || crashes > 2 {
		t.Errorf("the request ran on %d endpoints", crashes)
	}
	c.judge(map[string]*standin.Caller{"lab": lab}, nil)
}

func TestRacingOperatorsGetOneGenerationEach(t *testing.T) {
	c := startCluster(t)
	code, out := c.ctlOutput("--output", "json", "get")
	if code != 0 {
		t.Fatalf("get: %d %s", code, out)
	}
	const operators = 6
	codes := make([]int, operators)
	var all sync.WaitGroup
	for i := range operators {
		c.write("race/"+string(rune('a'+i))+"/10.ini", strings.Replace(c.read("config/10-all.ini"), "timeout = 2s", "timeout = "+string(rune('3'+i))+"s", 1))
	}
	for i := range operators {
		all.Go(func() { codes[i] = c.ctl("apply", "--base", "1", c.path("race/"+string(rune('a'+i)))) })
	}
	all.Wait()
	won := 0
	for _, code := range codes {
		switch resultcode.Code(code) {
		case resultcode.OK:
			won++
		case resultcode.ConfigurationRaced:
		default:
			t.Errorf("an operator got %s", resultcode.Code(code))
		}
	}
	if won != 1 {
		t.Errorf("%d operators won from the same base", won)
	}
}

func TestConfigurationStaysInForceThroughRestartsInAnOutage(t *testing.T) {
	c := startCluster(t)
	c.writeConfig("2")
	if code := c.ctl("apply", "--wait", c.path("config")); code != 0 {
		t.Fatalf("apply ended with %d", code)
	}
	c.store.SetFaults(standin.Faults{Outage: true})
	for _, h := range c.hosts[:2] {
		c.kill(h, "control")
		c.kill(h, "entry")
		c.start(h, "control")
		c.start(h, "entry")
	}
	c.until("restarted programs are ready in the outage", c.allReady)
	lab := standin.StartCaller(standin.CallerOptions{Name: "lab", Entries: c.entries()[:2], Service: "registry", Calls: []string{"look"}, Rate: 100, Count: 100, Sendings: 4})
	t.Cleanup(lab.Close)
	c.wait("callers end", lab.Done())
	v := c.judge(map[string]*standin.Caller{"lab": lab}, nil)
	if v.Answered != v.Requests {
		t.Errorf("%d of %d answered by restarted hosts in an outage", v.Answered, v.Requests)
	}
	c.until("every host has generation 2", func() bool {
		_, out := c.ctlOutput("status")
		return strings.Contains(out, "generation 2 in force")
	})
}
