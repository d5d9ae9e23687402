package front

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/transport/duties"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	"oleanderfall.example/oleanderfall/internal/transport/usage"
)

const (
	// dutiesTokenPath is the path of the calls that ask a host for the fencing token with which it
	// holds the duties lease, usagePath that of the messages with counts of requests.
	dutiesTokenPath = "/duties-token"
	usagePath       = "/usage-counts"
	// maxUsageMessage bounds a message with counts.
	maxUsageMessage = 1 << 20
)

// operatorDuties are the duties that one host at a time performs for the operator. It is nil if the
// settings name no operator's API.
type operatorDuties struct {
	lease *duties.Lease
	// calls sends the calls of all duties.
	calls *duties.Calls
	// usage is nil if usage is not reported.
	usage *usage.Service
	// run are the duties.
	run []func(context.Context)
}

// newOperatorDuties returns the duties that the settings name, nil if there are none.
func newOperatorDuties(n *Node, store *objectapi.Client, peerClient *PeerClient) *operatorDuties {
	p := n.params
	reportsUsage := p.Settings.OperatorAPI.ReportsUsage && p.Settings.UsageWindow > 0
	if p.Operator == nil || p.Settings.OperatorAPI.Address == "" || !reportsUsage && !p.Settings.OperatorAPI.ScalesServices {
		return nil
	}
	log := logging.Component(p.Log, "duties")
	d := &operatorDuties{}
	d.lease = duties.NewLease(duties.Settings{Host: p.Settings.Host, Distance: p.Settings.Lease}, store, duties.Fleet{
		Peers: n.peers.Alive, Candidates: func() []presence.Candidate { return append(n.peers.Candidates(), n.candidate()) },
		Ready: n.Ready, Draining: n.Draining, StoreReachable: n.storePath.Reachable, Announce: func() { n.membership.Announce() },
		AskToken: peerClient.DutiesToken,
	}, log, p.Registry)
	d.calls = duties.NewCalls(d.lease, p.Operator, p.Settings.OperatorAPI.CallsPerSecond, log, p.Registry)
	if reportsUsage {
		d.usage = usage.New(usage.Params{
			Host: p.Settings.Host, Window: p.Settings.UsageWindow, Due: cmp.Or(p.Settings.UsageDue, 2*p.Settings.UsageWindow), Lease: d.lease, Calls: d.calls, Store: store,
			Holder: n.peers.dutiesHolder, Liveness: n.peers.liveness,
			Send: peerClient.SendUsage, Log: logging.Component(p.Log, "usage"), Registry: p.Registry,
		})
		d.run = append(d.run, d.usage.Report)
	}
	return d
}

// Run acquires the lease and performs the duties while this host holds it, until ctx ends.
func (d *operatorDuties) Run(ctx context.Context) {
	if d == nil {
		return
	}
	if d.usage != nil {
		go d.usage.Run(ctx)
	}
	d.lease.Run(ctx, d.run...)
}

// flush sends the last counts of this host to the holder, on a planned stop.
func (d *operatorDuties) flush() {
	if d == nil || d.usage == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	d.usage.Flush(ctx)
}

// usageService returns the service that counts requests, nil if usage is not reported.
func (d *operatorDuties) usageService() *usage.Service {
	if d == nil {
		return nil
	}
	return d.usage
}

func (d *operatorDuties) fillHeartbeat(h *presence.Heartbeat) {
	if d != nil {
		h.DutiesToken, h.Duties = d.lease.Token(), d.lease.State()
	}
}

// handler returns the handler of the peers' calls: those about duties, and next for the others.
func (d *operatorDuties) handler(next http.Handler) http.Handler {
	if d == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet && r.URL.Path == dutiesTokenPath:
			_, _ = io.WriteString(w, strconv.FormatUint(d.lease.Token(), 10))
		case r.Method == http.MethodPost && r.URL.Path == usagePath && d.usage != nil:
			raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxUsageMessage))
			if err == nil {
				raw, err = d.usage.Receive(raw)
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			_, _ = w.Write(raw)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// DutiesToken asks a host for the fencing token with which it holds the duties lease. It is zero if the
// host does not hold the lease or does not know it.
func (c *PeerClient) DutiesToken(ctx context.Context, host string) (uint64, error) {
	raw, err := c.call(ctx, host, http.MethodGet, dutiesTokenPath, nil, 0)
	if errors.Is(err, errBatchNotActive) { // status 404
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(strings.TrimSpace(string(raw)), 10, 64)
}

// SendUsage sends a message with counts to a host and returns its answer.
func (c *PeerClient) SendUsage(ctx context.Context, host string, message []byte) ([]byte, error) {
	return c.call(ctx, host, http.MethodPost, usagePath, message, 0)
}

// dutiesHolder returns the live peer that reports that it holds the duties lease, and its fencing
// token.
func (p *Peers) dutiesHolder() (host string, token uint64) {
	for _, m := range p.Alive() {
		if m.DutiesToken > token {
			host, token = m.Host, m.DutiesToken
		}
	}
	return host, token
}

// liveness reports whether a peer is alive and how long there has been no sign of life of it; see
// usage.Liveness of package coordination/usage.
func (p *Peers) liveness(host string) (alive bool, silent time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	heard := p.table.LastHeard(host)
	if heard.IsZero() {
		return p.table.Alive(now, host), -1
	}
	return p.table.Alive(now, host), now.Sub(heard)
}

// beginUsage returns the count of a caller's request.
func (f *Forwarder) beginUsage(in *Inbound) *usage.Request {
	if in.Scoring {
		return nil
	}
	return f.usage.Begin(in.Team)
}
