package gossip

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"oleanderfall.example/oleanderfall/internal/coordination/drains"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testHeartbeat = 100 * time.Millisecond
	testLimit     = 60 * time.Second
)

// testNet is a set of duties over real meshes in one process.
type testNet struct {
	t    *testing.T
	keys *tlsconf.Keys
	mu   sync.Mutex
	// side is each address's part of the network; parts cannot reach each other.
	side  map[string]int
	nodes []*testNode
}

type testNode struct {
	id         model.HostID
	duty       *Duty
	mesh       *quicmesh.Mesh
	address    string
	generation atomic.Uint64
	heard      atomic.Uint64
	stop       func()
}

func newTestNet(t *testing.T) *testNet {
	t.Helper()
	dir := t.TempDir()
	if err := tlsconf.WriteDevelopmentKeys(dir, "host"); err != nil {
		t.Fatal(err)
	}
	keys, err := tlsconf.Load(tlsconf.Files{
		Authority: filepath.Join(dir, "ca.pem"), Certificate: filepath.Join(dir, "host.pem"), Key: filepath.Join(dir, "host.key"),
	})
	if err != nil {
		t.Fatal(err)
	}
	return &testNet{t: t, keys: keys, side: map[string]int{}}
}

// start adds a host. advertise, when not nil, returns the address that others use.
func (n *testNet) start(incarnation model.Incarnation, id, listen string, advertise func(own string) string) *testNode {
	n.t.Helper()
	node := &testNode{id: model.HostID(id)}
	var late *Duty
	mesh, err := quicmesh.New(quicmesh.Options{
		Listen: listen, Server: n.keys.Server(), Client: n.keys.Client(), Log: slog.New(slog.DiscardHandler),
		OnDatagram: func(peer string, b []byte) { late.OnDatagram(peer, b) },
		Cut:        func(peer string) bool { return n.apart(node.address, peer) },
	})
	if err != nil {
		n.t.Fatal(err)
	}
	node.mesh, node.address = mesh, mesh.Address()
	control := node.address
	if advertise != nil {
		control = advertise(control)
	}
	random := rand.New(rand.NewPCG(uint64(incarnation), uint64(len(n.nodes))))
	late = New(Options{
		Self:      members.Record{Host: node.id, Zone: model.ZoneID("z" + id[len(id)-1:]), Control: control, Incarnation: incarnation},
		Heartbeat: testHeartbeat, Log: slog.New(slog.DiscardHandler), Random: random.Uint64,
		Generation: func() model.Generation { return model.Generation(node.generation.Load()) },
		Heard:      func(g model.Generation, _ string) { node.heard.Store(uint64(g)) },
	})
	node.duty = late
	late.Attach(mesh)
	if err := mesh.Start(); err != nil {
		n.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); late.Run(ctx) }()
	node.stop = sync.OnceFunc(func() { cancel(); <-done; mesh.Close() })
	n.t.Cleanup(node.stop)
	n.nodes = append(n.nodes, node)
	if err := late.SetSeeds(n.t.Context(), []string{n.nodes[0].duty.State().Self.Control}); err != nil {
		n.t.Fatal(err)
	}
	return node
}

func (n *testNet) apart(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.side[a] != n.side[b]
}

func (n *testNet) split(of func(i int) int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, node := range n.nodes {
		n.side[node.address] = of(i)
	}
}

func (n *testNet) wait(what string, holds func(*testNode) bool) {
	n.t.Helper()
	deadline := time.Now().Add(testLimit)
	for i := 0; i < len(n.nodes); {
		if holds(n.nodes[i]) {
			i++
			continue
		}
		if time.Now().After(deadline) {
			n.t.Fatalf("%s: not at %s: %+v", what, n.nodes[i].id, n.nodes[i].duty.State())
		}
		time.Sleep(testHeartbeat / 10)
	}
}

func alive(node *testNode) int {
	count := 0
	for _, r := range node.duty.State().Records {
		if r.State == members.Alive {
			count++
		}
	}
	return count
}

func (n *testNet) startAll(count int, advertise func(string) string) {
	for i := range count {
		n.start(1, fmt.Sprintf("host-%d", i), "127.0.0.1:0", advertise)
	}
	n.wait("join", func(node *testNode) bool { return alive(node) == count })
}

func (n *testNet) drain(by *testNode, endpoint string) {
	n.t.Helper()
	e := drains.EvidenceItem(drains.Target{Endpoint: model.EndpointID(endpoint)}, 1, model.DrainFromEndpoint)
	if err := by.duty.Learn(n.t.Context(), e); err != nil {
		n.t.Fatal(err)
	}
}

func knows(endpoint string) func(*testNode) bool {
	return func(node *testNode) bool {
		for _, i := range node.duty.State().Drains {
			if i.Drain.Endpoint == model.EndpointID(endpoint) {
				return true
			}
		}
		return false
	}
}

func TestDrainReachesEveryHostAndLateComers(t *testing.T) {
	n := newTestNet(t)
	n.startAll(8, nil)
	n.drain(n.nodes[3], "e1")
	n.wait("drain", knows("e1"))
	n.start(1, "host-8", "127.0.0.1:0", nil)
	n.wait("drain at a late comer", knows("e1"))
}

func TestGenerationIsHeardFromEveryPeer(t *testing.T) {
	n := newTestNet(t)
	n.startAll(6, nil)
	n.nodes[2].generation.Store(7)
	n.wait("generation", func(node *testNode) bool {
		// A host that heard of the generation has it in force from then on.
		if node.heard.Load() == 7 {
			node.generation.Store(7)
		}
		return node.generation.Load() == 7
	})
}

func TestHalvesOfTheFleetMeetAgainAndShareTheirNews(t *testing.T) {
	n := newTestNet(t)
	n.startAll(6, nil)
	n.split(func(i int) int { return i % 2 })
	n.wait("cut", func(node *testNode) bool { return alive(node) == 3 })
	n.drain(n.nodes[0], "west")
	n.drain(n.nodes[1], "east")
	n.split(func(int) int { return 0 })
	n.wait("together", func(node *testNode) bool { return alive(node) == 6 })
	n.wait("news of both halves", func(node *testNode) bool { return knows("west")(node) && knows("east")(node) })
}

func TestKilledHostIsNoticedAndItsNewLifeTaken(t *testing.T) {
	n := newTestNet(t)
	n.startAll(5, nil)
	victim := n.nodes[4]
	n.nodes = n.nodes[:4]
	victim.stop()
	n.wait("death", func(node *testNode) bool { return alive(node) == 4 })
	n.start(2, string(victim.id), victim.address, nil)
	n.wait("new life", func(node *testNode) bool { return alive(node) == 5 })
}

func TestNewsArrivesAndNobodyDiesWhileDatagramsAreLost(t *testing.T) {
	n := newTestNet(t)
	relays := &relayNet{t: t, random: rand.New(rand.NewPCG(7, 7))}
	n.startAll(6, relays.open)
	relays.loss.Store(20)
	for i := range 5 {
		endpoint := fmt.Sprintf("e%d", i)
		n.drain(n.nodes[i], endpoint)
		n.wait(endpoint, knows(endpoint))
	}
	if relays.lost.Load() == 0 {
		t.Fatal("nothing was lost")
	}
	relays.loss.Store(0)
	n.wait("all alive", func(node *testNode) bool { return alive(node) == 6 })
}

func TestEveryHostsGenerationReachesEveryHost(t *testing.T) {
	n := newTestNet(t)
	const hosts = 8
	n.startAll(hosts, nil)
	for round := range 20 {
		for _, node := range n.nodes {
			i := items.Item{Kind: items.Generation, Key: string(node.id), Version: uint64(round + 1), Generation: model.Generation(round + 1)}
			if err := node.duty.Learn(t.Context(), i); err != nil {
				t.Fatal(err)
			}
		}
		n.wait(fmt.Sprintf("round %d", round), func(node *testNode) bool {
			list := node.duty.State().Generations
			for _, i := range list {
				if i.Version != uint64(round+1) {
					return false
				}
			}
			return len(list) == hosts
		})
	}
}
