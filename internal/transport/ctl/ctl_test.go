package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/confmanager"
	"oleanderfall.example/oleanderfall/internal/transport/objective"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

// testInstallation is one control host that runs the configuration manager. Its status
// replies are fixed apart from the generation; drain requests go to drains.
type testInstallation struct {
	flags  []string
	store  *standin.ObjectStore
	drains chan wire.DrainRequest
}

func startInstallation(t *testing.T) *testInstallation {
	t.Helper()
	dir := t.TempDir()
	if err := tlsconf.WriteDevelopmentKeys(dir, "host", "ana"); err != nil {
		t.Fatal(err)
	}
	path := func(name string) string { return filepath.Join(dir, name) }
	keys, err := tlsconf.Load(tlsconf.Files{Authority: path("ca.pem"), Certificate: path("host.pem"), Key: path("host.key")})
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	mesh, err := quicmesh.New(quicmesh.Options{Listen: "127.0.0.1:0", Server: keys.Server(), Client: keys.Client(), Log: log})
	if err != nil {
		t.Fatal(err)
	}
	in := &testInstallation{drains: make(chan wire.DrainRequest, 2), store: standin.NewObjectStore(standin.ObjectStoreOptions{})}
	manager := confmanager.New(confmanager.Options{Mesh: mesh, API: objectapi.NewClient(in.store, objectapi.ClientOptions{Seed: 1}), Host: "h1", Log: log, JitterSeed: 1})
	mesh.Handle(wire.MethodStatus, func(context.Context, string, []byte) (any, error) {
		return wire.StatusReply{Host: "h1", View: model.FleetView{Generation: manager.Generation(), Members: []model.Member{{Host: "h1", State: model.HostAlive}, {Host: "h2", State: model.HostAlive}, {Host: "h3", State: model.HostDead}}},
			Hosts: []wire.HostGeneration{{Host: "h2", Generation: manager.Generation()}}, Shards: []wire.ShardStatus{{Shard: "claims/0", Owner: "h1", Epoch: 7}}}, nil
	})
	mesh.Handle(wire.MethodDrain, func(_ context.Context, _ string, b []byte) (any, error) {
		var r wire.DrainRequest
		err := wire.Decode(b, &r)
		in.drains <- r
		return wire.DrainReply{}, err
	})
	if err := mesh.Start(); err != nil {
		t.Fatal(err)
	}
	manager.Start()
	t.Cleanup(func() { manager.Stop(); mesh.Close() })
	in.flags = []string{"--control", "127.0.0.1:1", "--control", mesh.Address(), "--authority", path("ca.pem"), "--certificate", path("ana.pem"), "--key", path("ana.key")}
	return in
}

func run(args ...string) (out, errOut string, code int) {
	var o, e bytes.Buffer
	code = Main(args, &o, &e)
	return o.String(), e.String(), code
}

func (in *testInstallation) run(args ...string) (out, errOut string, code int) {
	return run(append(args, in.flags...)...)
}

// configFolder writes text as the only INI file of a new folder and returns its path.
func configFolder(t testing.TB, text string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "10.ini"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

func mustContain(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, p := range parts {
		if !strings.Contains(text, p) {
			t.Fatalf("%q is missing in:\n%s", p, text)
		}
	}
}

// An apply based on an older generation must be refused as raced, naming the operator and
// the generation that won. The other commands must show the accepted generations.
func TestOperatorCommands_ApplyReadAndConflict(t *testing.T) {
	in := startInstallation(t)
	one := configFolder(t, "[zone.a]\nregion = r\n")
	two := configFolder(t, "[zone.a]\nregion = r2\n[zone.b]\nregion = r\n")
	out, errOut, code := in.run("apply", one, "--wait", "--note", "first")
	if code != 0 {
		t.Fatalf("apply: %d %s", code, errOut)
	}
	mustContain(t, out, "generation 1 accepted", "in force on all 2 hosts")
	out, _, code = in.run("diff", two)
	if code != 0 {
		t.Fatal(out)
	}
	mustContain(t, out, "[zone.a]\n- region = r\n+ region = r2\n", "[zone.b]\n+ region = r\n")
	if _, errOut, code = in.run("apply", two); code != 0 {
		t.Fatal(errOut)
	}
	_, errOut, code = in.run("apply", one, "--base", "1", "--output", "json")
	var f errorOutput
	if err := json.Unmarshal([]byte(errOut), &f); err != nil || code != int(resultcode.ConfigurationRaced) || f.Code != resultcode.ConfigurationRaced {
		t.Fatalf("race: %d %s", code, errOut)
	}
	mustContain(t, f.Detail, "by ana", "generation 2")
	out, _, _ = in.run("history")
	mustContain(t, out, "ana", "first")
	out, _, _ = in.run("get", "1")
	mustContain(t, out, "# Generation 1.", "[zone.a]\nregion = r\n")
	out, _, _ = in.run("status")
	mustContain(t, out, "generation 2 in force", "claims/0", "h2")
}

// Drain and undrain must send the endpoint or the host, and the operator from the
// certificate. A mix-up would drain the wrong target, or leave the change without a name.
func TestDrain_SendsTargetAndOperator(t *testing.T) {
	in := startInstallation(t)
	if _, errOut, code := in.run("drain", "endpoint", "e1"); code != 0 {
		t.Fatal(errOut)
	}
	if _, errOut, code := in.run("undrain", "host", "h2"); code != 0 {
		t.Fatal(errOut)
	}
	want := []wire.DrainRequest{{Endpoint: "e1", Operator: "ana"}, {Host: "h2", Cancel: true, Operator: "ana"}}
	for _, w := range want {
		if got := <-in.drains; got != w {
			t.Fatalf("drain %+v, want %+v", got, w)
		}
	}
}

// Every command must exit with its result code. A storage outage counts as an unknown
// outcome if --request-id repeats an earlier apply, since that one may have taken effect.
func TestMain_ExitCodeIsResultCode(t *testing.T) {
	in := startInstallation(t)
	good, bad := configFolder(t, "[zone.a]\nregion = r\n"), configFolder(t, "[zone.a]\nregoin = r\n")
	in.store.SetFaults(standin.Faults{Outage: true})
	cases := map[resultcode.Code][]string{
		resultcode.BadConfiguration: {"check", bad},
		resultcode.BadRequest:       {"no-such-command"},
		resultcode.NotFound:         append([]string{"get"}, in.flags...),
		resultcode.StorageOutage:    append([]string{"apply", good}, in.flags...),
		resultcode.StorageUnknown:   append([]string{"apply", good, "--base", "0", "--request-id", "earlier"}, in.flags...),
		resultcode.Unreachable:      append([]string{"status", "--control", "127.0.0.1:1"}, in.flags[4:]...),
		resultcode.OK:               {"check", good},
	}
	for want, args := range cases {
		if _, errOut, code := run(args...); code != int(want) {
			t.Errorf("%v: exit %d, want %d: %s", args[0], code, want, errOut)
		}
	}
}

// The report must sum the counts of all hosts and list an unreachable one as missing.
// Requests that are the caller's fault (TooLarge) must not count.
func TestReportBurn_SumsHostsAndListsMissing(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	config := &model.Config{Services: map[model.ServiceID]model.Service{"orders": {Objective: 0.9}}}
	var admins []string
	for range 2 {
		reg := prometheus.NewRegistry()
		r := objective.NewRecorder(reg, func() time.Time { return now })
		r.Configure(config)
		for i := range 100 {
			if i < 20 {
				r.RecordResult("orders", resultcode.Overloaded)
			} else {
				r.RecordResult("orders", resultcode.OK)
			}
			r.RecordResult("orders", resultcode.TooLarge)
		}
		server := httptest.NewServer(promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
		defer server.Close()
		admins = append(admins, "--admin", strings.TrimPrefix(server.URL, "http://"))
	}
	picture := filepath.Join(t.TempDir(), "burn.png")
	args := append([]string{"report", "burn", "--output", "json", "--picture", picture, "--admin", "127.0.0.1:1"}, admins...)
	out, errOut, code := run(args...)
	var report burnReport
	if err := json.Unmarshal([]byte(out), &report); err != nil || code != 0 {
		t.Fatalf("%d %s: %v", code, errOut, err)
	}
	if len(report.Missing) != 1 || len(report.Services) != 1 {
		t.Fatalf("report %+v", report)
	}
	if w := report.Services[0].Windows[0]; w != (windowBurn{Window: "5m0s", Good: 160, Bad: 40, Burn: 2}) {
		t.Fatalf("window %+v", w)
	}
	if png, err := os.ReadFile(picture); err != nil || !bytes.HasPrefix(png, []byte("\x89PNG")) {
		t.Fatalf("no PNG picture: %v", err)
	}
}

// Explain must query the next program if one does not know the id. An unreachable
// program must not give NotFound, since it may know the id.
func TestExplain_QueriesProgramsUntilFound(t *testing.T) {
	serve := func(known string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/v1/explain/"+known {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			_, _ = w.Write([]byte(`{"request_id":"q1","target":"orders","caller":"shop","events":[{"after_us":1500,"what":"dispatched","endpoint":"e1"}]}`))
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	a, b := serve("other"), serve("q1")
	out, errOut, code := run("explain", "q1", "--admin", a, "--admin", b)
	if code != 0 {
		t.Fatal(errOut)
	}
	mustContain(t, out, "request q1 of shop to orders", "1.5ms", "dispatched", "e1")
	if _, _, code := run("explain", "q2", "--admin", a, "--admin", b); code != int(resultcode.NotFound) {
		t.Fatalf("exit %d for an unknown request", code)
	}
	if _, _, code := run("explain", "q2", "--admin", a, "--admin", "127.0.0.1:1"); code != int(resultcode.Unreachable) {
		t.Fatalf("exit %d though a program did not answer", code)
	}
}
