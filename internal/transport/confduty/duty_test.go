package confduty

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

const patience = 20 * time.Second

// world is a set of control hosts before one object API.
type world struct {
	t     *testing.T
	keys  *tlsconf.Keys
	store *standin.ObjectStore
	hosts []*testHost
}

type testHost struct {
	duty *Duty
	mesh *quicmesh.Mesh
}

func newWorld(t *testing.T) *world {
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
	return &world{t: t, keys: keys, store: standin.NewObjectStore(standin.ObjectStoreOptions{})}
}

// host starts one more host; seeds are the hosts it asks at its start.
func (w *world) host(seeds ...*testHost) *testHost {
	w.t.Helper()
	mesh, err := quicmesh.New(quicmesh.Options{Listen: "127.0.0.1:0", Server: w.keys.Server(), Client: w.keys.Client(), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		w.t.Fatal(err)
	}
	n := uint64(len(w.hosts) + 1)
	opt := Options{
		Mesh:         mesh,
		API:          objectapi.NewClient(w.store, objectapi.ClientOptions{Seed: n, ReadsPerSecond: 1000, WritesPerSecond: 500, AttemptTimeout: 500 * time.Millisecond}),
		Host:         model.HostID(fmt.Sprintf("h%d", n)),
		Log:          slog.New(slog.DiscardHandler),
		Seed:         n,
		PollInterval: 200 * time.Millisecond,
	}
	for _, s := range seeds {
		opt.Seeds = append(opt.Seeds, s.mesh.Address())
	}
	h := &testHost{duty: New(opt), mesh: mesh}
	if err := mesh.Start(); err != nil {
		w.t.Fatal(err)
	}
	h.duty.Start()
	w.hosts = append(w.hosts, h)
	w.t.Cleanup(func() { h.duty.Stop(); h.mesh.Close() })
	return h
}

// config is a small valid configuration whose zone names its version.
func config(t *testing.T, version string) []byte {
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

func change(t *testing.T, base model.Generation, id, version string) wire.ApplyRequest {
	return wire.ApplyRequest{Config: config(t, version), Base: base, Operator: "op-" + id, Note: "to " + version, RequestID: id}
}

func (w *world) eventually(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Fatalf("not seen: %s", what)
}

func (h *testHost) has(g model.Generation, zone string) bool {
	got, c := h.duty.Current()
	if got != g {
		return false
	}
	_, ok := c.Zones[model.ZoneID(zone)]
	return ok
}

func code(err error) resultcode.Code {
	var coded *resultcode.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return resultcode.OK
}

func TestAnAcceptedChangeIsInForceOnEveryHostAndKeptByTheNext(t *testing.T) {
	w := newWorld(t)
	a, b := w.host(), w.host()
	var reply wire.ApplyReply
	if err := b.mesh.Call(t.Context(), a.mesh.Address(), wire.MethodApply, change(t, 0, "1", "z1"), &reply); err != nil || reply.Generation != 1 {
		t.Fatalf("reply %+v: %v", reply, err)
	}
	w.eventually("generation 1 on both", func() bool { return a.has(1, "z1") && b.has(1, "z1") })
	select {
	case <-b.duty.Changed():
	case <-time.After(patience):
		t.Fatal("no signal of the change")
	}
	c := w.host()
	w.eventually("generation 1 on a new host", func() bool { return c.has(1, "z1") })
}

func TestOfOperatorsWhoRaceOneWinsEachGenerationAndTheOthersAreToldByName(t *testing.T) {
	w := newWorld(t)
	hosts := []*testHost{w.host(), w.host(), w.host()}
	const operators = 12
	for round := model.Generation(0); round < 3; round++ {
		errs := make([]error, operators)
		var wait sync.WaitGroup
		for i := range operators {
			r := change(t, round, fmt.Sprintf("r%d-%d", round, i), fmt.Sprintf("z%d-%d", round, i))
			wait.Add(1)
			go func() {
				defer wait.Done()
				_, errs[i] = hosts[i%len(hosts)].duty.Apply(context.Background(), r)
			}()
		}
		wait.Wait()
		winner := -1
		for i, err := range errs {
			if err != nil {
				continue
			}
			if winner >= 0 {
				t.Fatalf("round %d: %d and %d both won", round, winner, i)
			}
			winner = i
		}
		if winner < 0 {
			t.Fatalf("round %d: nobody won: %v", round, errs)
		}
		for i, err := range errs {
			name := fmt.Sprintf("op-r%d-%d", round, winner)
			if i != winner && (code(err) != resultcode.ConfigurationRaced || !strings.Contains(err.Error(), name)) {
				t.Fatalf("loser %d was told %v, not of %s", i, err, name)
			}
		}
		zone := fmt.Sprintf("z%d-%d", round, winner)
		for _, h := range hosts {
			w.eventually(zone, func() bool { return h.has(round+1, zone) })
		}
	}
}

func TestALostAnswerAtAnyWriteOfACommitGivesOneGeneration(t *testing.T) {
	for _, prefix := range []string{confgen.ContentPrefix, confgen.RootKey} {
		w := newWorld(t)
		h := w.host()
		w.store.SetFaults(standin.Faults{LoseAnswers: 1, LoseKeyPrefix: prefix})
		r := change(t, 0, "1", "z1")
		for range 2 { // The second call is the operator's own repetition.
			if g, err := h.duty.Apply(t.Context(), r); err != nil || g != 1 {
				t.Fatalf("answer lost at %s: generation %d, %v", prefix, g, err)
			}
		}
		root, _, err := h.duty.storage.readRoot(t.Context())
		if err != nil || root.Generation != 1 || len(root.History) != 1 {
			t.Fatalf("root %+v: %v", root, err)
		}
	}
}

func TestAHostThatStartsInAnOutageTakesWhatItsPeersHold(t *testing.T) {
	w := newWorld(t)
	a := w.host()
	if _, err := a.duty.Apply(t.Context(), change(t, 0, "1", "z1")); err != nil {
		t.Fatal(err)
	}
	w.store.SetFaults(standin.Faults{Outage: true})
	b := w.host(a)
	w.eventually("the peer's generation in an outage", func() bool { return b.has(1, "z1") })
	if _, err := b.duty.Apply(t.Context(), change(t, 1, "2", "z2")); code(err) != resultcode.StorageOutage {
		t.Fatalf("apply in an outage: %v", err)
	}
	w.store.SetFaults(standin.Faults{})
	w.eventually("changes after the outage", func() bool {
		_, err := b.duty.Apply(t.Context(), change(t, 1, "3", "z3"))
		return err == nil
	})
	w.eventually("the change on the other host", func() bool { return a.has(2, "z3") })
}

func TestAGenerationHeardOfIsFetchedFromThePeer(t *testing.T) {
	w := newWorld(t)
	a, b := w.host(), w.host()
	b.duty.SetMembers(func() []model.Member { return nil })
	if _, err := a.duty.Apply(t.Context(), change(t, 0, "1", "z1")); err != nil {
		t.Fatal(err)
	}
	w.store.SetFaults(standin.Faults{Outage: true})
	c := w.host()
	c.duty.Heard(1, a.mesh.Address())
	w.eventually("the generation heard of", func() bool { return c.has(1, "z1") })
}

func TestDroppedAndCompactedWatchesMissNoGeneration(t *testing.T) {
	w := newWorld(t)
	w.store = standin.NewObjectStore(standin.ObjectStoreOptions{History: 2})
	a, b := w.host(), w.host()
	for g := range model.Generation(6) {
		w.store.SetFaults(standin.Faults{DropWatches: true})
		zone := fmt.Sprintf("z%d", g+1)
		if _, err := a.duty.Apply(t.Context(), change(t, g, zone, zone)); err != nil {
			t.Fatal(err)
		}
		w.eventually(zone, func() bool { return b.has(g+1, zone) })
	}
}

func TestDamagedContentIsNeverInForceAndReplacedOnceWhole(t *testing.T) {
	w := newWorld(t)
	a := w.host()
	if _, err := a.duty.Apply(t.Context(), change(t, 0, "1", "z1")); err != nil {
		t.Fatal(err)
	}
	root, _, err := a.duty.storage.readRoot(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	key := confgen.ContentKey(1, root.Digest, 0)
	api := a.duty.opt.API
	whole, err := api.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	half, err := api.Put(t.Context(), key, whole.Value[:len(whole.Value)/2], whole.Version)
	if err != nil {
		t.Fatal(err)
	}
	b := w.host()
	reads := w.store.Calls().Reads
	w.eventually("attempts to read it", func() bool { return w.store.Calls().Reads > reads+4 })
	if g, c := b.duty.Current(); g != 0 || c != nil {
		t.Fatalf("damaged content is in force: %d %+v", g, c)
	}
	if _, err := api.Put(t.Context(), key, whole.Value, half); err != nil {
		t.Fatal(err)
	}
	w.eventually("the mended content", func() bool { return b.has(1, "z1") })
}

func TestABadConfigurationIsRefusedWholeByTheServer(t *testing.T) {
	w := newWorld(t)
	h := w.host()
	r := change(t, 0, "1", "z1")
	r.Config = []byte(`{"system":{"claim_shards":0},"endpoints":{"e":{"kind":"engine","zone":"nowhere"}}}`)
	if _, err := h.duty.Apply(t.Context(), r); code(err) != resultcode.BadConfiguration || !strings.Contains(err.Error(), "no section [zone.nowhere]") {
		t.Fatalf("bad configuration: %v", err)
	}
	if w.store.Calls().Writes != 0 {
		t.Fatal("a refused configuration was written")
	}
}

func TestOldContentIsRemovedAndTheNewestKept(t *testing.T) {
	w := newWorld(t)
	h := w.host()
	const changes = confgen.KeptGenerations + 3
	for g := range model.Generation(changes) {
		zone := fmt.Sprintf("z%d", g)
		if _, err := h.duty.Apply(t.Context(), change(t, g, zone, zone)); err != nil {
			t.Fatal(err)
		}
	}
	if err := h.duty.collectNow(t.Context()); err != nil {
		t.Fatal(err)
	}
	page, err := w.store.List(t.Context(), confgen.ContentPrefix, "", 0)
	if err != nil || len(page.Objects) != confgen.KeptGenerations {
		t.Fatalf("%d content objects: %v", len(page.Objects), err)
	}
	if _, err := h.duty.find(t.Context(), changes-1); err != nil {
		t.Fatal(err)
	}
}

func TestChangesGoOnAboveTheGenerationInForceAfterTheRootWasRestored(t *testing.T) {
	w := newWorld(t)
	a, b := w.host(), w.host()
	api := a.duty.opt.API
	var old objectapi.Object
	for g := range model.Generation(3) {
		zone := fmt.Sprintf("z%d", g+1)
		if _, err := a.duty.Apply(t.Context(), change(t, g, zone, zone)); err != nil {
			t.Fatal(err)
		}
		if g == 0 {
			old, _ = api.Get(t.Context(), confgen.RootKey)
		}
	}
	w.eventually("generation 3", func() bool { return a.has(3, "z3") && b.has(3, "z3") })
	now, err := api.Get(t.Context(), confgen.RootKey)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := api.Put(t.Context(), confgen.RootKey, old.Value, now.Version); err != nil {
		t.Fatal(err)
	}
	if g, err := b.duty.Apply(t.Context(), change(t, 3, "4", "z4")); err != nil || g != 4 {
		t.Fatalf("after the restoration: generation %d, %v", g, err)
	}
	w.eventually("generation 4", func() bool { return a.has(4, "z4") && b.has(4, "z4") })
}

func TestALargeConfigurationIsStoredInSeveralObjects(t *testing.T) {
	w := newWorld(t)
	a, b := w.host(), w.host()
	random := rand.New(rand.NewPCG(1, 1))
	c := &model.Config{}
	if err := json.Unmarshal(config(t, "z1"), c); err != nil {
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
	r := change(t, 0, "1", "z1")
	r.Config = large
	if _, err := a.duty.Apply(t.Context(), r); err != nil {
		t.Fatal(err)
	}
	root, _, err := a.duty.storage.readRoot(t.Context())
	if err != nil || root.Chunks < 2 {
		t.Fatalf("%d chunks: %v", root.Chunks, err)
	}
	w.eventually("the large configuration", func() bool { return b.has(1, "z1") })
	if held, err := a.duty.readOld(t.Context(), root.History[0]); err != nil || held.Digest != root.Digest {
		t.Fatalf("read whole: %v", err)
	}
}
