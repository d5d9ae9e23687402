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
	noViewRetryAfter = 500 * time.Millisecond
	// suspectRetryAfter is the Retry-After of a request that is refused because another
	// request with the same suspect fingerprint is in flight.
	suspectRetryAfter = 200 * time.Millisecond
	// rateShareInterval is how often this host's share of a caller's rate is recomputed.
	rateShareInterval = 200 * time.Millisecond
	// writeGrace is how long after the deadline an answer may still be written.
	writeGrace = 5 * time.Second
	// defaultStreamTimeout is the deadline of a stream whose caller sets none.
	defaultStreamTimeout = 2 * time.Minute
)

// request is the state of one request of a caller.
type request struct {
	id     string
	target *target
	// config is the configuration in force when the request was received. It applies to the
	// entire request, even if a new view is received meanwhile.
	config   *model.Config
	headers  httpapi.RequestHeaders
	caller   model.Caller
	call     string
	body     []byte
	start    time.Time
	deadline time.Time
	record   *record
	// idempotent requests may be retried after an attempt that may have run.
	idempotent bool
	// claimChecked is set once the claim has been looked up. The outcome then also covers
	// earlier requests with the same idempotency key.
	claimChecked bool
	fingerprints []uint64
}

// readRequest checks the headers, caller and target of a request and reads its body. The
// returned request is never nil, but is incomplete if there is an error.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, id endpoints.Target) (*request, error) {
	q := &request{id: s.nextRequestID(), start: time.Now(), idempotent: true}
	q.record = &record{id: q.id, target: id.String(), start: q.start}
	v, t := s.lookup(id)
	if v == nil {
		return q, noViewFailure()
	}
	q.config = v.Config
	var err error
	if q.headers, err = httpapi.ParseRequestHeaders(r.Header); err != nil {
		return q, err
	}
	q.target = t
	if q.target == nil {
		return q, httpapi.NewFailure(resultcode.UnknownService, "No service or deployment has this name.")
	}
	caller, known := v.Config.Callers[q.headers.Caller]
	if !known {
		return q, httpapi.NewFailure(resultcode.UnknownCaller, "The caller is not in the configuration.")
	}
	q.caller = caller
	q.record.caller = q.headers.Caller
	s.history.insert(q.record)
	q.setDeadline(id)
	// A caller that does not read its answer must not hold a slot beyond the deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(q.deadline.Add(writeGrace))
	q.body, err = httpapi.ReadBody(w, r)
	return q, err
}

func (q *request) setDeadline(id endpoints.Target) {
	timeout := q.headers.Timeout
	if timeout == 0 {
		timeout = defaultStreamTimeout
		if service, ok := q.config.Services[id.Service]; ok {
			timeout = service.Timeout
		}
	}
	q.deadline = q.start.Add(timeout)
}

// priority returns the caller's priority. A request may lower it but not raise it.
func (q *request) priority() model.Priority {
	if q.headers.HasPriority {
		return min(q.headers.Priority, q.caller.Priority)
	}
	return q.caller.Priority
}

// contentFingerprintIndex is the index of the content's fingerprint in
// request.fingerprints.
const contentFingerprintIndex = 0

// fingerprint computes the fingerprints of the request: one of its content and, if it has
// an idempotency key, one of that key.
func (q *request) fingerprint(content []byte) {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(q.target.name + "|" + q.call + "|")
	_, _ = d.Write(content)
	q.fingerprints = []uint64{d.Sum64()}
	if q.headers.Key != "" {
		q.fingerprints = append(q.fingerprints, xxhash.Sum64String(string(q.headers.Caller)+"|"+q.target.name+"|"+q.headers.Key))
	}
}

func (q *request) remaining() time.Duration { return time.Until(q.deadline) }

// rateLimiter returns the rate limiter of a caller. s.rateMu must be held.
func (s *Server) rateLimiter(id model.CallerID) *callerRate {
	r := s.rates[id]
	if r == nil {
		r = &callerRate{}
		s.rates[id] = r
	}
	return r
}

// checkRate limits a caller to this host's share of its request rate.
func (s *Server) checkRate(q *request) error {
	v := s.view.Load()
	s.rateMu.Lock()
	defer s.rateMu.Unlock()
	r := s.rateLimiter(q.headers.Caller)
	now := time.Now()
	if now.Sub(r.limitUpdatedAt) >= rateShareInterval {
		r.limitUpdatedAt = now
		r.SetLimit(s.rateShare(v, q.headers.Caller, q.caller.RequestsPerSecond, r.Demand()))
	}
	ok, retryAfter := r.Allow(now)
	if ok {
		return nil
	}
	f := httpapi.NewFailure(resultcode.OverRate, "The caller is over its rate.")
	f.RetryAfter = retryAfter
	return f
}

// rateShare returns this host's share of a caller's rate, in requests per second. The rate
// is split over the live entry hosts by demand, or evenly over all configured entry hosts
// while this host is disconnected from its control program.
func (s *Server) rateShare(v *model.FleetView, id model.CallerID, rate, localDemand float64) float64 {
	if rate <= 0 {
		return 0
	}
	connected := s.connected.Load()
	hosts := len(entryHosts(v.Config))
	if connected {
		hosts = liveEntryHostCount(v)
	}
	totalDemand := admission.TotalDemand(v.Demands, id, s.opt.Host, localDemand)
	return admission.RateShare(rate, localDemand, totalDemand, hosts, connected)
}

// admit waits for a slot of the target. On success the caller releases the slot with
// gate.Leave. Otherwise the error is the refusal.
func (q *request) admit(ctx context.Context) (*admission.Request, error) {
	admissionRequest := &admission.Request{
		Caller:      q.headers.Caller,
		Priority:    q.priority(),
		Deadline:    q.deadline,
		CallerLimit: q.caller.MaxRunning,
	}
	d := q.target.gate.Enter(ctx, admissionRequest)
	if d.Verdict == admission.Run {
		q.record.add("admitted", "", "")
		return admissionRequest, nil
	}
	code, detail := resultcode.Overloaded, "The limit of the service or deployment is reached."
	switch d.Reason {
	case admission.ReasonDeadline:
		code, detail = resultcode.DeadlineTooShort, "The request could not end before its deadline."
	case admission.ReasonCaller:
		detail = "The caller has more requests here at once than its share."
	}
	f := httpapi.NewFailure(code, detail)
	f.RetryAfter = d.RetryAfter
	return nil, f
}

// trial is the quarantine's permission for one attempt. suspects are the fingerprints for
// which no other request may run at this host until endTrial.
type trial struct {
	suspects []uint64
}

// startTrial checks the fingerprints of a request against the quarantine before an
// attempt. The error is the refusal.
func (s *Server) startTrial(q *request) (trial, error) {
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
		for _, suspect := range t.suspects {
			s.quarantine.EndAttempt(suspect)
		}
		if verdict == quarantine.Busy {
			out := httpapi.NewFailure(resultcode.Overloaded, "A request like this one is being tried alone.")
			out.RetryAfter = suspectRetryAfter
			return trial{}, out
		}
		out := httpapi.NewFailure(resultcode.Quarantined, "Requests like this one crashed endpoints.")
		out.RetryAfter = wait
		return trial{}, out
	}
	return t, nil
}

// endTrial ends a trial. If the endpoint answered a suspect request, all fingerprints of
// the request are recorded as answered. Without suspects it does nothing.
func (s *Server) endTrial(q *request, t trial, answered bool) {
	if len(t.suspects) == 0 {
		return
	}
	now := time.Now()
	s.quarantineMu.Lock()
	defer s.quarantineMu.Unlock()
	for _, f := range t.suspects {
		s.quarantine.EndAttempt(f)
	}
	if !answered {
		return
	}
	for _, f := range q.fingerprints {
		s.quarantine.RecordAnswer(now, f)
	}
}

// recordCrash records that an endpoint crashed while it ran the request.
func (s *Server) recordCrash(q *request, endpoint model.EndpointID, startedAt time.Time) {
	now := time.Now()
	s.quarantineMu.Lock()
	for i, f := range q.fingerprints {
		s.quarantine.RecordCrash(now, f, quarantine.Crash{Endpoint: endpoint, StartedAt: startedAt, Shared: i == contentFingerprintIndex})
	}
	s.quarantineMu.Unlock()
	q.record.add("endpoint died", endpoint, "")
	s.requestReport()
}
