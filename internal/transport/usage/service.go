// Package usage counts the requests of each team that began to run at endpoints, collects the counts of
// all hosts at the holder of the duties lease, and reports them to the operator.
//
// Invariant: what is sent for a window is the stored object of that window, which is created once.
package usage

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/usage"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
)

const (
	// sendTimeout bounds the sending of counts.
	sendTimeout = 800 * time.Millisecond
	// settleAge is the age from which a request stays in its window whatever becomes of the offset.
	settleAge = 20 * time.Second
	// keepTime is how long a host without requests keeps counts whose decision it has not heard of.
	keepTime = time.Hour
	// clockInterval is the time after which a host without new counts sends a message all the same, so
	// that its clock counts for the binding time and it learns that.
	clockInterval = 5 * time.Minute
	// maxMessageSize bounds the counts in a message, at half of what a holder reads. After a long outage
	// those of many windows and teams are sent in several messages.
	maxMessageSize = 512 << 10
	// askStoreInterval is the time between two reads of the lease by a host that has counts and sees
	// no holder in heartbeats, as long as these pass through hubs of a build without duties.
	askStoreInterval = 5 * time.Second
)

// Lease is the duties lease as this host sees it; see duties.Lease.
type Lease interface {
	Token() uint64
	Confirmed(now time.Duration) bool
	Credentials(now time.Duration) (operatorapi.Credentials, bool)
	StoredHolder(ctx context.Context) (host string, token uint64, err error)
}

// Params are the dependencies of a Service.
type Params struct {
	Host string
	// Window is the length of a window, Due the time after its end at which its report is due.
	Window time.Duration
	Due    time.Duration
	Lease  Lease
	Calls  operatorapi.Client
	Store  objectapi.API
	// Holder returns the live peer that reports that it holds the duties lease and its fencing token,
	// empty if there is none. Liveness is that of the peers.
	Holder   func() (host string, token uint64)
	Liveness usage.Liveness
	// Send sends a message with counts to a peer and returns its answer.
	Send     func(ctx context.Context, host string, message []byte) ([]byte, error)
	Log      *slog.Logger
	Registry prometheus.Registerer
}

// Service counts, and reports while this host holds the duties lease. It is safe for concurrent use. A
// nil Service counts nothing.
type Service struct {
	Params
	windows usage.Windows
	source  usage.Source
	metrics *metrics
	// now returns the boot time, wall the Unix time of the wall clock. Tests replace them.
	now  func() time.Duration
	wall func() time.Duration

	mu      sync.Mutex
	counter *usage.Counter
	clock   *usage.Clock
	started time.Duration
	// decided is the last window that the holder has said to be decided.
	decided int64
	// revision counts the messages of this process. sentTo is the holder to which the counts in sent
	// were sent; another one, or the same host with another token, gets all.
	revision uint64
	sentTo   holder
	sent     map[int64]usage.Counts
	// greeted is the holder that answered the last message, at greetedAt. failing is set after a
	// message that was not answered.
	greeted   holder
	greetedAt time.Duration
	failing   bool
	// askedAt is when the lease was last read to find the holder.
	askedAt time.Duration
	// reporting is set while this host holds the duties lease.
	reporting *reporting
}

// holder is a holder of the duties lease.
type holder struct {
	host  string
	token uint64
}

// New returns a service and registers its metrics.
func New(p Params) *Service {
	return newService(p, clock.SinceBoot, func() time.Duration { return time.Duration(time.Now().UnixNano()) })
}

func newService(p Params, now, wall func() time.Duration) *Service {
	w := usage.Windows{Length: p.Window}
	return &Service{Params: p, windows: w, metrics: newMetrics(p.Registry), now: now, wall: wall,
		source:  usage.Source{Host: p.Host, Incarnation: int64(wall())},
		counter: usage.NewCounter(w), clock: usage.NewClock(now(), wall()), started: now(), sent: map[int64]usage.Counts{}}
}

// Request counts one request of a caller. A nil Request counts nothing.
type Request struct {
	service *Service
	counted *usage.Request
}

// Begin returns a request of a team; an empty name is no team. It is not counted yet.
func (s *Service) Begin(team string) *Request {
	if s == nil || team == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Request{s, s.counter.Begin(team)}
}

// Sent records that the request is being sent to an endpoint. The caller must call the function that it
// returns when the attempt has ended: ran reports whether the endpoint has run the request, refused
// whether it certainly has not.
func (r *Request) Sent() (ended func(ran, refused bool)) {
	if r == nil {
		return func(bool, bool) {}
	}
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	n := r.counted.Sent(s.now())
	return func(ran, refused bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case ran:
			r.counted.Ran(n)
		case refused:
			r.counted.Refused(n)
		}
	}
}

// Opened records that the request for a stream is being sent to an endpoint. It counts once Began is
// called, or if the function that it returns is called because the answer was lost.
func (r *Request) Opened() (lost func()) {
	if r == nil {
		return func() {}
	}
	at := r.service.now()
	return func() {
		r.service.mu.Lock()
		defer r.service.mu.Unlock()
		r.counted.Sent(at)
	}
}

// Began records that an event of a stream was received. Only the first one counts.
func (r *Request) Began() {
	if r == nil {
		return
	}
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.counted.Began(r.service.now())
}

// message carries the counts of a host to the holder. Reports has the cumulative counts of the windows
// that changed. Unix is the sender's time by its own clock, in nanoseconds.
type message struct {
	Source   usage.Source   `cbor:"1,keyasint"`
	Unix     int64          `cbor:"2,keyasint"`
	Revision uint64         `cbor:"3,keyasint"`
	Reports  []windowCounts `cbor:"4,keyasint"`
}

type windowCounts struct {
	Window int64        `cbor:"1,keyasint"`
	Counts usage.Counts `cbor:"2,keyasint"`
}

// answer answers a message. Unix is the binding time in nanoseconds, zero if the holder does not know
// it yet. All windows through Decided are decided, zero if the holder does not know yet.
type answer struct {
	NotHolder bool  `cbor:"1,keyasint,omitempty"`
	Unix      int64 `cbor:"2,keyasint,omitempty"`
	Decided   int64 `cbor:"3,keyasint,omitempty"`
}

// Run sends the counts of this host to the holder until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(usage.SendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sendCounts(ctx)
		}
	}
}

// Flush sends the counts of this host now, as far as the holder does not have them.
func (s *Service) Flush(ctx context.Context) { s.sendCounts(ctx) }

// sendCounts sends what changed since the last message, and a message without counts to a new holder.
func (s *Service) sendCounts(ctx context.Context) {
	var to holder
	if to.token = s.Lease.Token(); to.token != 0 {
		to.host = s.Host
	} else {
		to.host, to.token = s.Holder()
	}
	s.mu.Lock()
	now := s.now()
	s.clock.Observe(now, s.wall())
	s.counter.Settle(now-settleAge, s.clock.Offset())
	s.counter.Forget(s.windows.Index(now + s.clock.Offset() - keepTime))
	s.metrics.clockOffset.Set((s.wall() - now - s.clock.Offset()).Seconds())
	if to.host == s.Host {
		s.mergeOwn(now)
		s.sentTo = holder{}
		s.mu.Unlock()
		return
	}
	changed := s.changed(to)
	if to.host == "" && len(changed) > 0 && now-s.askedAt >= askStoreInterval {
		s.askedAt = now
		s.mu.Unlock()
		to = s.holderByStore(ctx)
		s.mu.Lock()
		changed = s.changed(to)
	}
	now = s.now()
	m := message{Source: s.source, Unix: int64(s.clock.Own(now)), Revision: s.revision, Reports: changed}
	due := len(changed) > 0 || s.greeted != to || now-s.greetedAt >= clockInterval
	s.mu.Unlock()
	if to.host != "" && due {
		s.send(ctx, to, &m)
	}
}

// holderByStore returns the holder that the stored lease names, empty if there is none or it is not
// alive.
func (s *Service) holderByStore(ctx context.Context) holder {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	host, token, err := s.Lease.StoredHolder(ctx)
	if err != nil {
		s.Log.Warn("Failed to read the holder of the duties lease", "err", err)
		return holder{}
	}
	if alive, _ := s.Liveness(host); !alive {
		return holder{}
	}
	return holder{host, token}
}

// changed returns the undecided windows whose counts differ from what was sent to a holder, the oldest
// ones that fit into a message, and increases the revision. The caller holds the lock.
func (s *Service) changed(to holder) []windowCounts {
	if to != s.sentTo {
		s.sentTo, s.sent = to, map[int64]usage.Counts{}
	}
	var out []windowCounts
	counts := s.counter.Counts(s.decided, s.clock.Offset())
	for w, c := range counts {
		if !maps.Equal(c, s.sent[w]) {
			out = append(out, windowCounts{w, c})
		}
	}
	for w, c := range s.sent {
		if counts[w] == nil && len(c) > 0 && w > s.decided {
			out = append(out, windowCounts{w, usage.Counts{}})
		}
	}
	s.revision++
	slices.SortFunc(out, func(a, b windowCounts) int { return cmp.Compare(a.Window, b.Window) })
	size := 0
	for i, w := range out {
		size += 16
		for team := range w.Counts {
			size += len(team) + 14 // the largest encoding of the length and the number
		}
		if i > 0 && size > maxMessageSize {
			return out[:i]
		}
	}
	return out
}

// send sends a message to a holder and processes its answer.
func (s *Service) send(ctx context.Context, to holder, m *message) {
	raw, err := cbor.Marshal(m)
	if err != nil {
		s.Log.Error("Failed to encode usage counts", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	sentAt := s.now()
	raw, err = s.Send(ctx, to.host, raw)
	var a answer
	if err == nil {
		err = cbor.Unmarshal(raw, &a)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.metrics.messages.WithLabelValues("failed").Inc()
		if !s.failing {
			s.failing = true
			s.Log.Warn("Failed to send usage counts; trying again each second", "holder", to.host, "err", err)
		}
		return
	case a.NotHolder:
		s.metrics.messages.WithLabelValues("not_holder").Inc()
		return
	}
	s.metrics.messages.WithLabelValues("sent").Inc()
	s.greeted, s.greetedAt, s.failing = to, s.now(), false
	for _, r := range m.Reports {
		s.sent[r.Window] = r.Counts
	}
	if a.Unix != 0 {
		s.clock.Adopt(sentAt, s.now(), time.Duration(a.Unix))
	}
	s.setDecided(a.Decided)
}

// setDecided forgets the counts of decided windows. The caller holds the lock.
func (s *Service) setDecided(through int64) {
	if through <= s.decided {
		return
	}
	s.decided = through
	s.counter.Forget(through)
	maps.DeleteFunc(s.sent, func(w int64, _ usage.Counts) bool { return w <= through })
}

// errNoMessage means that a peer's message could not be read.
var errNoMessage = errors.New("no message with usage counts")

// Receive processes a peer's message and returns the answer.
func (s *Service) Receive(raw []byte) ([]byte, error) {
	var m message
	if err := cbor.Unmarshal(raw, &m); err != nil || m.Source.Host == "" {
		return nil, errors.Join(errNoMessage, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.reporting
	if r == nil {
		return cbor.Marshal(answer{NotHolder: true})
	}
	now := s.now()
	s.clock.Vote(now, m.Source.Host, time.Duration(m.Unix))
	a := answer{}
	if s.clock.Decide(now) || r.settled(now) {
		a.Unix = int64(now + s.clock.Offset())
	}
	if r.loaded {
		a.Decided = r.collector.Decided()
	}
	r.collector.Heard(m.Source, now+s.clock.Offset())
	for _, w := range m.Reports {
		if r.collector.Merge(usage.Report{Source: m.Source, Window: w.Window, Revision: m.Revision, Counts: w.Counts}) {
			r.changed = true
		}
	}
	return cbor.Marshal(a)
}

// mergeOwn adds the counts of this host to those it collects. The caller holds the lock.
func (s *Service) mergeOwn(now time.Duration) {
	r := s.reporting
	if r == nil {
		return
	}
	s.clock.Decide(now)
	r.collector.Heard(s.source, now+s.clock.Offset())
	s.revision++
	counts := s.counter.Counts(s.decided, s.clock.Offset())
	for w := range s.sent {
		if counts[w] == nil && w > s.decided {
			counts[w] = usage.Counts{}
		}
	}
	for w, c := range counts {
		s.sent[w] = c
		if r.collector.Merge(usage.Report{Source: s.source, Window: w, Revision: s.revision, Counts: c}) {
			r.changed = true
		}
	}
}
