package front

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/coordination/storereads"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
	"oleanderfall.example/oleanderfall/internal/transport/configproof"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
)

const (
	// configProofPath is the path of the calls with which a peer asks for a proof.
	configProofPath = "/config-proof"
	// maxKeyWait bounds the wait for a proof on routes with a long objective.
	maxKeyWait = time.Second
	// defaultKeyObjective stands in for the objective of a route without one, so that the first
	// request with a key at an idle host can wait for a proof.
	defaultKeyObjective = time.Second
	// fetchPollInterval is the interval at which the end of a fetch that runs already is waited for.
	fetchPollInterval = 5 * time.Millisecond
)

// newConfigProofs returns the proofs of a node, nil if the settings have no bound for revocations.
func newConfigProofs(n *Node) *configproof.Prover {
	if n.Settings.RevocationBound <= 0 {
		return nil
	}
	return configproof.New(configproof.Options{
		Bound: n.Settings.RevocationBound, Now: sinceBoot, Log: logging.Component(n.params.Log, "proofs"),
		InForce: func() (uint64, bool) {
			c := n.Catalog.Config()
			if c == nil {
				return 0, false
			}
			return c.Generation, len(c.Teams) > 0
		},
		Hub: n.peers.IsHub, Hosts: func() int { return 1 + n.peers.Count() }, Peers: n.proofPeers,
		Ask: func(ctx context.Context, host string, refresh bool) ([]byte, error) {
			return n.feed.peerClient.ConfigProof(ctx, host, refresh)
		},
		FetchConfig: func(ctx context.Context, host string) { n.feed.fetchFrom(ctx, host) },
		Read:        func(ctx context.Context) error { return n.feed.readConfig(ctx) },
	}, n.params.Registry)
}

// Check returns nil if a request with a key may be admitted by this host; see configproof.Prover.Check.
// The key must be looked up in the configuration in force after Check: one that was found before may
// have been removed long ago.
func (n *Node) Check(ctx context.Context, wait time.Duration) error { return n.proofs.Check(ctx, wait) }

// KeyWait returns how long a request of a route with a key may wait in Check.
func KeyWait(route *catalog.Route) time.Duration {
	return min(time.Duration(maxSlotWaitShare*float64(cmp.Or(route.Objective, route.ResultsObjective, defaultKeyObjective))), maxKeyWait)
}

// proofPeers returns the live peers in the order in which they are asked for a proof: at a hub the
// hosts that read the store, else the hubs that this host uses, and then the others in random order.
func (n *Node) proofPeers() []string {
	candidates := n.peers.Candidates()
	for i := range candidates {
		candidates[i].Ready, candidates[i].CutOff = true, false
	}
	var out []string
	n.peers.mu.Lock()
	if !n.peers.table.IsHub() {
		out = n.peers.table.SelectedHubs()
	}
	n.peers.mu.Unlock()
	order := presence.SuccessionOrder(feedTask, candidates)
	if len(out) == 0 {
		out = order[:min(storereads.MaxReaders, len(order))]
	}
	listed := make(map[string]bool, len(candidates))
	for _, h := range out {
		listed[h] = true
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, c := range candidates {
		if !listed[c.Host] {
			out = append(out, c.Host)
		}
	}
	return out
}

// readConfig reads the configuration from the store, not from a stale replica, and puts it in force.
func (f *Feed) readConfig(ctx context.Context) error {
	sentAt := sinceBoot()
	o, err := f.store.Get(ctx, f.decoder.ConfigKey())
	if err != nil {
		return err
	}
	f.applyProven(o.Value, sentAt)
	return nil
}

// applyProven puts a configuration in force that a linearizable read, sent at a boot time, returned. A
// configuration that cannot be decoded proves nothing: it may have removed any key.
func (f *Feed) applyProven(value []byte, sentAt time.Duration) {
	if generation, ok := f.applyConfig(value, fromStore); ok {
		f.proofs.ObserveRead(sentAt, generation)
	}
	f.recordConfigRead(sentAt, true)
}

// fetchFrom fetches a peer's configuration and endpoints, or waits for a fetch that runs already.
func (f *Feed) fetchFrom(ctx context.Context, host string) {
	f.mu.Lock()
	running := f.fetching
	f.fetching = true
	f.mu.Unlock()
	if !running {
		f.fetch(ctx, host)
		return
	}
	for running && ctx.Err() == nil {
		time.Sleep(fetchPollInterval)
		f.mu.Lock()
		running = f.fetching
		f.mu.Unlock()
	}
}

// ConfigProof asks a peer for a proof of its configuration, see package configproof. Older builds
// answer that there is no such path.
func (c *PeerClient) ConfigProof(ctx context.Context, host string, refresh bool) ([]byte, error) {
	path := configProofPath
	if refresh {
		path += "?refresh=1"
	}
	raw, err := c.call(ctx, host, http.MethodGet, path, nil, 0)
	if errors.Is(err, errBatchNotActive) { // status 404
		return nil, configproof.ErrUnsupported
	}
	return raw, err
}
