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

// reachTimeout bounds the look whether an endpoint that broke an answer off is still
// there; a living one takes a connection in some ms.
const reachTimeout = 300 * time.Millisecond

// Quarantine shares the list of requests that crash endpoints with the other hosts.
type Quarantine struct {
	mu   sync.Mutex
	list *quarantine.List
}

// NewQuarantine returns an empty one.
func NewQuarantine() *Quarantine { return &Quarantine{list: quarantine.New()} }

// fingerprint names a request by what its caller sends again: not by its id.
func fingerprint(in *Inbound) uint64 {
	h := xxhash.New()
	// Writes to a hash do not fail.
	_, _ = h.WriteString(in.Host + "\x00" + in.Method + "\x00" + in.URI + "\x00")
	_, _ = h.Write(in.Body)
	return h.Sum64()
}

func (q *Quarantine) check(f uint64) (quarantine.Verdict, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Check(time.Now(), f)
}

func (q *Quarantine) done(f uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.EndTrial(f)
}

func (q *Quarantine) answered(f uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.RecordAnswer(time.Now(), f)
}

// died notes that an endpoint was gone after it broke a request off.
func (q *Quarantine) died(f uint64, e catalog.Endpoint, began time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.RecordCrash(time.Now(), f, quarantine.Crash{Endpoint: model.EndpointID(e.ID), StartedAt: began})
}

// Describe tells peers what was found here.
func (q *Quarantine) Describe(h *presence.Heartbeat) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.list.Report(time.Now()) {
		h.Quarantine = append(h.Quarantine, presence.QuarantinedRequest{Fingerprint: r.Fingerprint, Crashes: r.Crashes, RemainingMs: r.Remaining.Milliseconds()})
	}
}

// Heard takes over what a peer found.
func (q *Quarantine) Heard(h presence.Heartbeat) {
	if len(h.Quarantine) == 0 {
		return
	}
	var reports []model.QuarantinedRequest
	for _, s := range h.Quarantine {
		reports = append(reports, model.QuarantinedRequest{
			Fingerprint: s.Fingerprint, Crashes: s.Crashes, Remaining: time.Duration(s.RemainingMs) * time.Millisecond,
		})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.Merge(time.Now(), reports)
}

// suspect looks whether an endpoint that broke an attempt off is gone, and notes it
// against the request.
func (f *Forwarder) suspect(print uint64, e catalog.Endpoint, began time.Time, err error) {
	if !errors.Is(err, backend.ErrBroken) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	if f.client.Reach(ctx, e) == nil {
		return
	}
	if f.quarantine.died(print, e, began) {
		f.log.Warn("An endpoint is gone after it began a request.", "fingerprint", print, "endpoint", e.ID, "err", err)
		f.announce()
	}
}
