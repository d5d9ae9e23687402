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
	testTimeout   = 60 * time.Second
)

// testNet runs several services in one process, each on a real mesh.
type testNet struct {
	t    *testing.T
	keys *tlsconf.Keys
	mu   sync.Mutex
	// partition maps an address to its network partition. Hosts in different partitions
	// cannot reach each other.
	partition map[string]int
	nodes     []*testNode
}

type testNode struct {
	id         model.HostID
	service    *Service
	mesh       *quicmesh.Mesh
	address    string
	generation atomic.Uint64
	newest     atomic.Uint64
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
	return &testNet{t: t, keys: keys, partition: map[string]int{}}
}

// start adds a host. advertise, if not nil, maps the host's own address to the one that
// others use to reach it.
func (n *testNet) start(incarnation model.Incarnation, id, listen string, advertise func(own string) string) *testNode {
	n.t.Helper()
	node := &testNode{id: model.HostID(id)}
	var svc *Service
	mesh, err := quicmesh.New(quicmesh.Options{
		Listen: listen, Server: n.keys.Server(), Client: n.keys.Client(), Log: slog.New(slog.DiscardHandler),
		OnDatagram:  func(peer string, b []byte) { svc.OnDatagram(peer, b) },
		Partitioned: func(peer string) bool { return n.partitioned(node.address, peer) },
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
	svc = New(Options{
		Self:      members.Record{Host: node.id, Zone: model.ZoneID("z" + id[len(id)-1:]), Control: control, Incarnation: incarnation},
		Heartbeat: testHeartbeat, Log: slog.New(slog.DiscardHandler), Random: random.Uint64,
		Generation:        func() model.Generation { return model.Generation(node.generation.Load()) },
		OnNewerGeneration: func(g model.Generation, _ string) { node.newest.Store(uint64(g)) },
	})
	node.service = svc
	svc.Attach(mesh)
	if err := mesh.Start(); err != nil {
		n.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); svc.Run(ctx) }()
	node.stop = sync.OnceFunc(func() { cancel(); <-done; mesh.Close() })
	n.t.Cleanup(node.stop)
	n.nodes = append(n.nodes, node)
	if err := svc.SetSeeds(n.t.Context(), []string{n.nodes[0].service.State().Self.Control}); err != nil {
		n.t.Fatal(err)
	}
	return node
}

func (n *testNet) partitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partition[a] != n.partition[b]
}

// split assigns the partition of each host by its index.
func (n *testNet) split(partitionOf func(i int) int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, node := range n.nodes {
		n.partition[node.address] = partitionOf(i)
	}
}

// wait waits until the condition holds at every host.
func (n *testNet) wait(what string, holds func(*testNode) bool) {
	n.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for i := 0; i < len(n.nodes); {
		if holds(n.nodes[i]) {
			i++
			continue
		}
		if time.Now().After(deadline) {
			n.t.Fatalf("%s: condition not reached at %s: %+v", what, n.nodes[i].id, n.nodes[i].service.State())
		}
		time.Sleep(testHeartbeat / 10)
	}
}

// alive returns the number of hosts that are alive in the node's state.
func alive(node *testNode) int {
	count := 0
	for _, r := range node.service.State().Records {
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

// drain adds evidence at one node that an endpoint is leaving.
func (n *testNet) drain(node *testNode, endpoint string) {
	n.t.Helper()
	e := drains.EvidenceItem(drains.Target{Endpoint: model.EndpointID(endpoint)}, 1, model.DrainFromEndpoint)
	if err := node.service.AddItems(n.t.Context(), e); err != nil {
		n.t.Fatal(err)
	}
}

func hasDrain(endpoint string) func(*testNode) bool {
	return func(node *testNode) bool {
		for _, i := range node.service.State().Drains {
			if i.Drain.Endpoint == model.EndpointID(endpoint) {
				return true
			}
		}
		return false
	}
}

// A drain must reach all hosts, and through an exchange also a host that joins after the
// datagrams with the drain were sent. Otherwise that host would send work to the endpoint.
func TestDrain_ReachesAllHosts(t *testing.T) {
	n := newTestNet(t)
	n.startAll(8, nil)
	n.drain(n.nodes[3], "e1")
	n.wait("drain", hasDrain("e1"))
	n.start(1, "host-8", "127.0.0.1:0", nil)
	n.wait("drain at a host that joined later", hasDrain("e1"))
}

// Hosts without a watch get a new generation promptly only if peers report it. A newer
// generation at one host must reach all others, each of which reports it in turn.
func TestGeneration_ReportedByPeers(t *testing.T) {
	n := newTestNet(t)
	n.startAll(6, nil)
	n.nodes[2].generation.Store(7)
	n.wait("generation", func(node *testNode) bool {
		// A host to which the generation was reported puts it in force.
		if node.newest.Load() == 7 {
			node.generation.Store(7)
		}
		return node.generation.Load() == 7
	})
}

// After a partition into two halves heals, all hosts are alive again and know the drains
// that were raised on either side.
func TestPartition_HealsAndMergesDrains(t *testing.T) {
	n := newTestNet(t)
	n.startAll(6, nil)
	n.split(func(i int) int { return i % 2 })
	n.wait("hosts of the other partition not alive", func(node *testNode) bool { return alive(node) == 3 })
	n.drain(n.nodes[0], "west")
	n.drain(n.nodes[1], "east")
	n.split(func(int) int { return 0 })
	n.wait("all hosts alive again", func(node *testNode) bool { return alive(node) == 6 })
	n.wait("drains of both partitions", func(node *testNode) bool { return hasDrain("west")(node) && hasDrain("east")(node) })
}

// A killed host stops being alive in every table, and its next incarnation at the same
// address is alive again.
func TestKilledHost_ReturnsWithNewIncarnation(t *testing.T) {
	n := newTestNet(t)
	n.startAll(5, nil)
	victim := n.nodes[4]
	n.nodes = n.nodes[:4]
	victim.stop()
	n.wait("killed host not alive", func(node *testNode) bool { return alive(node) == 4 })
	n.start(2, string(victim.id), victim.address, nil)
	n.wait("new incarnation alive", func(node *testNode) bool { return alive(node) == 5 })
}

// With 20 % packet loss in both directions, drains still reach all hosts, and all hosts are
// alive once the loss ends.
func TestPacketLoss_UpdatesStillArrive(t *testing.T) {
	n := newTestNet(t)
	relays := &relayNet{t: t, random: rand.New(rand.NewPCG(7, 7))}
	n.startAll(6, relays.open)
	relays.lossPercent.Store(20)
	for i := range 5 {
		endpoint := fmt.Sprintf("e%d", i)
		n.drain(n.nodes[i], endpoint)
		n.wait(endpoint, hasDrain(endpoint))
	}
	if relays.dropped.Load() == 0 {
		t.Fatal("no packet was dropped")
	}
	relays.lossPercent.Store(0)
	n.wait("all alive", func(node *testNode) bool { return alive(node) == 6 })
}

// The generation items of all hosts must reach every host, in 20 rounds with growing
// versions. A lost item would make a host appear to lag behind although it does not.
func TestGenerationItems_ReachAllHosts(t *testing.T) {
	n := newTestNet(t)
	const hosts = 8
	n.startAll(hosts, nil)
	for round := range 20 {
		for _, node := range n.nodes {
			i := items.Item{Kind: items.Generation, Key: string(node.id), Version: uint64(round + 1), Generation: model.Generation(round + 1)}
			if err := node.service.AddItems(t.Context(), i); err != nil {
				t.Fatal(err)
			}
		}
		n.wait(fmt.Sprintf("round %d", round), func(node *testNode) bool {
			list := node.service.State().Generations
			for _, i := range list {
				if i.Version != uint64(round+1) {
					return false
				}
			}
			return len(list) == hosts
		})
	}
}
