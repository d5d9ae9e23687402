package front

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
	"oleanderfall.example/oleanderfall/internal/transport/configproof"
)

// revocationBound is the one of the operators' settings.
const revocationBound = 5 * time.Second

// newProvenFeed returns a feed with proofs whose only source are its own reads.
func newProvenFeed(t *testing.T) *replicaFeed {
	f := newReplicaFeed(t)
	f.put("conf/main", catalog.Config{Generation: 2, Teams: []catalog.Team{{Name: "t", Keys: []string{"k"}}}})
	f.replica.sync(t, f.objects)
	f.proofs = configproof.New(configproof.Options{
		Bound: revocationBound, Now: sinceBoot, Log: slog.New(slog.DiscardHandler),
		InForce: func() (uint64, bool) { c := f.catalog.Config(); return c.Generation, len(c.Teams) > 0 },
		Hub:     func() bool { return true }, Hosts: func() int { return 1 }, Peers: func() []string { return nil },
		Read: func(context.Context) error { return errors.New("not asked for") },
	}, prometheus.NewRegistry())
	return f
}

// The answer of a stale replica may lack a configuration that the store has confirmed, so it must not
// count as a proof, although it puts the configuration in force.
func TestFeed_StaleReadIsNoProof(t *testing.T) {
	f := newProvenFeed(t)
	if !f.readStale(context.Background()) || f.catalog.Generation() != 2 {
		t.Fatal("the stale read was not used")
	}
	if f.proofs.Check(context.Background(), 0) == nil {
		t.Error("a key was admitted after a stale read only")
	}
	f.readStore(context.Background(), true)
	if err := f.proofs.Check(context.Background(), 0); err != nil {
		t.Errorf("after a read of the store: %v", err)
	}
}

// Where keys can be revoked within a bound, the reader must read the configuration from the store
// itself once a second although the replica is up to date.
func TestFeed_ReadsForProofs(t *testing.T) {
	t.Parallel()
	f := newProvenFeed(t)
	const seconds = 4
	ctx, cancel := context.WithTimeout(context.Background(), seconds*time.Second)
	defer cancel()
	f.Run(ctx)
	if got := f.store.gets.Load(); got < seconds {
		t.Errorf("%d reads of the configuration from the store in %d s", got, seconds)
	}
}

// A host that the store rejects gets its proofs from peers. When the store serves no host, all of them
// refuse requests with keys from the bound on, as not run, and admit them when it is back.
func TestCheck_StoreLost(t *testing.T) {
	w := newTestCluster(t)
	w.put("conf/main", catalog.Config{Generation: 2, Teams: []catalog.Team{{Name: "t", Keys: []string{"k"}}}})
	var nodes []*testNode
	for _, host := range []string{"a", "b", "c"} {
		s := w.settings(host)
		s.RevocationBound = revocationBound
		nodes = append(nodes, w.startWith(s))
	}
	check := func(n *testNode) error { return n.Check(context.Background(), 200*time.Millisecond) }
	admitted := func() bool {
		for _, n := range nodes {
			if check(n) != nil {
				return false
			}
		}
		return true
	}
	w.waitUntil("all hosts admit keys", admitted)
	nodes[2].store.refusing.Store(true)
	for end := time.Now().Add(revocationBound + 2*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range nodes {
			if err := check(n); err != nil {
				t.Fatalf("host %s: %v", n.Settings.Host, err)
			}
		}
	}
	nodes[0].store.refusing.Store(true)
	nodes[1].store.refusing.Store(true)
	time.Sleep(revocationBound)
	for _, n := range nodes {
		var coded *resultcode.Error
		if err := check(n); !errors.As(err, &coded) || coded.Code != resultcode.ConfigurationStale {
			t.Errorf("host %s after the bound without the store: %v", n.Settings.Host, err)
		}
	}
	for _, n := range nodes {
		n.store.refusing.Store(false)
	}
	w.waitUntil("all hosts admit keys again", admitted)
}

// A peer of a build that does not know the call for a proof answers 404. The host must then prove its
// configuration itself, and not refuse keys for the time of a replacement of the hosts.
func TestCheck_PeersOfOlderBuild(t *testing.T) {
	w := newTestCluster(t)
	w.put("conf/main", catalog.Config{Generation: 2, Teams: []catalog.Team{{Name: "t", Keys: []string{"k"}}}})
	older := w.startWith(w.settings("a")) // without a bound it serves the same calls as an older build
	s := w.settings("b")
	s.RevocationBound = revocationBound
	n := w.startWith(s)
	check := func() bool { return n.Check(context.Background(), 200*time.Millisecond) == nil }
	w.waitUntil("keys are admitted", check)
	if _, err := n.feed.peerClient.ConfigProof(context.Background(), older.Settings.Host, false); !errors.Is(err, configproof.ErrUnsupported) {
		t.Errorf("a peer without proofs answered %v", err)
	}
	for end := time.Now().Add(revocationBound + 2*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !check() {
			t.Fatal("a key was refused")
		}
	}
}
