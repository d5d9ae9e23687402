package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/admission"
	"oleanderfall.example/oleanderfall/internal/coordination/quarantine"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/endpoints"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

const (
	noViewRetry = 500 * time.Millisecond
	// suspectRetry is when to send a request again whose like is being tried alone.
	suspectRetry = 200 * time.Millisecond
	// shareInterval is how often a caller's share of its rate is worked out.
	shareInterval = 200 * time.Millisecond
	// writeGrace is the time after the deadline in which an answer may be written.
	writeGrace = 5 * time.Second
	// streamTimeout bounds a stream whose caller gives no deadline.
	streamTimeout = 2 * time.Minute
)

// request is one caller's request on its way.
type request struct {
	id     string
	target *target
	// config is the configuration that the whole request goes by.
	config   *model.Config
	meta     httpapi.Meta
	caller   model.Caller
	call     string
	body     []byte
	start    time.Time
	deadline time.Time
	record   *record
	// idempotent requests may be repeated after an attempt that may have run.
	idempotent bool
	// claimRead says that the outcome covers the earlier sendings under its key.
	claimRead    bool
	fingerprints []uint64
}

// read checks a request's headers, caller and target, and reads its body.
func (s *Server) read(w http.ResponseWriter, r *http.Request, id endpoints.Target) (*request, error) {
	q := &request{id: s.nextID(), start: time.Now(), idempotent: true}
	q.record = &record{id: q.id, target: id.String(), start: q.start}
	v, t := s.lookup(id)
	if v == nil {
		return q, noView()
	}
	q.config = v.Config
	var err error
	if q.meta, err = httpapi.ReadMeta(r.Header); err != nil {
		return q, err
	}
	q.target = t
	if q.target == nil {
		return q, httpapi.Fail(resultcode.UnknownService, "No service or deployment has this name.")
	}
	caller, known := v.Config.Callers[q.meta.Caller]
	if !known {
		return q, httpapi.Fail(resultcode.UnknownCaller, "The caller is not in the configuration.")
	}
	q.caller = caller
	q.record.caller = q.meta.Caller
	s.history.begin(q.record)
	q.setDeadline(id)
	// A caller that does not read must not hold a slot beyond its deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(q.deadline.Add(writeGrace))
	q.body, err = httpapi.ReadBody(w, r)
	return q, err
}

func (q *request) setDeadline(id endpoints.Target) {
	timeout := q.meta.Timeout
	if timeout == 0 {
		timeout = streamTimeout
		if service, ok := q.config.Services[id.Service]; ok {
			timeout = service.Timeout
		}
	}
	q.deadline = q.start.Add(timeout)
}

// priority is the caller's class of work; a request may lower it.
func (q *request) priority() model.Priority {
	if q.meta.HasPriority {
		return min(q.meta.Priority, q.caller.Priority)
	}
	return q.caller.Priority
}

// contentFingerprint is the index of the content's fingerprint.
const contentFingerprint = 0

// fingerprint names the request by its content and by its idempotency key.
func (q *request) fingerprint(content []byte) {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(q.target.name + "|" + q.call + "|")
	_, _ = d.Write(content)
	q.fingerprints = []uint64{d.Sum64()}
	if q.meta.Key != "" {
		q.fingerprints = append(q.fingerprints, xxhash.Sum64String(string(q.meta.Caller)+"|"+q.target.name+"|"+q.meta.Key))
	}
}

func (q *request) left() time.Duration { return time.Until(q.deadline) }

// callerRate returns the bucket of a caller.
func (s *Server) callerRate(id model.CallerID) *callerRate {
	r := s.rates[id]
	if r == nil {
		r = &callerRate{}
		s.rates[id] = r
	}
	return r
}

// checkRate holds a caller to this host's share of its rate.
func (s *Server) checkRate(q *request) error {
	v := s.view.Load()
	s.rateMu.Lock()
	defer s.rateMu.Unlock()
	r := s.callerRate(q.meta.Caller)
	now := time.Now()
	if now.Sub(r.limited) >= shareInterval {
		r.limited = now
		r.SetLimit(s.rateShare(v, q.meta.Caller, q.caller.RequestsPerSecond, r.Demand()))
	}
	ok, retryAfter := r.Allow(now)
	if ok {
		return nil
	}
	f := httpapi.Fail(resultcode.OverRate, "The caller is over its rate.")
	f.RetryAfter = retryAfter
	return f
}

// rateShare splits a caller's rate over the entry hosts: by demand, or evenly over
// all configured hosts when this host is cut off.
func (s *Server) rateShare(v *model.FleetView, id model.CallerID, total, own float64) float64 {
	if total <= 0 {
		return 0
	}
	connected := s.connected.Load()
	hosts := len(entryHosts(v.Config))
	if connected {
		hosts = liveEntryHosts(v)
	}
	sum := admission.TotalDemand(v.Demands, id, s.opt.Host, own)
	return admission.RateShare(total, own, sum, hosts, connected)
}

// admit takes a slot of the target; the caller of admit gives it back by leave.
func (q *request) admit(ctx context.Context) (*admission.Ticket, error) {
	ticket := &admission.Ticket{
		Caller:      q.meta.Caller,
		Priority:    q.priority(),
		Deadline:    q.deadline,
		CallerLimit: q.caller.MaxRunning,
	}
	d := q.target.gate.Enter(ctx, ticket)
	if d.Verdict == admission.Run {
		q.record.add("admitted", "", "")
		return ticket, nil
	}
	code, detail := resultcode.Overloaded, "The limit of the service or deployment is reached."
	switch d.Reason {
	case admission.ReasonDeadline:
		code, detail = resultcode.DeadlineTooShort, "The request could not end before its deadline."
	case admission.ReasonCaller:
		detail = "The caller has more requests here at once than its share."
	}
	f := httpapi.Fail(code, detail)
	f.RetryAfter = d.RetryAfter
	return nil, f
}

// trial is the quarantine's leave to make one attempt.
type trial struct {
	suspects []uint64
}

// try asks the quarantine for leave to make an attempt.
func (s *Server) try(q *request) (trial, error) {
	now := time.Now()
	s.quarantineMu.Lock()
	defer s.quarantineMu.Unlock()
	var t trial
	for _, f := range q.fingerprints {
		verdict, wait := s.quarantine.Check(now, f)
		switch verdict {
		case quarantine.Suspect:
			t.suspects = append(t.suspects, f)
			continue
		case quarantine.Clear:
			continue
		}
		for _, held := range t.suspects {
			s.quarantine.EndTrial(held)
		}
		if verdict == quarantine.Busy {
			out := httpapi.Fail(resultcode.Overloaded, "A request like this one is being tried alone.")
			out.RetryAfter = suspectRetry
			return trial{}, out
		}
		out := httpapi.Fail(resultcode.Quarantined, "Requests like this one crashed endpoints.")
		out.RetryAfter = wait
		return trial{}, out
	}
	return t, nil
}

// endTrial notes how an attempt ended for the quarantine.
func (s *Server) endTrial(q *request, t trial, answered bool) {
	if len(t.suspects) == 0 {
		return
	}
	now := time.Now()
	s.quarantineMu.Lock()
	defer s.quarantineMu.Unlock()
	for _, f := range t.suspects {
		s.quarantine.EndTrial(f)
	}
	if !answered {
		return
	}
	for _, f := range q.fingerprints {
		s.quarantine.RecordAnswer(now, f)
	}
}

// died notes that an endpoint died running the request.
func (s *Server) died(q *request, endpoint model.EndpointID, began time.Time) {
	now := time.Now()
	s.quarantineMu.Lock()
	for i, f := range q.fingerprints {
		s.quarantine.RecordCrash(now, f, quarantine.Crash{Endpoint: endpoint, StartedAt: began, Shared: i == contentFingerprint})
	}
	s.quarantineMu.Unlock()
	q.record.add("endpoint died", endpoint, "")
	s.wake()
}
