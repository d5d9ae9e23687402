package system

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/platformapi"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/transport/ctl"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

// conditionTimeout is how long until polls a condition before the test fails. wait allows
// twice as long.
const conditionTimeout = 40 * time.Second

// buildBinaries builds the programs once and returns the folder that holds them.
var buildBinaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "oleander-bin")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/oleander-control", "../../cmd/oleander-entry", "../../cmd/oleander-rollout").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the programs: %w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := buildBinaries(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// host is one host of a cluster, with its running processes by program name.
type host struct {
	name, zone string
	dir        string
	// Listen addresses (host:port), in the order of their ports.
	control, controlAdmin, entry, entryMesh, entryAdmin, rollout, rolloutMesh, rolloutAdmin string
	processes                                                                               map[string]*exec.Cmd
}

// cluster is a small installation: real processes that use stand-ins as their platform
// and endpoints.
type cluster struct {
	t              *testing.T
	dir            string
	binDir         string
	store          *standin.ObjectStore
	hostList       *standin.HostList
	storeURL       string
	hostListURL    string
	hosts          []*host
	plainEndpoints []*standin.PlainService
	engines        []*standin.Engine
	scorer         *standin.Scorer
}

var zones = []string{"lj-a", "lj-b", "kr-a"}

// loopbackIP is a loopback address derived from the process id. Test processes that run
// at the same time use different addresses and so never take each other's ports.
var loopbackIP = func() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}()

// nextPort is the port to try next. The range is below the operating system's ephemeral
// ports, so that no outgoing connection takes a port between the check and its use.
var nextPort = firstPort + os.Getpid()%(lastPort-firstPort)

const (
	firstPort = 24000
	lastPort  = 32000
)

// freeAddresses returns n loopback addresses (host:port) that are free for both TCP and UDP.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for attempts := 0; len(out) < n; attempts++ {
		if attempts > lastPort-firstPort {
			t.Fatal("no port in the range is free for both TCP and UDP")
		}
		address := fmt.Sprintf("%s:%d", loopbackIP, nextPort)
		nextPort = firstPort + (nextPort+1-firstPort)%(lastPort-firstPort)
		if isFree(address) {
			out = append(out, address)
		}
	}
	return out
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	p, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = p.Close()
	return true
}

// startCluster starts four hosts in three zones, three plain endpoints of service
// "registry", four engines of deployment "drafting" and a scorer. It applies a
// configuration that also names a trainer, and returns once all programs are ready.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	bin, err := buildBinaries()
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, dir: t.TempDir(), binDir: bin}
	c.startPlatform()
	c.startEndpoints()
	c.setUpHosts(4)
	c.writeConfig("1")
	for _, h := range c.hosts {
		c.start(h, "control")
	}
	t.Cleanup(c.stop)
	c.until("control programs answer", func() bool { return c.ctl("status") == 0 })
	if code := c.ctl("apply", "--wait", c.path("config")); code != 0 {
		t.Fatalf("apply exited with code %d", code)
	}
	for _, h := range c.hosts {
		c.start(h, "entry")
		c.start(h, "rollout")
	}
	c.until("programs are ready", c.allReady)
	return c
}

func (c *cluster) path(name string) string { return filepath.Join(c.dir, name) }

func (c *cluster) startPlatform() {
	c.store = standin.NewObjectStore(standin.ObjectStoreOptions{Latency: 3 * time.Millisecond, ReadsPerSecond: 2000, WritesPerSecond: 400})
	c.hostList = standin.NewHostList(100 * time.Millisecond)
	store := httptest.NewServer(c.store.Handler())
	list := httptest.NewServer(c.hostList.Handler())
	// store.Close would wait for the open watches to end.
	c.t.Cleanup(store.CloseClientConnections)
	c.t.Cleanup(list.Close)
	c.storeURL, c.hostListURL = store.URL, list.URL
}

func (c *cluster) startEndpoints() {
	for i := range 3 {
		p, err := standin.NewPlainService("127.0.0.1:0", standin.PlainServiceOptions{Name: fmt.Sprintf("registry-app-%d", i+1), ServiceTime: 3 * time.Millisecond})
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(p.Close)
		c.plainEndpoints = append(c.plainEndpoints, p)
	}
	for i := range 4 {
		e, err := standin.NewEngine("127.0.0.1:0", standin.EngineOptions{
			Name: fmt.Sprintf("drafting-%d", i+1), Slots: 16, TokenInterval: 4 * time.Millisecond, MedianTokens: 40, Fencing: i%2 == 0,
		})
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(e.Close)
		c.engines = append(c.engines, e)
	}
	s, err := standin.NewScorer("127.0.0.1:0", "scorer")
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(s.Close)
	c.scorer = s
}

func (c *cluster) setUpHosts(n int) {
	names := []string{"operator"}
	for i := range n {
		a := freeAddresses(c.t, 8)
		h := &host{
			name: fmt.Sprintf("host-%d", i+1), zone: zones[i%len(zones)], processes: map[string]*exec.Cmd{},
			control: a[0], controlAdmin: a[1], entry: a[2], entryMesh: a[3], entryAdmin: a[4], rollout: a[5], rolloutMesh: a[6], rolloutAdmin: a[7],
		}
		h.dir = c.path(h.name)
		c.hosts = append(c.hosts, h)
		names = append(names, h.name)
	}
	if err := tlsconf.WriteDevelopmentKeys(c.path("keys"), names...); err != nil {
		c.t.Fatal(err)
	}
	for _, h := range c.hosts {
		c.writeFile(h.name+"/host.ini", c.hostSettings(h))
	}
}

// hostSettings returns the text of h's host.ini. It also sets the platform's host list to
// all hosts of the cluster.
func (c *cluster) hostSettings(h *host) string {
	var seeds []string
	for _, other := range c.hosts {
		seeds = append(seeds, other.control)
	}
	var hostList []platformapi.ListedHost
	for _, other := range c.hosts {
		hostList = append(hostList, platformapi.ListedHost{Host: hostID(other.name), Zone: zoneID(other.zone), Control: other.control})
	}
	c.hostList.Set(hostList)
	keys := c.path("keys") + "/"
	return fmt.Sprintf("[host]\nid = %s\nzone = %s\ndata_dir = %s\n[tls]\nauthority = %sca.pem\ncertificate = %s%s.pem\nkey = %s%s.key\n",
		h.name, h.zone, c.path(h.name+"/data"), keys, keys, h.name, keys, h.name) +
		fmt.Sprintf("[platform]\nobject_api = %s\nhost_list = %s\ntimeout = 1s\n", c.storeURL, c.hostListURL) +
		fmt.Sprintf("[control]\nlisten = %s\nadmin = %s\nseeds = %s\nheartbeat = 200ms\n", h.control, h.controlAdmin, strings.Join(seeds, ", ")) +
		fmt.Sprintf("[entry]\nlisten = %s\nmesh = %s\nadmin = %s\n", h.entry, h.entryMesh, h.entryAdmin) +
		fmt.Sprintf("[rollout]\nlisten = %s\nmesh = %s\nadmin = %s\n", h.rollout, h.rolloutMesh, h.rolloutAdmin)
}

func (c *cluster) writeFile(name, text string) {
	path := c.path(name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		c.t.Fatal(err)
	}
}

// writeConfig writes the shared configuration. lifetimeSeconds is how long callers may keep
// the addresses that an entry host returned.
func (c *cluster) writeConfig(lifetimeSeconds string) {
	var b strings.Builder
	fmt.Fprintf(&b, "[system]\naddress_lifetime = %ss\n", lifetimeSeconds)
	for _, z := range zones {
		fmt.Fprintf(&b, "[zone.%s]\nregion = si-osrednja\n", z)
	}
	for _, h := range c.hosts {
		fmt.Fprintf(&b, "[host.%s]\nzone = %s\ncontrol = %s\nentry = %s\nentry_mesh = %s\nrollout = %s\n", h.name, h.zone, h.control, h.entry, h.entryMesh, h.rollout)
	}
	b.WriteString("[service.registry]\ntimeout = 2s\nnon_idempotent = issue\n")
	for i, p := range c.plainEndpoints {
		fmt.Fprintf(&b, "[endpoint.%s]\nkind = plain\nservice = registry\nzone = %s\naddress = %s\n", p.Name(), zones[i%len(zones)], p.Address())
	}
	b.WriteString("[deployment.drafting]\nmodel = drafts\n")
	for i, e := range c.engines {
		fmt.Fprintf(&b, "[endpoint.%s]\nkind = engine\ndeployment = drafting\nzone = %s\naddress = %s\nfencing = %t\n", e.Name(), zones[i%len(zones)], e.Address(), i%2 == 0)
	}
	b.WriteString("[caller.lab]\npriority = live\n[caller.reviewer]\npriority = live\n")
	fmt.Fprintf(&b, "[scorer.scorer]\naddress = %s\n", c.scorer.Address())
	b.WriteString("[trainer.drafts]\ndeployment = drafting\nscorer = scorer\ngroup_size = 4\nstaleness_bound = 1\nfreshness = 1\n")
	c.writeFile("config/10-all.ini", b.String())
}

// start starts a program of a host and appends its output to HOST.PROGRAM.log.
func (c *cluster) start(h *host, program string) {
	c.t.Helper()
	cmd := exec.Command(filepath.Join(c.binDir, "oleander-"+program), h.dir)
	log, err := os.OpenFile(c.path(h.name+"."+program+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		c.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	_ = log.Close()
	h.processes[program] = cmd
}

// kill ends a program with SIGKILL; it does nothing if the program does not run.
func (c *cluster) kill(h *host, program string) {
	cmd := h.processes[program]
	if cmd == nil {
		return
	}
	delete(h.processes, program)
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

func (c *cluster) signal(h *host, program string, s syscall.Signal) {
	c.t.Helper()
	if err := h.processes[program].Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

// terminate sends SIGTERM to a program and waits until it exits. After conditionTimeout it
// sends SIGQUIT, which writes the goroutines to the program's log, and returns an error.
func (c *cluster) terminate(h *host, program string) error {
	cmd := h.processes[program]
	delete(h.processes, program)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	select {
	case err := <-exited:
		return err
	case <-time.After(conditionTimeout):
		_ = cmd.Process.Signal(syscall.SIGQUIT)
		<-exited
		return errors.New("program did not exit after SIGTERM; its goroutines are in its log")
	}
}

// stop kills all running programs and, if the test failed, prints the ends of their logs.
func (c *cluster) stop() {
	for _, h := range c.hosts {
		for p := range h.processes {
			c.kill(h, p)
		}
	}
	if c.t.Failed() {
		c.printLogs()
	}
}

const maxPrintedLogBytes = 6000

func (c *cluster) printLogs() {
	logs, _ := filepath.Glob(c.path("*.log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		if len(text) > maxPrintedLogBytes {
			text = text[len(text)-maxPrintedLogBytes:]
		}
		c.t.Logf("%s:\n%s", filepath.Base(path), text)
	}
}

// until polls a condition, and fails the test if it is not met within conditionTimeout.
func (c *cluster) until(condition string, met func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !met() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting until %s", condition)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cluster) allReady() bool {
	for _, h := range c.hosts {
		for program, admin := range map[string]string{"control": h.controlAdmin, "entry": h.entryAdmin, "rollout": h.rolloutAdmin} {
			if h.processes[program] != nil && !answersOK("http://"+admin+"/readyz") {
				return false
			}
		}
	}
	return true
}

func answersOK(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ctl runs oleanderctl with the addresses of all running control programs and returns its
// exit code.
func (c *cluster) ctl(args ...string) int {
	code, _ := c.ctlOutput(args...)
	return code
}

// ctlOutput is like ctl and also returns the output.
func (c *cluster) ctlOutput(args ...string) (int, string) {
	keys := c.path("keys") + "/"
	fullArgs := []string{"--authority", keys + "ca.pem", "--certificate", keys + "operator.pem", "--key", keys + "operator.key"}
	for _, h := range c.hosts {
		if h.processes["control"] != nil {
			fullArgs = append(fullArgs, "--control", h.control)
		}
	}
	var out bytes.Buffer
	code := ctl.Main(append(fullArgs, args...), &out, &out)
	return code, out.String()
}

func (c *cluster) entryAddresses() []string {
	var out []string
	for _, h := range c.hosts {
		out = append(out, h.entry)
	}
	return out
}

func (c *cluster) rolloutAddresses() []string {
	var out []string
	for _, h := range c.hosts {
		out = append(out, h.rollout)
	}
	return out
}

// caller starts a caller of service registry; every second request is non-idempotent.
func (c *cluster) caller(rate float64, count int) *standin.Caller {
	caller := standin.StartCaller(standin.CallerOptions{
		Name: "lab", Entries: c.entryAddresses(), Service: "registry", Calls: []string{"look", "issue"}, NonIdempotent: []string{"issue"},
		Rate: rate, Count: count, MaxAttempts: 8,
	})
	c.t.Cleanup(caller.Close)
	return caller
}

// reviewer starts a caller that requests token streams.
func (c *cluster) reviewer(rate float64, count int) *standin.Caller {
	caller := standin.StartCaller(standin.CallerOptions{
		Name: "reviewer", Entries: c.entryAddresses(), Deployment: "drafting", Rate: rate, Count: count, MaxAttempts: 8, Deadline: 10 * time.Second,
	})
	c.t.Cleanup(caller.Close)
	return caller
}

// trainer starts a trainer that publishes a weight version every versionInterval, or after
// each step if versionInterval is 0.
func (c *cluster) trainer(steps, groups int, versionInterval time.Duration) *standin.Trainer {
	t := standin.StartTrainer(standin.TrainerOptions{
		Name: "drafts", Rollouts: c.rolloutAddresses(), Steps: steps, Groups: groups, GroupSize: 4, MaxTokens: 100, BatchMax: 16,
		TrainTime: 50 * time.Millisecond, VersionInterval: versionInterval,
	})
	c.t.Cleanup(t.Close)
	return t
}

// wait waits until done is closed, and fails the test after twice conditionTimeout.
func (c *cluster) wait(condition string, done <-chan struct{}) {
	c.t.Helper()
	select {
	case <-done:
	case <-time.After(2 * conditionTimeout):
		c.t.Fatalf("timed out waiting until %s", condition)
	}
}

// judge checks the logs of the stand-ins and fails the test for every broken rule.
func (c *cluster) judge(callers map[string]*standin.Caller, trainers map[string]*standin.Trainer) standin.Verdict {
	c.t.Helper()
	e := standin.Evidence{Callers: map[string][]standin.SentRequest{}, Trainers: map[string]standin.TrainerReport{}, StalenessBounds: map[string]int{"drafts": 1}}
	for _, p := range c.plainEndpoints {
		e.Runs = append(e.Runs, p.Runs()...)
	}
	for _, g := range c.engines {
		e.Runs = append(e.Runs, g.Runs()...)
	}
	for name, caller := range callers {
		e.Callers[name] = caller.Sent()
	}
	for name, trainer := range trainers {
		e.Trainers[name] = trainer.Report()
	}
	v := standin.Judge(e)
	for _, rule := range v.BrokenRules {
		c.t.Error(rule)
	}
	c.t.Log("\n" + v.Summary())
	return v
}

func (c *cluster) readFile(name string) string {
	c.t.Helper()
	text, err := os.ReadFile(c.path(name))
	if err != nil {
		c.t.Fatal(err)
	}
	return string(text)
}

// nothingInterrupted checks that every request was answered without a broken connection
// and without a refusal of unknown outcome.
func (c *cluster) nothingInterrupted(v standin.Verdict, callers ...*standin.Caller) {
	c.t.Helper()
	if v.Answered == v.Requests && v.BrokenConnections == 0 && v.Unknown == 0 {
		return
	}
	c.t.Errorf("%d of %d requests answered, %d connections broken, %d outcomes unknown", v.Answered, v.Requests, v.BrokenConnections, v.Unknown)
	for _, caller := range callers {
		for _, s := range caller.Sent() {
			if !s.Answered || s.BrokenConnections > 0 || s.Unknown > 0 {
				c.t.Logf("%s %s: %v, %.0f ms, last refusal %s", s.Call, s.Body, s.Results, s.Millis, s.Refusal)
			}
		}
	}
}
