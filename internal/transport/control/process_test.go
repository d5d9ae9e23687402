package control_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/platformapi"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
	"oleanderfall.example/oleanderfall/internal/transport/viewstream"
)

const (
	testHosts   = 6
	testZones   = 3
	waitTimeout = 90 * time.Second
)

// installation runs real control processes against stand-ins of the platform and the
// endpoints.
type installation struct {
	t        *testing.T
	dir      string
	binary   string
	store    *standin.ObjectStore
	hostList *standin.HostList
	engines  []*standin.Engine
	mesh     *quicmesh.Mesh
	// addresses and clients have one entry per host: the UDP address of its control
	// program and a viewstream client connected to it.
	addresses []string
	hosts     []*exec.Cmd
	clients   []*viewstream.Client
}

var (
	programDir  string
	programOnce sync.Once
)

// buildProgram builds the control program once and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(programDir, "oleander-control")
	programOnce.Do(func() {
		out, err := exec.Command("go", "build", "-o", path, "oleanderfall.example/oleanderfall/cmd/oleander-control").CombinedOutput()
		if err != nil {
			t.Errorf("build: %v\n%s", err, out)
		}
	})
	return path
}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "oleander-control-test-")
	if err != nil {
		panic(err)
	}
	programDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

var installations atomic.Int64

// loopback returns a loopback address that differs for each installation of this test
// process and, most likely, from those of other processes, so that a port found free
// stays free.
func loopback() string {
	const low, span = 1, 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", low+pid/span%span, low+pid%span, low+int(installations.Add(1))%span)
}

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

func zoneName(i int) string { return fmt.Sprintf("z%d", i%testZones) }

func newInstallation(t *testing.T) *installation {
	t.Helper()
	t.Parallel()
	in := &installation{t: t, dir: t.TempDir(), binary: buildProgram(t), store: standin.NewObjectStore(standin.ObjectStoreOptions{}), hostList: standin.NewHostList(0)}
	in.must(tlsconf.WriteDevelopmentKeys(in.dir, "host"))
	keys, err := tlsconf.Load(tlsconf.Files{Authority: in.path("ca.pem"), Certificate: in.path("host.pem"), Key: in.path("host.key")})
	in.must(err)
	ip := loopback()
	open := func() *quicmesh.Mesh {
		m, err := quicmesh.New(quicmesh.Options{Listen: ip + ":0", Server: keys.Server(), Client: keys.Client(), Log: slog.New(slog.DiscardHandler)})
		in.must(err)
		return m
	}
	// Finds free UDP ports for the control programs. All sockets stay open until the last
	// port is found, so that the ports differ.
	var reserved []*quicmesh.Mesh
	for range testHosts {
		m := open()
		reserved = append(reserved, m)
		in.addresses = append(in.addresses, m.Address())
	}
	for _, m := range reserved {
		m.Close()
	}
	in.mesh = open()
	in.must(in.mesh.Start())
	t.Cleanup(in.mesh.Close)
	in.startPlatform()
	for i := range testHosts {
		in.hosts = append(in.hosts, in.startHost(i))
	}
	t.Cleanup(in.showLogs)
	t.Cleanup(in.stopHosts)
	in.startClients()
	in.applyConfig()
	return in
}

func (in *installation) path(name string) string { return filepath.Join(in.dir, name) }

func (in *installation) must(err error) {
	in.t.Helper()
	if err != nil {
		in.t.Fatal(err)
	}
}

func (in *installation) startPlatform() {
	store := httptest.NewServer(in.store.Handler())
	list := httptest.NewServer(in.hostList.Handler())
	in.t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
		list.Close()
	})
	for i := range testHosts {
		e, err := standin.NewEngine("127.0.0.1:0", standin.EngineOptions{Name: fmt.Sprintf("engine-%d", i)})
		in.must(err)
		in.t.Cleanup(e.Close)
		in.engines = append(in.engines, e)
	}
	for i := range testHosts {
		dir := in.path(hostName(i))
		in.must(os.MkdirAll(dir, 0o700))
		text := fmt.Sprintf("[host]\nid = %s\nzone = %s\nregion = r\n[tls]\nauthority = %s\ncertificate = %s\nkey = %s\n[platform]\nobject_api = %s\nhost_list = %s\n[control]\nlisten = %s\nadmin = 127.0.0.1:0\nseeds = %s\nheartbeat = 200ms\n",
			hostName(i), zoneName(i), in.path("ca.pem"), in.path("host.pem"), in.path("host.key"), store.URL, list.URL, in.addresses[i], in.addresses[0])
		in.must(os.WriteFile(filepath.Join(dir, "host.ini"), []byte(text), 0o600))
	}
}

func (in *installation) startHost(i int) *exec.Cmd {
	cmd := exec.Command(in.binary, in.path(hostName(i)))
	log, err := os.OpenFile(in.path(hostName(i)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	in.must(err)
	defer func() { _ = log.Close() }()
	cmd.Stderr = log
	in.must(cmd.Start())
	return cmd
}

func (in *installation) kill(i int) {
	_ = in.hosts[i].Process.Kill()
	_ = in.hosts[i].Wait()
}

// showLogs prints the logs of all hosts if the test failed.
func (in *installation) showLogs() {
	if !in.t.Failed() {
		return
	}
	for i := range in.hosts {
		log, _ := os.ReadFile(in.path(hostName(i) + ".log"))
		in.t.Logf("%s:\n%s", hostName(i), log)
	}
}

func (in *installation) stopHosts() {
	for i := range in.hosts {
		in.kill(i)
	}
}

func (in *installation) startClients() {
	ctx, cancel := context.WithCancel(context.Background())
	in.t.Cleanup(cancel)
	for _, address := range in.addresses {
		c := viewstream.NewClient(in.mesh, address, slog.New(slog.DiscardHandler))
		go c.Run(ctx)
		in.clients = append(in.clients, c)
	}
}

func (in *installation) applyConfig() {
	var b strings.Builder
	b.WriteString("[deployment.d]\nmodel = m\n")
	for z := range testZones {
		fmt.Fprintf(&b, "[zone.%s]\nregion = r\n", zoneName(z))
	}
	for i, e := range in.engines {
		fmt.Fprintf(&b, "[host.%s]\nzone = %s\ncontrol = %s\n", hostName(i), zoneName(i), in.addresses[i])
		fmt.Fprintf(&b, "[endpoint.%s]\nkind = engine\ndeployment = d\nzone = %s\naddress = %s\n", e.Name(), zoneName(i), e.Address())
	}
	config, err := settings.ParseConfig([]settings.File{{Name: "test.ini", Data: []byte(b.String())}})
	in.must(err)
	encoded, err := settings.EncodeConfig(config)
	in.must(err)
	in.eventually("apply", func() bool {
		var reply wire.ApplyReply
		return in.call(0, wire.MethodApply, wire.ApplyRequest{Config: encoded, Operator: "test", RequestID: "1"}, &reply) == nil
	})
	in.eventuallyAll("generation 1", func(v *model.FleetView) bool { return v.Generation == 1 })
}

func (in *installation) call(host int, method wire.Method, request, reply any) error {
	ctx, cancel := context.WithTimeout(in.t.Context(), 5*time.Second)
	defer cancel()
	return in.mesh.Call(ctx, in.addresses[host], method, request, reply)
}

func (in *installation) eventually(what string, holds func() bool) {
	in.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			in.t.Fatalf("condition not reached: %s", what)
		}
	}
}

// eventuallyAll waits until the condition holds in the view of each running host.
func (in *installation) eventuallyAll(what string, holds func(*model.FleetView) bool) {
	in.t.Helper()
	for i, c := range in.clients {
		if in.hosts[i].ProcessState != nil {
			continue
		}
		in.eventually(fmt.Sprintf("%s at %s", what, hostName(i)), func() bool { return c.View() != nil && holds(c.View()) })
	}
}

// hostsIn returns a condition: exactly the wanted hosts are in the state.
func hostsIn(state model.HostState, wanted ...int) func(*model.FleetView) bool {
	return func(v *model.FleetView) bool {
		got := map[model.HostID]bool{}
		for _, m := range v.Members {
			if m.State == state {
				got[m.Host] = true
			}
		}
		for _, i := range wanted {
			if !got[model.HostID(hostName(i))] {
				return false
			}
		}
		return len(got) == len(wanted)
	}
}

func findDrain(v *model.FleetView, endpoint string) (model.DrainEvidence, bool) {
	for _, d := range v.Drains {
		if d.Endpoint == model.EndpointID(endpoint) {
			return d, true
		}
	}
	return model.DrainEvidence{}, false
}

func isDrained(endpoint string) func(*model.FleetView) bool {
	return func(v *model.FleetView) bool { _, ok := findDrain(v, endpoint); return ok }
}

func not(f func(*model.FleetView) bool) func(*model.FleetView) bool {
	return func(v *model.FleetView) bool { return !f(v) }
}

// An endpoint that reports itself as leaving must be drained on every host. After a crash its
// next incarnation must start without the drain, or it would never get work again.
func TestEndpointDrain_EndsWithNextIncarnation(t *testing.T) {
	in := newInstallation(t)
	in.eventuallyAll("loads", func(v *model.FleetView) bool { return len(v.Loads) == testHosts })
	in.eventually("owner of the weights shard and all hosts in the status", func() bool {
		var s wire.StatusReply
		return in.call(1, wire.MethodStatus, wire.StatusRequest{}, &s) == nil && len(s.Shards) == 1 && s.Shards[0].Owner != "" && len(s.Hosts) == testHosts
	})
	in.engines[2].SetFaults(standin.Faults{Draining: true})
	in.eventuallyAll("drain", isDrained("engine-2"))
	in.engines[2].SetFaults(standin.Faults{})
	in.engines[2].SetFaults(standin.Faults{Crash: true})
	in.eventuallyAll("no drain after the crash", not(isDrained("engine-2")))
}

// Entries marked as draining in the platform's host list must put a drain of their endpoint or
// host in force on every host, or work would still be sent to what the platform is about to
// remove.
func TestHostList_DrainsEndpointsAndHosts(t *testing.T) {
	in := newInstallation(t)
	in.hostList.Set([]platformapi.ListedHost{{Endpoint: "engine-1", Draining: true}, {Host: "host-4", Control: in.addresses[4], Draining: true}, {Host: "host-0", Control: in.addresses[0]}})
	in.eventuallyAll("drain", func(v *model.FleetView) bool {
		d, ok := findDrain(v, "engine-1")
		return ok && d.Source == model.DrainFromHostList && hostsIn(model.HostDraining, 4)(v)
	})
}

// An operator drain is stored in the object API, so that it is in force again after all
// control programs were killed and started, until an operator cancels it. A drain of an
// unknown endpoint is refused.
func TestOperatorDrain_SurvivesFullRestart(t *testing.T) {
	in := newInstallation(t)
	var reply wire.DrainReply
	in.must(in.call(3, wire.MethodDrain, wire.DrainRequest{Endpoint: "engine-5", Operator: "test"}, &reply))
	in.eventuallyAll("drain", isDrained("engine-5"))
	in.stopHosts()
	for i := range in.hosts {
		in.hosts[i] = in.startHost(i)
	}
	in.eventually("status after the restart", func() bool {
		var s wire.StatusReply
		return in.call(1, wire.MethodStatus, wire.StatusRequest{}, &s) == nil && isDrained("engine-5")(&s.View)
	})
	in.eventuallyAll("drain after the restart", isDrained("engine-5"))
	// The first call may fail with a reset of the connection to the killed process.
	in.eventually("cancel", func() bool {
		return in.call(2, wire.MethodDrain, wire.DrainRequest{Endpoint: "engine-5", Cancel: true, Operator: "test"}, &reply) == nil
	})
	in.eventuallyAll("cancelled drain", not(isDrained("engine-5")))
	if err := in.call(2, wire.MethodDrain, wire.DrainRequest{Endpoint: "nobody", Operator: "test"}, &reply); err == nil {
		t.Fatal("a drain of an unknown endpoint was accepted")
	}
}

// The hosts of a lost zone must become dead in every view, and the remaining hosts must take
// over the polling of all endpoints. The zone's hosts must be alive again after a restart.
func TestZoneLoss_HostsDeadThenAlive(t *testing.T) {
	in := newInstallation(t)
	in.eventuallyAll("join", hostsIn(model.HostAlive, 0, 1, 2, 3, 4, 5))
	in.kill(1)
	in.kill(4)
	in.eventuallyAll("zone dead", hostsIn(model.HostDead, 1, 4))
	in.eventuallyAll("others alive", hostsIn(model.HostAlive, 0, 2, 3, 5))
	in.eventuallyAll("every endpoint observed", func(v *model.FleetView) bool { return len(v.Loads) == testHosts })
	in.hosts[1], in.hosts[4] = in.startHost(1), in.startHost(4)
	in.eventuallyAll("zone back", hostsIn(model.HostAlive, 0, 1, 2, 3, 4, 5))
}

// A control program stopped by SIGSTOP must become dead in the other hosts' views. After
// SIGCONT it must become alive again although its incarnation is unchanged, else a paused
// host would stay dead until a restart.
func TestPausedHost_DeadThenAlive(t *testing.T) {
	in := newInstallation(t)
	in.eventuallyAll("join", hostsIn(model.HostAlive, 0, 1, 2, 3, 4, 5))
	in.must(in.hosts[3].Process.Signal(syscall.SIGSTOP))
	for i, c := range in.clients {
		if i != 3 {
			in.eventually("paused host dead", func() bool { return hostsIn(model.HostDead, 3)(c.View()) })
		}
	}
	in.must(in.hosts[3].Process.Signal(syscall.SIGCONT))
	in.eventuallyAll("paused host back", hostsIn(model.HostAlive, 0, 1, 2, 3, 4, 5))
}

// A viewstream client keeps its last view while the control program is down. After a restart
// during an outage of the object API it accepts the views of the new incarnation, whose
// configuration comes from peers.
func TestViewClient_KeepsViewWhileControlDown(t *testing.T) {
	in := newInstallation(t)
	in.kill(2)
	before := in.clients[2].View()
	// By the time the other hosts list it as dead, the client has failed at least once.
	in.eventuallyAll("death", hostsIn(model.HostDead, 2))
	if v := in.clients[2].View(); v.Config == nil || v.Generation != before.Generation {
		t.Fatalf("view without control: %+v", v)
	}
	in.store.SetFaults(standin.Faults{Outage: true})
	in.hosts[2] = in.startHost(2)
	in.eventually("view of the next incarnation in an outage", func() bool {
		v := in.clients[2].View()
		return v.Generation == 1 && v.OutageFor > 0 && hostsIn(model.HostAlive, 0, 1, 2, 3, 4, 5)(v)
	})
}

// A planned stop (SIGTERM) must announce the departure and exit without an error. If the
// announcement were not sent before the mesh closes, the other hosts would suspect the host
// first.
func TestPlannedStop_AnnouncesDeparture(t *testing.T) {
	in := newInstallation(t)
	in.eventuallyAll("join", hostsIn(model.HostAlive, 0, 1, 2, 3, 4, 5))
	in.must(in.hosts[5].Process.Signal(syscall.SIGTERM))
	if err := in.hosts[5].Wait(); err != nil {
		t.Fatalf("planned stop: %v", err)
	}
	in.eventuallyAll("gone", hostsIn(model.HostDead, 5))
}
