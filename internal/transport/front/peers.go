package front

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/mux"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/httpanswer"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/batches"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
)

const (
	// peerDialTimeout bounds the opening of a connection between hosts, which takes a few
	// milliseconds.
	peerDialTimeout = 400 * time.Millisecond
	// peerCallTimeout bounds a call between hosts, in addition to the wait that it requests.
	peerCallTimeout = 800 * time.Millisecond
	// submitWait is the time that the owner of a forwarded batch has for its writes to the
	// store, in addition to peerCallTimeout.
	submitWait = 400 * time.Millisecond
	// submitConflict is the answer to a forwarded batch that is known with other content.
	submitConflict = "conflict"
	// maxPeerBody bounds the body of a call between hosts, which is at most a page of results
	// or one object.
	maxPeerBody = 4 << 20
	// maxForwardedBatch bounds the content of a batch that a peer forwards, and the body of a sample in it. It
	// exceeds what callers may submit.
	maxForwardedBatch = 64 << 20
)

// errPeerUnreachable means that a call did not reach its host.
var errPeerUnreachable = errors.New("the peer is not reachable")

// errBatchNotActive means that a host does not run the batch it was asked about. Peers answer it
// with status 404.
var errBatchNotActive = errors.New("the peer does not run the batch")

// PeerClient is the client for calls between hosts. Its methods fail if the host is not
// alive.
type PeerClient struct {
	peers *Peers
	http  *http.Client
	// waits bounds the calls that wait for results. Each keeps a connection for up to seconds.
	waits chan struct{}
}

// NewPeerClient returns a client for the hosts in peers. Of the given number of descriptors for connections to others, half
// may be connections to one host, and a quarter calls that wait for results.
func NewPeerClient(peers *Peers, descriptors int) *PeerClient {
	return &PeerClient{peers: peers, waits: make(chan struct{}, max(1, descriptors/4)), http: &http.Client{Transport: httpanswer.NewTransport(&http.Transport{
		DialContext:     (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
		IdleConnTimeout: 10 * time.Second,
		MaxConnsPerHost: max(1, descriptors/2),
	})}}
}

// call sends a call to a host and returns the body of its answer, which has at most maxPeerBody bytes. wait is
// added to the time that a call has.
func (c *PeerClient) call(ctx context.Context, host, method, path string, body []byte, wait time.Duration) ([]byte, error) {
	return c.callWithin(ctx, maxPeerBody, host, method, path, body, wait)
}

// callWithin is call for an answer of at most maxBytes. A larger one is an error.
func (c *PeerClient) callWithin(ctx context.Context, maxBytes int64, host, method, path string, body []byte, wait time.Duration) ([]byte, error) {
	p, ok := c.peers.Get(host)
	if !ok {
		return nil, errors.Join(errPeerUnreachable, fmt.Errorf("peer %q is not alive", host))
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.PeerAddress+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			err = errors.Join(errPeerUnreachable, err)
		}
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(raw)) > maxBytes:
		return nil, fmt.Errorf("peer %q answered with more than %d bytes", host, maxBytes)
	case resp.StatusCode == http.StatusNotFound:
		return nil, errBatchNotActive
	case resp.StatusCode/100 != 2:
		return nil, fmt.Errorf("peer %q answered with HTTP status %d", host, resp.StatusCode)
	}
	return raw, nil
}

// Feed returns the configuration and the endpoints that a peer knows. have is the generation
// of the configuration in force at this host; the peer leaves out the same generation.
func (c *PeerClient) Feed(ctx context.Context, host string, have uint64) (feedState, error) {
	raw, err := c.call(ctx, host, http.MethodGet, "/feed?have="+strconv.FormatUint(have, 10), nil, 0)
	if err != nil {
		return feedState{}, err
	}
	var s feedState
	return s, decoding.Unmarshal(raw, &s)
}

// Roster returns the live hosts that a peer knows, including itself.
func (c *PeerClient) Roster(ctx context.Context, host string) ([]presence.RosterEntry, error) {
	raw, err := c.call(ctx, host, http.MethodGet, "/roster", nil, 0)
	if err != nil {
		return nil, err
	}
	var roster []presence.RosterEntry
	return roster, decoding.Unmarshal(raw, &roster)
}

// errPageOutdated means that an empty page arrived so late that the position may have been read since.
var errPageOutdated = errors.New("the empty page of the peer is outdated")

// Results reads results from the batch's owner. It waits up to the given time if there are
// none from position after on, and does not wait if too many calls do.
func (c *PeerClient) Results(ctx context.Context, host, team, id string, after int, wait time.Duration) (Page, error) {
	if wait > 0 {
		select {
		case c.waits <- struct{}{}:
			defer func() { <-c.waits }()
		default:
			wait = 0
		}
	}
	q := url.Values{"after": {strconv.Itoa(after)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	if team != "" {
		q.Set(teamParameter, team)
	}
	began := time.Now()
	raw, err := c.call(ctx, host, http.MethodGet, "/batches/"+id+"/results?"+q.Encode(), nil, wait)
	if err != nil {
		return Page{}, err
	}
	var page Page
	if err := decoding.Unmarshal(raw, &page); err != nil {
		return Page{}, err
	}
	if took := time.Since(began); page.ValidMs > 0 && took > time.Duration(page.ValidMs)*time.Millisecond {
		return Page{}, fmt.Errorf("%w: valid for %d ms, arrived after %v", errPageOutdated, page.ValidMs, took)
	}
	return page, nil
}

// Body reads the request body of a sample from the batch's owner.
func (c *PeerClient) Body(ctx context.Context, host, team, id, sample string) ([]byte, error) {
	return c.callWithin(ctx, maxForwardedBatch, host, http.MethodGet, "/batches/"+id+"/samples/"+url.PathEscape(sample)+teamQuery(team), nil, 0)
}

// RecordEnd asks the batch's owner to record in its manifest that the trainer has ended it.
func (c *PeerClient) RecordEnd(ctx context.Context, host, team, id string) error {
	_, err := c.call(ctx, host, http.MethodPost, "/batches/"+id+"/record-end"+teamQuery(team), nil, 0)
	return err
}

// NotifyEnd notifies the batch's owner that the trainer has ended the batch.
func (c *PeerClient) NotifyEnd(ctx context.Context, host, id string) error {
	_, err := c.call(ctx, host, http.MethodPost, "/batches/"+id+"/end", nil, 0)
	return err
}

// TakeOver asks a peer to take over a batch. The peer does so in the background.
func (c *PeerClient) TakeOver(ctx context.Context, host, id string) error {
	_, err := c.call(ctx, host, http.MethodPost, "/batches/"+id+"/adopt", nil, 0)
	return err
}

// Submit forwards the content of a batch to the host that is to run it. The error is
// resultcode.StepConflict if that host knows the batch with other content, and
// errPeerUnreachable if the batch did not reach it. After any other error the batch may have
// been accepted.
func (c *PeerClient) Submit(ctx context.Context, host string, content []byte) error {
	raw, err := c.call(ctx, host, http.MethodPost, "/batches", content, submitWait)
	if err != nil {
		return err
	}
	if string(raw) == submitConflict {
		return codedError(resultcode.StepConflict, "the batch was submitted with other content")
	}
	return nil
}

// SendGroups sends the hashes of an accepted batch's groups to a peer.
func (c *PeerClient) SendGroups(ctx context.Context, host string, hashes []uint64) error {
	raw, err := cbor.Marshal(hashes)
	if err != nil {
		return err
	}
	_, err = c.call(ctx, host, http.MethodPost, "/groups", raw, 0)
	return err
}

// peerHandler serves the calls of the other hosts.
func (n *Node) peerHandler() http.Handler {
	relay := &relayServer{
		path: n.endpoints, fleet: n.Forwarder.fleet, draining: n.Draining, mayFinish: n.mayRelay,
		track: n.TrackRequest, bodies: n.Bodies, log: logging.Component(n.params.Log, "endpoints"),
	}
	r := newPeerHandler(n.params.Store, n.peers, n.feed, n.Batches, n.permits, n.Forwarder.origins, relay)
	if n.proofs != nil {
		r.Handle(configProofPath, n.proofs).Methods(http.MethodGet)
	}
	return n.duties.handler(r)
}

// newPeerHandler returns the handler of the calls of PeerClient. It also relays store calls for hosts
// that the store does not serve directly, and requests to endpoints for hosts without links to them.
func newPeerHandler(direct objectapi.API, peers *Peers, feed *Feed, b *Batches, p *Permits, o *StreamOrigins, relay http.Handler) *mux.Router {
	r := mux.NewRouter().SkipClean(true)
	r.PathPrefix("/v1/").Handler(objectapi.NewHandler(direct))
	r.HandleFunc("/feed", func(w http.ResponseWriter, r *http.Request) {
		have, err := strconv.ParseUint(r.URL.Query().Get("have"), 10, 64)
		if err != nil {
			http.Error(w, "have is no generation", http.StatusBadRequest)
			return
		}
		answer, err := feed.Answer(have)
		if err != nil {
			peerError(w, err)
			return
		}
		answer.write(w, r)
	}).Methods(http.MethodGet)
	r.HandleFunc("/roster", func(w http.ResponseWriter, r *http.Request) {
		writeAnswer(w, r, peers.Roster())
	}).Methods(http.MethodGet)
	r.HandleFunc("/batches/{id}/results", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.Atoi(r.URL.Query().Get("after"))
		if err != nil {
			http.Error(w, "after is no number", http.StatusBadRequest)
			return
		}
		waitMs, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		if err != nil {
			http.Error(w, "wait_ms is no number", http.StatusBadRequest)
			return
		}
		page, err := b.resultsForPeer(r.Context(), r.URL.Query().Get(teamParameter), mux.Vars(r)["id"], after, time.Duration(waitMs)*time.Millisecond)
		if err != nil {
			peerError(w, err)
			return
		}
		writeAnswer(w, r, page)
	}).Methods(http.MethodGet)
	r.HandleFunc("/batches/{id}/samples/{sample}", func(w http.ResponseWriter, r *http.Request) {
		body, err := b.bodyForPeer(r.Context(), r.URL.Query().Get(teamParameter), mux.Vars(r)["id"], mux.Vars(r)["sample"])
		if err != nil {
			peerError(w, err)
			return
		}
		_, _ = w.Write(body)
	}).Methods(http.MethodGet)
	r.HandleFunc("/batches", func(w http.ResponseWriter, r *http.Request) {
		content, release, err := b.bodies.ReadBody(r.Context(), http.MaxBytesReader(w, r.Body, maxForwardedBatch), r.ContentLength, BatchBodyCopies)
		if isCode(err, resultcode.Overloaded) {
			peerError(w, err)
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		defer release()
		switch err := b.submitEncoded(r.Context(), content); {
		case isCode(err, resultcode.StepConflict):
			_, _ = io.WriteString(w, submitConflict)
		case err != nil:
			peerError(w, err)
		}
	}).Methods(http.MethodPost)
	r.HandleFunc("/demand", func(w http.ResponseWriter, r *http.Request) {
		writeAnswer(w, r, b.Demand())
	}).Methods(http.MethodGet)
	r.HandleFunc("/permits", func(w http.ResponseWriter, r *http.Request) {
		if err := decodeCall(w, r, func(call permitCall) { writeAnswer(w, r, p.answer(call)) }); err != nil {
			http.Error(w, "no call for permits", http.StatusBadRequest)
		}
	}).Methods(http.MethodPost)
	r.Handle(relayPath, relay).Methods(http.MethodPost)
	r.HandleFunc("/origins", o.receive).Methods(http.MethodPost)
	r.HandleFunc("/origins", o.answer).Methods(http.MethodGet)
	r.HandleFunc("/groups", func(w http.ResponseWriter, r *http.Request) {
		if err := decodeCall(w, r, b.groups.add); err != nil {
			http.Error(w, "no list of hashes", http.StatusBadRequest)
		}
	}).Methods(http.MethodPost)
	r.HandleFunc("/batches/{id}/end", func(_ http.ResponseWriter, r *http.Request) {
		b.stopEnded(mux.Vars(r)["id"])
	}).Methods(http.MethodPost)
	r.HandleFunc("/batches/{id}/record-end", func(w http.ResponseWriter, r *http.Request) {
		if err := b.endOwn(context.WithoutCancel(r.Context()), r.URL.Query().Get(teamParameter), mux.Vars(r)["id"]); err != nil {
			peerError(w, err)
		}
	}).Methods(http.MethodPost)
	r.HandleFunc("/batches/{id}/adopt", func(_ http.ResponseWriter, r *http.Request) {
		b.assign(context.WithoutCancel(r.Context()), mux.Vars(r)["id"])
	}).Methods(http.MethodPost)
	return r
}

func peerError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	var coded *resultcode.Error
	if errors.Is(err, errBatchNotActive) || errors.As(err, &coded) && coded.Code == resultcode.NotFound {
		status = http.StatusNotFound
	}
	http.Error(w, err.Error(), status)
}

// Page is a range of a batch's results.
type Page struct {
	// Total is the number of samples in the batch.
	Total   int              `json:"total"`
	Results []batches.Result `json:"results"`
	// Next is the position after the last of Results.
	Next int `json:"next"`
	// ValidMs is the number of milliseconds after the call within which a page without results may be
	// used, in the answer of a host that runs the batch. Zero means that it does not matter.
	ValidMs int64 `json:"valid_ms,omitempty"`
}
