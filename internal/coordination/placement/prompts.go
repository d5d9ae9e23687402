package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/prompts"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// maxDelayCost bounds the cost of a delay by unread prompts. It is far below ejectedCost.
	maxDelayCost = 100
	// maxDelayEvents bounds the events over which a delay is spread. Without the bound, the delay
	// of a request with hundreds of events would cost less than a tie-break.
	maxDelayEvents = 8
	// maxReportedQueues bounds the queues that a heartbeat reports.
	maxReportedQueues = 16
	// minFadeInterval is the least time between two reductions of the peers' queues at an endpoint. It
	// bounds their cost at a hub, to which dozens of hosts report at different times.
	minFadeInterval = 10 * time.Millisecond
)

// entryPrompts is what is known of the prompts at one endpoint.
type entryPrompts struct {
	cache prompts.Cache
	rate  prompts.Rate
	// local counts the requests of this host whose first event has not come, and their unread tokens.
	local queue
	// byPeer holds the queues that each peer reported, less what the endpoint can have read until
	// peersAt, and peers their sum.
	byPeer  map[string]queue
	peers   queue
	peersAt time.Time
	// reportedPerToken is the reading time of a token that a peer last reported for the endpoint, to
	// be passed on.
	reportedPerToken time.Duration
}

// queue is a number of unread tokens and of the requests to which they belong.
type queue struct{ tokens, requests int }

func (q *queue) add(o queue)      { q.tokens, q.requests = q.tokens+o.tokens, q.requests+o.requests }
func (q *queue) subtract(o queue) { q.tokens, q.requests = q.tokens-o.tokens, q.requests-o.requests }

// servicePrompts is what is known of the prompts of one service.
type servicePrompts struct {
	sizes prompts.Sizes
	// rate covers all endpoints, for those of which this host knows too little.
	rate prompts.Rate
	// reportedPerToken is the reading time of a token at a usual endpoint of the service, from the
	// last report of a peer about one of them. It is used while rate is unknown.
	reportedPerToken time.Duration
	// queued has the endpoints with unread prompts.
	queued map[*entry]struct{}
}

func (t *Table) servicePrompts(service string) *servicePrompts {
	s := t.prompts[service]
	if s == nil {
		s = &servicePrompts{queued: map[*entry]struct{}{}}
		t.prompts[service] = s
	}
	return s
}

// updateQueued adds the endpoint to those with unread prompts, or removes it from them.
func (t *Table) updateQueued(e *entry) {
	if t.entries[e.endpoint.ID] == e && (e.prompts.local.tokens > 0 || e.prompts.peers.tokens > 0) {
		t.servicePrompts(e.endpoint.Service).queued[e] = struct{}{}
	} else if s := t.prompts[e.endpoint.Service]; s != nil { // a plain service gets no entry
		delete(s.queued, e)
	}
}

// Reading is a request whose prompt an endpoint has to read.
type Reading struct {
	// Unread is the number of tokens of the prompt that the endpoint has to read, Ahead that of
	// the prompts before it.
	Unread, Ahead int
	// Long is set if the unread part is long compared with those of other requests.
	Long bool

	entry *entry
	began time.Time
	// parts are the leading parts that the endpoint reads for this request first.
	parts []uint64
	// measurable is set if the request need not wait for a slot of the endpoint.
	measurable bool
	ended      bool
}

// BeginReading records that an endpoint has to read the prompt of a request, after Begin. It returns
// nil if the length of the prompt is unknown or the endpoint was removed.
func (t *Table) BeginReading(now time.Time, ep catalog.Endpoint, p prompts.Prompt) *Reading {
	e := t.instance(&ep)
	if e == nil || p.Tokens <= 0 {
		return nil
	}
	s := t.servicePrompts(ep.Service)
	// The baseline is the one that Pick computed: another time of computing it would change which
	// endpoints Pick selects.
	perToken, _ := t.perToken(e, t.baselines[ep.Service].serviceTime)
	unread := e.prompts.cache.Unread(&p)
	s.sizes.Add(unread)
	r := &Reading{entry: e, began: now, Unread: unread, Ahead: e.unread(now, perToken).tokens, Long: unread > s.sizes.LongFrom(unread),
		parts: e.prompts.cache.Add(&p), measurable: e.load() <= e.endpoint.Slots}
	e.prompts.local.add(queue{unread, 1})
	t.updateQueued(e)
	return r
}

// PromptRead records that the first event of a request came. It returns the time that took, zero
// if it was recorded before. The reading may be nil.
func (t *Table) PromptRead(now time.Time, r *Reading) time.Duration {
	if r == nil || r.ended {
		return 0
	}
	t.endReading(r)
	took := now.Sub(r.began)
	if r.measurable {
		r.entry.prompts.rate.Add(r.Ahead+r.Unread, took)
		t.servicePrompts(r.entry.endpoint.Service).rate.Add(r.Ahead+r.Unread, took)
	}
	return took
}

// EndReading records that a request ended. It has no effect after PromptRead. The reading may be nil.
func (t *Table) EndReading(r *Reading) {
	if r == nil || r.ended {
		return
	}
	t.endReading(r)
	r.entry.prompts.cache.Remove(r.parts)
}

func (t *Table) endReading(r *Reading) {
	r.ended = true
	r.entry.prompts.local.subtract(queue{r.Unread, 1})
	t.updateQueued(r.entry)
}

// forgetPrompts forgets the prompts that an endpoint has read. It is called when its weights change,
// with which cached prompts become invalid.
func (e *entry) forgetPrompts() { e.prompts.cache = prompts.Cache{} }

// unread returns the unread prompts at an endpoint from all hosts. Those of peers are as old as the
// last heartbeat, so what the endpoint has read since is subtracted.
func (e *entry) unread(now time.Time, perToken time.Duration) queue {
	q := e.peerQueue(now, perToken)
	q.add(e.prompts.local)
	return q
}

// peerQueue returns the unread prompts at an endpoint from peers.
func (e *entry) peerQueue(now time.Time, perToken time.Duration) queue {
	q := e.prompts.peers
	if perToken > 0 && q.tokens > 0 {
		q.tokens = max(q.tokens-int(now.Sub(e.prompts.peersAt)/perToken), 0)
	}
	if q.tokens == 0 {
		q.requests = 0
	}
	return q
}

// scaled returns the queue with a share of its tokens.
func (q queue) scaled(share float64) queue {
	if q.tokens = int(float64(q.tokens) * share); q.tokens == 0 {
		return queue{}
	}
	return q
}

// fadePeerQueues subtracts what an endpoint can have read since peersAt from the queues of all peers,
// before that of one of them changes: those of the others are as old as before.
func (t *Table) fadePeerQueues(now time.Time, e *entry) {
	p := &e.prompts
	if p.peers.tokens > 0 {
		if now.Sub(p.peersAt) < minFadeInterval {
			return
		}
		if perToken, ok := t.perToken(e, t.baselines[e.endpoint.Service].serviceTime); ok {
			share := float64(e.peerQueue(now, perToken).tokens) / float64(p.peers.tokens)
			p.peers = queue{}
			for host, q := range p.byPeer {
				p.byPeer[host] = q.scaled(share)
				p.peers.add(p.byPeer[host])
			}
		}
	}
	p.peersAt = now
}

// perToken returns the time in which an endpoint reads a token; ok is false if it is not known. An
// endpoint of which this host knows too little is taken to read slower than the others by as much
// as its last service time exceeds the baseline.
func (t *Table) perToken(e *entry, baseline time.Duration) (d time.Duration, ok bool) {
	if d, ok = t.ownPerToken(e, baseline); ok {
		return d, true
	}
	s := t.servicePrompts(e.endpoint.Service)
	return time.Duration(float64(s.reportedPerToken) * e.relativeServiceTime(baseline)), s.reportedPerToken > 0
}

// ownPerToken is perToken without what peers reported.
func (t *Table) ownPerToken(e *entry, baseline time.Duration) (d time.Duration, ok bool) {
	if d, ok = e.prompts.rate.PerToken(); ok {
		return d, true
	}
	d, ok = t.servicePrompts(e.endpoint.Service).rate.PerToken()
	return time.Duration(float64(d) * e.relativeServiceTime(baseline)), ok
}

// relativeServiceTime returns the last service time of an endpoint relative to the baseline, 1 if one
// of them is unknown.
func (e *entry) relativeServiceTime(baseline time.Duration) float64 {
	if baseline <= 0 || e.serviceTime <= 0 {
		return 1
	}
	return float64(e.serviceTime) / float64(baseline)
}

// delayUnit returns the time in which delays are measured: the baseline of the service times or, if
// that is unknown, the mean time to the first event.
func (s *servicePrompts) delayUnit(baseline time.Duration) time.Duration {
	if baseline > 0 {
		return baseline
	}
	firstEvent, _ := s.rate.Mean(0)
	return firstEvent
}

// promptDelays computes the costs of the delays by unread prompts for one query.
type promptDelays struct {
	table    *Table
	now      time.Time
	prompt   *prompts.Prompt
	baseline time.Duration
	// longFrom is the number of unread tokens above which a prompt is long.
	longFrom int
	// unit is the delay that costs as much as the service time of a usual endpoint.
	unit float64
	// random differs between queries.
	random uint64
}

// promptDelays returns nil if delays do not matter for a query: the length of its prompt is unknown,
// or no endpoint of the service has unread prompts.
func (t *Table) promptDelays(now time.Time, q *Query, baseline time.Duration, random uint64) *promptDelays {
	if q.Prompt.Tokens <= 0 {
		return nil
	}
	s := t.prompts[q.Service]
	if s == nil || len(s.queued) == 0 {
		return nil
	}
	unit := float64(s.delayUnit(baseline)) * float64(min(max(q.Prompt.Events, 1), maxDelayEvents))
	if unit == 0 {
		return nil
	}
	return &promptDelays{table: t, now: now, prompt: &q.Prompt, baseline: baseline, unit: unit, random: random, longFrom: s.sizes.LongFrom(q.Prompt.Tokens)}
}

// cost returns the cost of the delay at an endpoint. It is zero if the unread prompts there and that
// of the query are of the usual size: the load covers those.
func (d *promptDelays) cost(e *entry) float64 {
	if d == nil {
		return 0
	}
	p := &e.prompts
	if p.local.tokens == 0 && p.peers.tokens == 0 && d.prompt.Tokens <= d.longFrom {
		return 0
	}
	perToken, ok := d.table.perToken(e, d.baseline)
	if !ok {
		return 0
	}
	tokens := 0
	if ahead := e.unread(d.now, perToken); ahead.tokens > ahead.requests*d.longFrom {
		tokens = ahead.tokens
	}
	if own := p.cache.Unread(d.prompt); own > d.longFrom {
		tokens += own
		if len(d.table.queuesByPeer) > 0 {
			// Up to the prompt's own reading time is added at random: hosts that send long prompts
			// between two heartbeats would all choose the same engine.
			bits := (uint64(e.key) ^ d.random) * 0x9e3779b97f4a7c15 >> 54
			tokens += int(float64(own) * float64(bits) / 1024)
		}
	}
	return min(float64(tokens)*float64(perToken)/d.unit, maxDelayCost)
}

// SumQueues returns the unread prompts of this host and of the peers that include selects, by
// EndpointKey: those that take longer to read than an event, at most maxReportedQueues.
func (t *Table) SumQueues(now time.Time, include func(host string) bool) map[uint32]prompts.Queue {
	type reported struct {
		key   uint32
		queue prompts.Queue
	}
	var all []reported
	for service, s := range t.prompts {
		if len(s.queued) == 0 {
			continue
		}
		baseline := t.baselines[service].serviceTime // see BeginReading
		unit := s.delayUnit(baseline)
		for e := range s.queued {
			perToken, known := t.perToken(e, baseline)
			share := 1.0
			if known && e.prompts.peers.tokens > 0 {
				share = float64(e.peerQueue(now, perToken).tokens) / float64(e.prompts.peers.tokens)
			}
			q := e.prompts.local
			for host, peer := range e.prompts.byPeer {
				if include(host) {
					q.add(peer.scaled(share))
				}
			}
			if !known {
				// Prompts of one size do not show the rate, but whether they take long.
				_, perToken = s.rate.Mean(unit)
			}
			if q.tokens <= 0 || time.Duration(q.tokens)*perToken < unit {
				continue
			}
			out := prompts.Queue{Tokens: uint32(min(q.tokens, math.MaxUint32)), Requests: uint16(min(q.requests, math.MaxUint16))}
			// What peers reported is passed on unchanged: if it were derived for this endpoint again, hosts
			// that know no rate of their own would raise each other's with every heartbeat.
			if own, ok := t.ownPerToken(e, baseline); ok {
				out.NanosPerToken = uint32(min(own, math.MaxUint32))
			} else {
				out.NanosPerToken = uint32(min(e.prompts.reportedPerToken, math.MaxUint32))
			}
			all = append(all, reported{e.key, out})
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b reported) int { return cmp.Compare(b.queue.Tokens, a.queue.Tokens) })
	out := map[uint32]prompts.Queue{}
	for _, r := range all[:min(len(all), maxReportedQueues)] {
		out[r.key] = r.queue
	}
	return out
}

// LongQueued reports whether an engine has long prompts to read, of this host or of the peers that
// include selects, that take longer than an event. A host that has sent no prompts to a service itself
// does not know which are long there, and takes none to be.
func (t *Table) LongQueued(now time.Time, include func(host string) bool) bool {
	for key, q := range t.SumQueues(now, include) {
		for _, e := range t.byKey[key] {
			longFrom := t.servicePrompts(e.endpoint.Service).sizes.LongFrom(0)
			if longFrom > 0 && int(q.Tokens) > int(q.Requests)*longFrom {
				return true
			}
		}
	}
	return false
}

// SetPeerQueues replaces the unread prompts that a peer reported, by EndpointKey; nil removes them.
func (t *Table) SetPeerQueues(now time.Time, host string, reported map[uint32]prompts.Queue) {
	for _, e := range t.queuesByPeer[host] {
		t.fadePeerQueues(now, e)
		e.prompts.peers.subtract(e.prompts.byPeer[host])
		delete(e.prompts.byPeer, host)
		t.updateQueued(e)
	}
	delete(t.queuesByPeer, host)
	for key, r := range reported {
		for _, e := range t.byKey[key] {
			if e.prompts.byPeer == nil {
				e.prompts.byPeer = map[string]queue{}
			}
			t.fadePeerQueues(now, e)
			q := queue{int(r.Tokens), int(r.Requests)}
			e.prompts.byPeer[host] = q
			e.prompts.peers.add(q)
			t.queuesByPeer[host] = append(t.queuesByPeer[host], e)
			t.updateQueued(e)
			if r.NanosPerToken > 0 {
				service := e.endpoint.Service
				e.prompts.reportedPerToken = time.Duration(r.NanosPerToken)
				t.servicePrompts(service).reportedPerToken = time.Duration(float64(r.NanosPerToken) / e.relativeServiceTime(t.baselines[service].serviceTime))
			}
		}
	}
}

// ClearPeerQueues removes the unread prompts of all peers.
func (t *Table) ClearPeerQueues(now time.Time) {
	for _, host := range slices.Collect(maps.Keys(t.queuesByPeer)) {
		t.SetPeerQueues(now, host, nil)
	}
}

// UnreadTokens returns the unread tokens of this host's requests at all endpoints.
func (t *Table) UnreadTokens() int {
	n := 0
	for _, s := range t.prompts {
		for e := range s.queued {
			n += e.prompts.local.tokens
		}
	}
	return n
}

// PromptServices returns the names of the services to which requests with prompts were sent, by this host
// or by peers, sorted.
func (t *Table) PromptServices() []string { return slices.Sorted(maps.Keys(t.prompts)) }

// ReadingRate returns how many tokens the endpoints of a service read in a millisecond, zero if that
// is not known, and from which number of unread tokens on a prompt is long.
func (t *Table) ReadingRate(service string) (tokensPerMs float64, longFrom int) {
	s := t.prompts[service]
	if s == nil {
		return 0, 0
	}
	if perToken, ok := s.rate.PerToken(); ok && perToken > 0 {
		tokensPerMs = float64(time.Millisecond) / float64(perToken)
	}
	return tokensPerMs, s.sizes.LongFrom(0)
}
