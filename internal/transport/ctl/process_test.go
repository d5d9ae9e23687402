package ctl

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/confgen"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/confstore"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

// fleet is a set of oleander-control processes that share one in-process object API.
type fleet struct {
	t                testing.TB
	size             int
	dir              string
	binary           string
	store            *standin.ObjectStore
	controlAddresses []string
	processes        []*exec.Cmd
}

func newFleet(t testing.TB, size int, heartbeat time.Duration) *fleet {
	t.Helper()
	f := &fleet{t: t, size: size, dir: t.TempDir(), store: standin.NewObjectStore(standin.ObjectStoreOptions{})}
	f.binary = filepath.Join(f.dir, "oleander-control")
	if out, err := exec.Command("go", "build", "-o", f.binary, "oleanderfall.example/oleanderfall/cmd/oleander-control").CombinedOutput(); err != nil {
		t.Fatalf("%s: %v", out, err)
	}
	server := httptest.NewServer(f.store.Handler())
	t.Cleanup(server.Close)
	names := []string{"ana"}
	for i := range f.size {
		names = append(names, f.name(i))
	}
	f.controlAddresses = freePorts(t, size)
	if err := tlsconf.WriteDevelopmentKeys(f.dir, names...); err != nil {
		t.Fatal(err)
	}
	for i := range f.size {
		f.writeSettings(i, server.URL, heartbeat)
		f.processes = append(f.processes, nil)
		f.start(i)
	}
	t.Cleanup(func() {
		for i := range f.size {
			f.kill(i)
		}
	})
	return f
}

func (f *fleet) name(i int) string { return fmt.Sprintf("h%d", i) }

// freePorts returns n loopback addresses with free UDP ports. All ports are held open
// until the end so that none is returned twice.
func freePorts(t testing.TB, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.LocalAddr().String())
	}
	return out
}

func (f *fleet) writeSettings(i int, store string, heartbeat time.Duration) {
	f.t.Helper()
	host := f.name(i)
	text := fmt.Sprintf(`[host]
id = %[1]s
zone = a
region = r
[tls]
authority = %[2]s/ca.pem
certificate = %[2]s/%[1]s.pem
key = %[2]s/%[1]s.key
[platform]
object_api = %[3]s
timeout = 1s
[control]
listen = %[4]s
admin = 127.0.0.1:0
seeds = %[5]s, %[6]s
heartbeat = %[7]s
`, host, f.dir, store, f.controlAddresses[i], f.controlAddresses[0], f.controlAddresses[1], heartbeat)
	if err := os.MkdirAll(filepath.Join(f.dir, host), 0o700); err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(f.dir, host, "host.ini"), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) start(i int) {
	f.t.Helper()
	cmd := exec.Command(f.binary, filepath.Join(f.dir, f.name(i)))
	log, err := os.OpenFile(f.log(i), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[i] = cmd
}

func (f *fleet) log(i int) string { return filepath.Join(f.dir, f.name(i)+".log") }

func (f *fleet) kill(i int) {
	_ = f.processes[i].Process.Kill()
	_ = f.processes[i].Wait()
}

// ctl runs a command with host i as the first --control address and the others after it.
func (f *fleet) ctl(i int, args ...string) (out, errOut string, code int) {
	for n := range f.size {
		args = append(args, "--control", f.controlAddresses[(i+n)%f.size])
	}
	file := func(name string) string { return filepath.Join(f.dir, name) }
	return run(append(args, "--authority", file("ca.pem"), "--certificate", file("ana.pem"), "--key", file("ana.key"))...)
}

// root returns the root object stored in the object API.
func (f *fleet) root() confstore.Root {
	f.t.Helper()
	o, err := objectapi.NewClient(f.store, objectapi.ClientOptions{Seed: 9}).Get(f.t.Context(), confgen.RootKey)
	if err != nil {
		f.t.Fatal(err)
	}
	var root confstore.Root
	if err := json.Unmarshal(o.Value, &root); err != nil {
		f.t.Fatal(err)
	}
	return root
}

// inForce returns the generation in force on host i, 0 if the host does not reply with one.
func (f *fleet) inForce(i int) uint64 {
	file := func(name string) string { return filepath.Join(f.dir, name) }
	out, _, code := run("get", "--output", "json", "--timeout", "2s", "--control", f.controlAddresses[i],
		"--authority", file("ca.pem"), "--certificate", file("ana.pem"), "--key", file("ana.key"))
	var got struct {
		Generation uint64 `json:"generation"`
	}
	if code != 0 || json.Unmarshal([]byte(out), &got) != nil {
		return 0
	}
	return got.Generation
}

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(40 * time.Second); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// An accepted change must not be lost or become two generations, and a change refused as
// not run must not be found in the history, when the control program that receives it is
// killed during the commit and answers of the object API are lost. All hosts must end with
// the newest generation, also after concurrent applies and a restart in an outage.
func TestApply_ControlProgramsKilled(t *testing.T) {
	f := newFleet(t, 3, 100*time.Millisecond)
	f.eventually("the first change", func() bool {
		_, _, code := f.ctl(0, "apply", configFolder(t, "[zone.a]\nregion = r\n"), "--note", "start")
		return code == 0
	})
	accepted := map[string]uint64{"start": 1}
	refused := map[string]bool{}
	for round := range 8 {
		// The delay lets the kills hit different steps of the commit. In every second
		// round the answer to the root write is lost.
		f.store.SetFaults(standin.Faults{DelayMillis: 30, LoseAnswers: round % 2, LoseKeyPrefix: confgen.RootKey})
		victim := round % f.size
		note := "round" + strconv.Itoa(round)
		type result struct {
			out  string
			code int
		}
		done := make(chan result, 1)
		go func() {
			out, _, code := f.ctl(victim, "apply", configFolder(t, "[zone.a]\nregion = "+note+"\n"), "--note", note, "--output", "json")
			done <- result{out, code}
		}()
		time.Sleep(time.Duration(40+round*30) * time.Millisecond)
		f.kill(victim)
		r := <-done
		var reply applied
		switch {
		case r.code == 0 && json.Unmarshal([]byte(r.out), &reply) == nil:
			accepted[note] = uint64(reply.Generation)
		case resultcode.Code(r.code).Info().Outcome == resultcode.NotRun:
			refused[note] = true
		}
		f.start(victim)
	}
	f.store.SetFaults(standin.Faults{})
	t.Logf("accepted %d, refused %d of 9", len(accepted), len(refused))
	f.checkHistory(accepted, refused)
	f.checkConcurrentApplies()
	f.checkRestartInOutage(uint64(f.root().Generation))
}

func (f *fleet) checkHistory(accepted map[string]uint64, refused map[string]bool) {
	f.t.Helper()
	root := f.root()
	found := map[string]uint64{}
	for i, c := range root.History {
		if uint64(c.Generation) != uint64(root.Generation)-uint64(i) {
			f.t.Fatalf("generation %d is at index %d of the history", c.Generation, i)
		}
		if found[c.Note] != 0 {
			f.t.Fatalf("%s became generations %d and %d", c.Note, found[c.Note], c.Generation)
		}
		found[c.Note] = uint64(c.Generation)
	}
	for note, g := range accepted {
		if found[note] != g {
			f.t.Fatalf("%s was accepted as generation %d but is generation %d in the history", note, g, found[note])
		}
	}
	for note := range refused {
		if found[note] != 0 {
			f.t.Fatalf("%s was refused as not run but is generation %d", note, found[note])
		}
	}
	for i := range f.size {
		f.eventually("the newest generation on "+f.name(i), func() bool { return f.inForce(i) == uint64(root.Generation) })
	}
}

// checkConcurrentApplies runs applies with the same base through all hosts concurrently:
// exactly one must be accepted.
func (f *fleet) checkConcurrentApplies() {
	f.t.Helper()
	const operators = 9
	base := uint64(f.root().Generation)
	codes := make(chan int, operators)
	for i := range operators {
		dir := configFolder(f.t, fmt.Sprintf("[zone.a]\nregion = race%d\n", i))
		go func() {
			_, _, code := f.ctl(i%f.size, "apply", dir, "--base", fmt.Sprint(base), "--operator", fmt.Sprint("op", i))
			codes <- code
		}()
	}
	counts := map[int]int{}
	for range operators {
		counts[<-codes]++
	}
	if counts[0] != 1 || counts[int(resultcode.ConfigurationRaced)] != operators-1 {
		f.t.Fatalf("exit codes of %d operators: %v", operators, counts)
	}
	for i := range f.size {
		f.eventually("the winner's generation on "+f.name(i), func() bool { return f.inForce(i) == base+1 })
	}
}

// checkRestartInOutage restarts a host during an outage of the object API: it must get the
// newest generation from its peers, and refuse applies.
func (f *fleet) checkRestartInOutage(newest uint64) {
	f.t.Helper()
	f.store.SetFaults(standin.Faults{Outage: true})
	f.kill(2)
	f.start(2)
	f.eventually("the newest generation after a start in an outage", func() bool { return f.inForce(2) == newest })
	if _, errOut, code := f.ctl(2, "apply", configFolder(f.t, "[zone.b]\nregion = r\n"), "--base", fmt.Sprint(newest)); code != int(resultcode.StorageOutage) {
		f.t.Fatalf("apply in an outage: %d %s", code, errOut)
	}
}
