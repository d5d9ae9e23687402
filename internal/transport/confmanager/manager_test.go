package confmanager

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"oleanderfall.example/oleanderfall/internal/coordination/confgen"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitTimeout = 20 * time.Second

// testCluster is a set of control programs that share one object API.
type testCluster struct {
	t     *testing.T
	keys  *tlsconf.Keys
	store *standin.ObjectStore
	hosts []*testHost
}

type testHost struct {
	manager *Manager
	mesh    *quicmesh.Mesh
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	dir := t.TempDir()
	if err := tlsconf.WriteDevelopmentKeys(dir, "host"); err != nil {
		t.Fatal(err)
	}
	keys, err := tlsconf.Load(tlsconf.Files{
		Authority:   filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, "host.pem"),
		Key:         filepath.Join(dir, "host.key"),
	})
	if err != nil {
		t.Fatal(err)
	}
	return &testCluster{t: t, keys: keys, store: standin.NewObjectStore(standin.ObjectStoreOptions{})}
}

// startHost starts another host, which queries the seeds at startup.
func (tc *testCluster) startHost(seeds ...*testHost) *testHost {
	tc.t.Helper()
	mesh, err := quicmesh.New(quicmesh.Options{Listen: "127.0.0.1:0", Server: tc.keys.Server(), Client: tc.keys.Client(), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		tc.t.Fatal(err)
	}
	n := uint64(len(tc.hosts) + 1)
	opt := Options{
		Mesh:         mesh,
		API:          objectapi.NewClient(tc.store, objectapi.ClientOptions{Seed: n, ReadsPerSecond: 1000, WritesPerSecond: 500, AttemptTimeout: 500 * time.Millisecond}),
		Host:         model.HostID(fmt.Sprintf("h%d", n)),
		Log:          slog.New(slog.DiscardHandler),
		JitterSeed:   n,
		PollInterval: 200 * time.Millisecond,
	}
	for _, s := range seeds {
		opt.Seeds = append(opt.Seeds, s.mesh.Address())
	}
	h := &testHost{manager: New(opt), mesh: mesh}
	if err := mesh.Start(); err != nil {
		tc.t.Fatal(err)
	}
	h.manager.Start()
	tc.hosts = append(tc.hosts, h)
	tc.t.Cleanup(func() { h.manager.Stop(); h.mesh.Close() })
	return h
}

// testConfig returns a small valid configuration with one zone, named version.
func testConfig(t *testing.T, version string) []byte {
	t.Helper()
	c, err := settings.ParseConfig([]settings.File{{Name: "a.ini", Data: []byte("[zone." + version + "]\nregion = r\n")}})
	if err != nil {
		t.Fatal(err)
	}
	b, err := settings.EncodeConfig(c)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func applyRequest(t *testing.T, base model.Generation, id, version string) wire.ApplyRequest {
	return wire.ApplyRequest{Config: testConfig(t, version), Base: base, Operator: "op-" + id, Note: "to " + version, RequestID: id}
}

func (tc *testCluster) eventually(what string, condition func() bool) {
	tc.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	tc.t.Fatalf("timed out waiting for %s", what)
}

func (h *testHost) hasGeneration(g model.Generation, zone string) bool {
	got, c := h.manager.Current()
	if got != g {
		return false
	}
	_, ok := c.Zones[model.ZoneID(zone)]
	return ok
}

func resultCode(err error) resultcode.Code {
	var coded *resultcode.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return resultcode.OK
}

// A change applied through one host is put in force on all hosts and signalled there, and
// a host that starts later gets it as well.
func TestApply_ReachesEveryHost(t *testing.T) {
	w := newTestCluster(t)
	a, b := w.startHost(), w.startHost()
	var reply wire.ApplyReply
	if err := b.mesh.Call(t.Context(), a.mesh.Address(), wire.MethodApply, applyRequest(t, 0, "1", "z1"), &reply); err != nil || reply.Generation != 1 {
		t.Fatalf("reply %+v: %v", reply, err)
	}
	w.eventually("generation 1 on both", func() bool { return a.hasGeneration(1, "z1") && b.hasGeneration(1, "z1") })
	select {
	case <-b.manager.Changed():
	case <-time.After(waitTimeout):
		t.Fatal("no change signal")
	}
	c := w.startHost()
	w.eventually("generation 1 on a new host", func() bool { return c.hasGeneration(1, "z1") })
}

// Concurrent changes with the same base through different hosts: exactly one is accepted
// per generation, and the error for the other operators must name whose change was accepted.
func TestApply_ConcurrentOperators(t *testing.T) {
	w := newTestCluster(t)
	hosts := []*testHost{w.startHost(), w.startHost(), w.startHost()}
	const operators = 12
	for round := model.Generation(0); round < 3; round++ {
		errs := make([]error, operators)
		var running sync.WaitGroup
		for i := range operators {
			r := applyRequest(t, round, fmt.Sprintf("r%d-%d", round, i), fmt.Sprintf("z%d-%d", round, i))
			running.Add(1)
			go func() {
				defer running.Done()
				_, errs[i] = hosts[i%len(hosts)].manager.Apply(context.Background(), r)
			}()
		}
		running.Wait()
		winner := -1
		for i, err := range errs {
			if err != nil {
				continue
			}
			if winner >= 0 {
				t.Fatalf("round %d: changes %d and %d were both accepted", round, winner, i)
			}
			winner = i
		}
		if winner < 0 {
			t.Fatalf("round %d: no change was accepted: %v", round, errs)
		}
		for i, err := range errs {
			name := fmt.Sprintf("op-r%d-%d", round, winner)
			if i != winner && (resultCode(err) != resultcode.ConfigurationRaced || !strings.Contains(err.Error(), name)) {
				t.Fatalf("rejected change %d: error %v does not name %s", i, err, name)
			}
		}
		zone := fmt.Sprintf("z%d-%d", round, winner)
		for _, h := range hosts {
			w.eventually(zone, func() bool { return h.hasGeneration(round+1, zone) })
		}
	}
}

// A content or root write takes effect but its answer is lost. The commit and a retry with
// the same request id both report the one generation.
func TestApply_LostWriteAnswer(t *testing.T) {
	for _, prefix := range []string{confgen.ContentPrefix, confgen.RootKey} {
		w := newTestCluster(t)
		h := w.startHost()
		w.store.SetFaults(standin.Faults{LoseAnswers: 1, LoseKeyPrefix: prefix})
		r := applyRequest(t, 0, "1", "z1")
		for range 2 { // The second call is the operator's retry.
			if g, err := h.manager.Apply(t.Context(), r); err != nil || g != 1 {
				t.Fatalf("lost answer for %s: generation %d, %v", prefix, g, err)
			}
		}
		root, _, err := h.manager.storage.readRoot(t.Context())
		if err != nil || root.Generation != 1 || len(root.History) != 1 {
			t.Fatalf("root %+v: %v", root, err)
		}
	}
}

// A host that starts during an object API outage fetches the configuration from its seeds.
// It rejects changes during the outage and accepts them afterwards.
func TestStart_DuringOutage(t *testing.T) {
	w := newTestCluster(t)
	a := w.startHost()
	if _, err := a.manager.Apply(t.Context(), applyRequest(t, 0, "1", "z1")); err != nil {
		t.Fatal(err)
	}
	w.store.SetFaults(standin.Faults{Outage: true})
	b := w.startHost(a)
	w.eventually("the peer's generation during the outage", func() bool { return b.hasGeneration(1, "z1") })
	if _, err := b.manager.Apply(t.Context(), applyRequest(t, 1, "2", "z2")); resultCode(err) != resultcode.StorageOutage {
		t.Fatalf("apply during an outage: %v", err)
	}
	w.store.SetFaults(standin.Faults{})
	w.eventually("changes after the outage", func() bool {
		_, err := b.manager.Apply(t.Context(), applyRequest(t, 1, "3", "z3"))
		return err == nil
	})
	w.eventually("the change on the other host", func() bool { return a.hasGeneration(2, "z3") })
}

// During an outage of the object API a host without seeds learns of a generation only from
// a peer's report. It must fetch the reported generation from that peer.
func TestNotifyGeneration_FetchesFromPeer(t *testing.T) {
	w := newTestCluster(t)
	a, b := w.startHost(), w.startHost()
	b.manager.SetMembers(func() []model.Member { return nil })
	if _, err := a.manager.Apply(t.Context(), applyRequest(t, 0, "1", "z1")); err != nil {
		t.Fatal(err)
	}
	w.store.SetFaults(standin.Faults{Outage: true})
	c := w.startHost()
	c.manager.NotifyGeneration(1, a.mesh.Address())
	w.eventually("the reported generation", func() bool { return c.hasGeneration(1, "z1") })
}

// The object store drops watches and keeps only two events, so that watches have to
// restart from a listing. No generation may be missed.
func TestWatch_DroppedAndCompacted(t *testing.T) {
	w := newTestCluster(t)
	w.store = standin.NewObjectStore(standin.ObjectStoreOptions{History: 2})
	a, b := w.startHost(), w.startHost()
	for g := range model.Generation(6) {
		w.store.SetFaults(standin.Faults{DropWatches: true})
		zone := fmt.Sprintf("z%d", g+1)
		if _, err := a.manager.Apply(t.Context(), applyRequest(t, g, zone, zone)); err != nil {
			t.Fatal(err)
		}
		w.eventually(zone, func() bool { return b.hasGeneration(g+1, zone) })
	}
}

// Truncated content is never put in force. The host keeps reading it and applies it once
// the complete content is stored again.
func TestFetch_DamagedContent(t *testing.T) {
	w := newTestCluster(t)
	a := w.startHost()
	if _, err := a.manager.Apply(t.Context(), applyRequest(t, 0, "1", "z1")); err != nil {
		t.Fatal(err)
	}
	root, _, err := a.manager.storage.readRoot(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	key := confgen.ContentKey(1, root.Digest, 0)
	api := a.manager.opt.API
	complete, err := api.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	truncated, err := api.Put(t.Context(), key, complete.Value[:len(complete.Value)/2], complete.Version)
	if err != nil {
		t.Fatal(err)
	}
	b := w.startHost()
	reads := w.store.Calls().Reads
	w.eventually("attempts to read the damaged content", func() bool { return w.store.Calls().Reads > reads+4 })
	if g, c := b.manager.Current(); g != 0 || c != nil {
		t.Fatalf("damaged content is in force: %d %+v", g, c)
	}
	if _, err := api.Put(t.Context(), key, complete.Value, truncated); err != nil {
		t.Fatal(err)
	}
	w.eventually("the repaired content", func() bool { return b.hasGeneration(1, "z1") })
}

// The server validates a configuration before it writes any part of it.
func TestApply_InvalidConfiguration(t *testing.T) {
	w := newTestCluster(t)
	h := w.startHost()
	r := applyRequest(t, 0, "1", "z1")
	r.Config = []byte(`{"system":{"claim_shards":0},"endpoints":{"e":{"kind":"engine","zone":"nowhere"}}}`)
	if _, err := h.manager.Apply(t.Context(), r); resultCode(err) != resultcode.BadConfiguration || !strings.Contains(err.Error(), "no section [zone.nowhere]") {
		t.Fatalf("bad configuration: %v", err)
	}
	if w.store.Calls().Writes != 0 {
		t.Fatal("an invalid configuration was written")
	}
}

// Garbage collection keeps the content of the newest confgen.KeptGenerations generations.
func TestCollectGarbage_KeepsNewestGenerations(t *testing.T) {
	w := newTestCluster(t)
	h := w.startHost()
	const changes = confgen.KeptGenerations + 3
	for g := range model.Generation(changes) {
		zone := fmt.Sprintf("z%d", g)
		if _, err := h.manager.Apply(t.Context(), applyRequest(t, g, zone, zone)); err != nil {
			t.Fatal(err)
		}
	}
	if err := h.manager.collectGarbage(t.Context()); err != nil {
		t.Fatal(err)
	}
	page, err := w.store.List(t.Context(), confgen.ContentPrefix, "", 0)
	if err != nil || len(page.Objects) != confgen.KeptGenerations {
		t.Fatalf("%d content objects: %v", len(page.Objects), err)
	}
	if _, err := h.manager.findGeneration(t.Context(), changes-1); err != nil {
		t.Fatal(err)
	}
}

// The root object is restored to an older version, as after data loss in the object API.
// The next change must get a generation above the one in force, or hosts would ignore it.
func TestApply_AfterRootRestored(t *testing.T) {
	w := newTestCluster(t)
	a, b := w.startHost(), w.startHost()
	api := a.manager.opt.API
	var old objectapi.Object
	for g := range model.Generation(3) {
		zone := fmt.Sprintf("z%d", g+1)
		if _, err := a.manager.Apply(t.Context(), applyRequest(t, g, zone, zone)); err != nil {
			t.Fatal(err)
		}
		if g == 0 {
			old, _ = api.Get(t.Context(), confgen.RootKey)
		}
	}
	w.eventually("generation 3", func() bool { return a.hasGeneration(3, "z3") && b.hasGeneration(3, "z3") })
	current, err := api.Get(t.Context(), confgen.RootKey)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := api.Put(t.Context(), confgen.RootKey, old.Value, current.Version); err != nil {
		t.Fatal(err)
	}
	if g, err := b.manager.Apply(t.Context(), applyRequest(t, 3, "4", "z4")); err != nil || g != 4 {
		t.Fatalf("apply after the root was restored: generation %d, %v", g, err)
	}
	w.eventually("generation 4", func() bool { return a.hasGeneration(4, "z4") && b.hasGeneration(4, "z4") })
}

// A configuration larger than one content object is split into several and reassembled.
func TestApply_LargeConfiguration(t *testing.T) {
	w := newTestCluster(t)
	a, b := w.startHost(), w.startHost()
	random := rand.New(rand.NewPCG(1, 1))
	c := &model.Config{}
	if err := json.Unmarshal(testConfig(t, "z1"), c); err != nil {
		t.Fatal(err)
	}
	for range 55000 {
		id := fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
		c.Zones[model.ZoneID(id)] = model.Zone{Region: "r"}
	}
	large, err := settings.EncodeConfig(c)
	if err != nil {
		t.Fatal(err)
	}
	r := applyRequest(t, 0, "1", "z1")
	r.Config = large
	if _, err := a.manager.Apply(t.Context(), r); err != nil {
		t.Fatal(err)
	}
	root, _, err := a.manager.storage.readRoot(t.Context())
	if err != nil || root.Chunks < 2 {
		t.Fatalf("%d chunks: %v", root.Chunks, err)
	}
	w.eventually("the large configuration", func() bool { return b.hasGeneration(1, "z1") })
	if snapshot, err := a.manager.readRetained(t.Context(), root.History[0]); err != nil || snapshot.Digest != root.Digest {
		t.Fatalf("read all chunks: %v", err)
	}
}
