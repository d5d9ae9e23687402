package front

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/links"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/httpanswer"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// maxRelaysTried is the number of peers that a request is offered to until one takes it.
	maxRelaysTried = 3
	// maxRelayedRequests bounds the requests that a host sends for its peers at the same time. A
	// host that has more refuses them, and the peer tries another one.
	maxRelayedRequests = 256
	// relayChunkBytes is the size of the parts in which an answer is sent to a peer.
	relayChunkBytes = 64 << 10
	// maxRelayedAnswerBytes bounds the answers from relays that are buffered at the same time.
	maxRelayedAnswerBytes = 16 << 20
	// maxIdleRelayConns is the number of idle connections to a peer that are kept.
	maxIdleRelayConns = 24
	// linkedPeersTTL is how long the list of peers with links is used, since a large fleet has
	// hundreds of hosts. A peer that lost its links meanwhile declines.
	linkedPeersTTL = 50 * time.Millisecond
	// relayPath is the path of the calls with which a peer has requests sent to endpoints.
	relayPath = "/endpoint-requests"
)

// relayedKind is the method of backend.Client that a relay is to call.
type relayedKind uint8

const (
	relayedDo relayedKind = iota + 1
	relayedStream
	relayedGenerate
	relayedCheck
)

// relayedRequest is a request that a host without links has a peer send to an endpoint. The peer sends
// it once at most.
type relayedRequest struct {
	Kind        relayedKind      `cbor:"1,keyasint"`
	Endpoint    catalog.Endpoint `cbor:"2,keyasint"`
	ID          string           `cbor:"3,keyasint,omitempty"`
	Host        string           `cbor:"4,keyasint,omitempty"`
	Method      string           `cbor:"5,keyasint,omitempty"`
	URI         string           `cbor:"6,keyasint,omitempty"`
	Header      http.Header      `cbor:"7,keyasint,omitempty"`
	Body        []byte           `cbor:"8,keyasint,omitempty"`
	RemainingMs int64            `cbor:"9,keyasint,omitempty"`
	ResumeAfter int              `cbor:"10,keyasint,omitempty"`
	Urgency     int              `cbor:"11,keyasint,omitempty"`
	Repeatable  bool             `cbor:"12,keyasint,omitempty"`
	Team        string           `cbor:"13,keyasint,omitempty"`
}

// relayedPart is a part of a relay's answer, which is a sequence of them: Head first, then Chunks or
// Events, and End last. An answer without End is incomplete.
type relayedPart struct {
	Head  *relayedHead   `cbor:"1,keyasint,omitempty"`
	Chunk []byte         `cbor:"2,keyasint,omitempty"`
	Event *backend.Event `cbor:"3,keyasint,omitempty"`
	End   *relayedEnd    `cbor:"4,keyasint,omitempty"`
}

// relayedHead is the status and the header of an endpoint's answer.
type relayedHead struct {
	Status    int         `cbor:"1,keyasint"`
	Header    http.Header `cbor:"2,keyasint"`
	Signature string      `cbor:"3,keyasint,omitempty"`
}

// relayedEnd is the outcome of a relayed request.
type relayedEnd struct {
	// Declined is set if the relay did not send the request and another relay may: it has no links
	// itself, is stopping or has too many requests.
	Declined bool `cbor:"1,keyasint,omitempty"`
	// Errors is a set of relayedErrors, Detail the text of the error. Both are empty after success.
	Errors uint32 `cbor:"2,keyasint,omitempty"`
	Detail string `cbor:"3,keyasint,omitempty"`
}

// relayedErrors are the kinds of errors that a relay reports; the bit of each is its position. The
// positions are part of the protocol between hosts.
var relayedErrors = []error{
	backend.ErrNotRun, backend.ErrUnreachable, backend.ErrReplaced, backend.ErrIncompleteAnswer, backend.ErrFailed, backend.ErrInvalidRequest,
	backend.ErrPathLost,
}

func newRelayedEnd(err error) *relayedEnd {
	end := &relayedEnd{}
	if err == nil {
		return end
	}
	end.Detail = err.Error()
	for i, kind := range relayedErrors {
		if errors.Is(err, kind) {
			end.Errors |= 1 << i
		}
	}
	return end
}

// err returns the error that the relay reported, nil after success.
func (e *relayedEnd) err(relay string) error {
	if e.Errors == 0 && e.Detail == "" {
		return nil
	}
	var kinds []error
	for i, kind := range relayedErrors {
		if e.Errors&(1<<i) != 0 {
			kinds = append(kinds, kind)
		}
	}
	return errors.Join(append(kinds, fmt.Errorf("through peer %q: %s", relay, e.Detail))...)
}

// errDeclined means that a relay did not send a request. It comes with backend.ErrNotRun.
var errDeclined = errors.New("the peer does not send requests for others now")

// endpointRelays sends this host's requests to endpoints through its peers.
type endpointRelays struct {
	settings Settings
	peers    *Peers
	http     *http.Client
	requests *prometheus.CounterVec
	// bufferedBytes is the size of the answers being received.
	bufferedBytes atomic.Int64

	mu sync.Mutex
	// running is the number of requests that run through each peer.
	running map[string]int
	// linked are the peers with links as of linkedAt, those that drain only if there are no others.
	linked   []presence.Member
	linkedAt time.Time
}

func newEndpointRelays(s Settings, peers *Peers, reg prometheus.Registerer) *endpointRelays {
	dialer := &net.Dialer{
		Timeout:         peerDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	r := &endpointRelays{settings: s, peers: peers, running: map[string]int{},
		http: &http.Client{Transport: httpanswer.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleRelayConns, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
			ExpectContinueTimeout: peerDialTimeout,
		})},
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_front_relayed_requests_total", Help: "Requests to endpoints that this host sent through peers, by outcome.",
		}, []string{"outcome"})}
	reg.MustRegister(r.requests)
	return r
}

// count returns the number of peers through which requests can be sent.
func (r *endpointRelays) count() int { return len(r.candidates(nil, "")) }

// candidates returns the peers through which a request to an endpoint in the given zone can be sent.
func (r *endpointRelays) candidates(tried []string, zone string) []links.Relay {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.linkedAt) > linkedPeersTTL {
		r.linked = slices.DeleteFunc(r.peers.Alive(), func(p presence.Member) bool { return p.CutOff })
		if slices.ContainsFunc(r.linked, func(p presence.Member) bool { return !p.Draining }) {
			r.linked = slices.DeleteFunc(r.linked, func(p presence.Member) bool { return p.Draining })
		}
		r.linkedAt = time.Now()
	}
	out := make([]links.Relay, 0, len(r.linked))
	for _, p := range r.linked {
		if slices.Contains(tried, p.Host) {
			continue
		}
		out = append(out, links.Relay{Host: p.Host, Near: p.Zone == r.settings.Zone || p.Zone == zone, Requests: r.running[p.Host], Capacity: float64(p.Capacity)})
	}
	return out
}

func (r *endpointRelays) begin(host string) (end func()) {
	r.mu.Lock()
	r.running[host]++
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.running[host]--; r.running[host] == 0 {
			delete(r.running, host)
		}
	}
}

// send has a peer send a request, and passes the parts of the answer to receive. It offers the request
// to other peers while none has taken it. The error is backend.ErrNotRun and backend.ErrPathLost if
// none did, and backend.ErrIncompleteAnswer and backend.ErrPathLost if the answer of the one that did
// was lost.
func (r *endpointRelays) send(ctx context.Context, request *relayedRequest, receive func(*relayedPart) error) error {
	body, err := cbor.Marshal(request)
	if err != nil {
		return errors.Join(backend.ErrNotRun, err)
	}
	declined := errors.New("no peer reaches the endpoints")
	var tried []string
	for len(tried) < maxRelaysTried && ctx.Err() == nil {
		relay, ok := links.PickRelay(r.candidates(tried, request.Endpoint.Zone), rand.IntN)
		if !ok {
			break
		}
		tried = append(tried, relay.Host)
		began := false
		err := r.sendThrough(ctx, relay.Host, body, func(part *relayedPart) error {
			began = true
			return receive(part)
		})
		if began && errors.Is(err, errDeclined) {
			// Another peer must not go on with an answer that has begun.
			err = errors.Join(backend.ErrIncompleteAnswer, backend.ErrPathLost, errors.New(err.Error()))
		}
		if !errors.Is(err, errDeclined) {
			r.requests.WithLabelValues(outcomeOf(err)).Inc()
			return err
		}
		declined = err
	}
	r.requests.WithLabelValues("no_peer").Inc()
	// The errors of peers that declined are only text here: they say nothing about the endpoint.
	return errors.Join(backend.ErrNotRun, backend.ErrPathLost, errors.New(declined.Error()))
}

// outcomeOf returns the outcome of a relayed request for the metrics.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, backend.ErrPathLost):
		return "lost"
	}
	return "failed"
}

// sendThrough sends a request through one peer. The error is errDeclined if the peer did not take it.
func (r *endpointRelays) sendThrough(ctx context.Context, host string, body []byte, receive func(*relayedPart) error) error {
	defer r.begin(host)()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the request at the peer if the answer is not read to its end
	resp, err := r.post(ctx, host, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	parts := decoding.NewDecoder(resp.Body)
	for {
		var part relayedPart
		if err := parts.Decode(&part); err != nil {
			return errors.Join(backend.ErrIncompleteAnswer, backend.ErrPathLost, fmt.Errorf("answer through peer %q: %w", host, err))
		}
		switch {
		case part.End == nil:
			if err := receive(&part); err != nil {
				return err
			}
			continue
		case part.End.Declined:
			return errors.Join(errDeclined, backend.ErrNotRun, part.End.err(host))
		}
		_, _ = io.Copy(io.Discard, resp.Body) // the connection is reused after the last byte
		return part.End.err(host)
	}
}

// post sends the call to a peer and returns its response. The error is errDeclined if the call
// certainly did not reach the peer.
func (r *endpointRelays) post(ctx context.Context, host string, body []byte) (*http.Response, error) {
	p, ok := r.peers.Get(host)
	if !ok {
		return nil, errors.Join(errDeclined, fmt.Errorf("peer %q is not alive", host))
	}
	once := &onceBody{body: bytes.NewReader(body)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.PeerAddress+relayPath, once)
	if err != nil {
		return nil, errors.Join(errDeclined, err)
	}
	req.ContentLength = int64(len(body))
	if p.Draining {
		// The peer closes its connections soon. It then cannot have run a call whose body it has not asked for.
		req.Header.Set("Expect", "100-continue")
	}
	resp, err := r.http.Do(req)
	switch {
	case err != nil && once.bar():
		return nil, errors.Join(errDeclined, err)
	case err != nil:
		return nil, errors.Join(backend.ErrIncompleteAnswer, backend.ErrPathLost, err)
	case resp.StatusCode != http.StatusOK:
		_ = resp.Body.Close()
		return nil, errors.Join(errDeclined, fmt.Errorf("peer %q answered with HTTP status %d", host, resp.StatusCode))
	}
	return resp, nil
}

// errBodyBarred is returned to net/http instead of a body that must not be sent any more.
var errBodyBarred = errors.New("the call has failed")

// onceBody is a body that net/http cannot send a second time by itself, since it does not know the type of its
// reader. It knows whether any part of it was taken to be sent.
type onceBody struct {
	mu            sync.Mutex
	body          *bytes.Reader
	taken, barred bool
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.barred {
		return 0, errBodyBarred
	}
	b.taken = true
	return b.body.Read(p)
}

// Close implements io.Closer.
func (b *onceBody) Close() error { return nil }

// bar keeps the body from being sent, and reports whether no part of it was.
func (b *onceBody) bar() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.barred = true
	return !b.taken
}

func newRelayedRequest(kind relayedKind, r *backend.Request) *relayedRequest {
	return &relayedRequest{Kind: kind, Endpoint: r.Endpoint, ID: r.ID, Host: r.Host, Method: r.Method, URI: r.URI,
		Header: r.Header, Body: r.Body, RemainingMs: max(time.Until(r.Deadline).Milliseconds(), 1), Repeatable: r.Repeatable, Team: r.Team}
}

// answer returns the answer with this head. A peer of an older build may pass on heads that are none.
func (h *relayedHead) answer() (*backend.Answer, error) {
	if err := httpanswer.CheckHead(h.Status, h.Header); err != nil {
		return nil, errors.Join(backend.ErrIncompleteAnswer, err)
	}
	return &backend.Answer{Status: h.Status, Header: h.Header, Signature: h.Signature}, nil
}

// errUnexpectedPart means that the parts of a relay's answer are not those of the request's kind.
var errUnexpectedPart = errors.New("unexpected part of an answer")

// do is backend.Client.Do through a peer.
func (r *endpointRelays) do(ctx context.Context, request backend.Request) (*backend.Answer, error) {
	var answer *backend.Answer
	reserved := int64(0)
	defer func() { r.bufferedBytes.Add(-reserved) }()
	err := r.send(ctx, newRelayedRequest(relayedDo, &request), func(part *relayedPart) error {
		switch {
		case part.Head != nil && answer == nil:
			var err error
			answer, err = part.Head.answer()
			return err
		case part.Chunk == nil || answer == nil:
			return errors.Join(backend.ErrIncompleteAnswer, errUnexpectedPart)
		}
		size := int64(len(part.Chunk))
		reserved += size
		if r.bufferedBytes.Add(size) > maxRelayedAnswerBytes {
			return errors.Join(backend.ErrIncompleteAnswer, fmt.Errorf("answers from peers take more than %d bytes together", maxRelayedAnswerBytes))
		}
		answer.Body = append(answer.Body, part.Chunk...)
		return nil
	})
	if err == nil && answer == nil {
		err = errors.Join(backend.ErrIncompleteAnswer, errUnexpectedPart)
	}
	if err != nil {
		return nil, err
	}
	return answer, nil
}

func newRelayedGenerateRequest(kind relayedKind, g *backend.GenerateRequest) *relayedRequest {
	request := newRelayedRequest(kind, &g.Request)
	request.ResumeAfter, request.Urgency = g.ResumeAfter, g.Urgency
	return request
}

// stream is backend.Client.Stream through a peer.
func (r *endpointRelays) stream(ctx context.Context, g backend.GenerateRequest, writeHead func(*backend.Answer) error, writeChunk func([]byte) error) error {
	return r.send(ctx, newRelayedGenerateRequest(relayedStream, &g), func(part *relayedPart) error {
		switch {
		case part.Head != nil:
			answer, err := part.Head.answer()
			if err != nil {
				return err
			}
			return writeHead(answer)
		case part.Chunk != nil:
			return writeChunk(part.Chunk)
		}
		return errors.Join(backend.ErrIncompleteAnswer, errUnexpectedPart)
	})
}

// generate is backend.Client.Generate through a peer.
func (r *endpointRelays) generate(ctx context.Context, g backend.GenerateRequest, emit func(backend.Event) error) error {
	return r.send(ctx, newRelayedGenerateRequest(relayedGenerate, &g), func(part *relayedPart) error {
		if part.Event == nil {
			return errors.Join(backend.ErrIncompleteAnswer, errUnexpectedPart)
		}
		return emit(*part.Event)
	})
}

// checkConnection is backend.Client.CheckConnection through a peer.
func (r *endpointRelays) checkConnection(ctx context.Context, e catalog.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return r.send(ctx, &relayedRequest{Kind: relayedCheck, Endpoint: e}, func(*relayedPart) error {
		return errors.Join(backend.ErrIncompleteAnswer, errUnexpectedPart)
	})
}
