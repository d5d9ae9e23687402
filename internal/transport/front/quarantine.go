package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/coordination/quarantine"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// connectionCheckTimeout bounds the check whether an endpoint that broke the connection of a
// request still accepts connections. A running endpoint does so within a few milliseconds.
const connectionCheckTimeout = 300 * time.Millisecond

// Quarantine is a quarantine.List that is safe for concurrent use and exchanges its entries
// with the other hosts by heartbeat.
type Quarantine struct {
	mu   sync.Mutex
	list *quarantine.List
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine { return &Quarantine{list: quarantine.New()} }

// fingerprint returns a hash of the parts of a request that stay the same when its caller
// retries it. The request ID does not.
func fingerprint(in *Inbound) uint64 {
	h := xxhash.New()
	// Writes to a hash never fail.
	_, _ = h.WriteString(in.Host + "\x00" + in.Method + "\x00" + in.URI + "\x00")
	_, _ = h.Write(in.Body)
	return h.Sum64()
}

func (q *Quarantine) check(f uint64) (quarantine.Verdict, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Check(time.Now(), f)
}

func (q *Quarantine) endTrial(f uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.EndAttempt(f)
}

func (q *Quarantine) recordAnswer(f uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.RecordAnswer(time.Now(), f)
}

// recordCrash records that an endpoint was unreachable after the connection of a request had
// broken. It reports whether the crash is a new one.
func (q *Quarantine) recordCrash(f uint64, e catalog.Endpoint, began time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.RecordCrash(time.Now(), f, quarantine.Crash{Endpoint: model.EndpointID(e.ID), StartedAt: began})
}

// FillHeartbeat adds the entries found by this host to a heartbeat.
func (q *Quarantine) FillHeartbeat(h *presence.Heartbeat) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.list.Report(time.Now()) {
		h.Quarantine = append(h.Quarantine, presence.QuarantinedRequest{Fingerprint: r.Fingerprint, Crashes: r.Crashes, Consecutive: r.Consecutive, RemainingMs: r.Remaining.Milliseconds()})
	}
}

// ReceiveHeartbeat merges the entries reported by a peer.
func (q *Quarantine) ReceiveHeartbeat(h presence.Heartbeat) {
	if len(h.Quarantine) == 0 {
		return
	}
	var reports []model.QuarantinedRequest
	for _, r := range h.Quarantine {
		reports = append(reports, model.QuarantinedRequest{
			Fingerprint: r.Fingerprint, Crashes: r.Crashes, Consecutive: r.Consecutive, Remaining: time.Duration(r.RemainingMs) * time.Millisecond,
		})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.Merge(time.Now(), reports)
}

// checkForCrash checks whether the endpoint still accepts connections if the connection of an
// attempt has broken. If it does not, it records a crash for the request's fingerprint.
func (f *Forwarder) checkForCrash(fingerprint uint64, e catalog.Endpoint, began time.Time, err error) {
	if !errors.Is(err, backend.ErrIncompleteAnswer) || errors.Is(err, backend.ErrPathLost) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectionCheckTimeout)
	defer cancel()
	if checked := f.client.CheckConnection(ctx, e); checked == nil || errors.Is(checked, backend.ErrPathLost) {
		return
	}
	if f.quarantine.recordCrash(fingerprint, e, began) {
		f.log.Warn("Endpoint unreachable after it started a request", "fingerprint", fingerprint, "endpoint", e.ID, "err", err)
		f.announce()
	}
}
