package front

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// relayServer sends requests to endpoints for peers without links, over this host's own links only.
// The peer has chosen the endpoint, counts its load and holds the permit if it has a request limit.
type relayServer struct {
	path     *EndpointPath
	fleet    *Fleet
	draining func() bool
	// mayFinish reports whether this host takes a request although it drains.
	mayFinish func(*relayedRequest) bool
	// track counts a request as in flight until the returned function is called.
	track   func() func()
	bodies  *Bodies
	log     *slog.Logger
	running atomic.Int64
}

// relayedBodyCopies is the number of copies of a relayed request: as received and decoded.
const relayedBodyCopies = 2

var (
	errRelayUnavailable = errors.New("the host is stopping before the request would end, has no links itself, or has no room for another request of a peer")
	errEndpointNotInUse = errors.New("the endpoint is leaving or not known")
)

// ServeHTTP serves the calls of endpointRelays.
func (s *relayServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := &partWriter{parts: cbor.NewEncoder(w), flush: http.NewResponseController(w).Flush}
	raw, release, err := s.bodies.ReadBody(r.Context(), http.MaxBytesReader(w, r.Body, maxForwardedBatch), r.ContentLength, relayedBodyCopies)
	var request relayedRequest
	switch {
	case isCode(err, resultcode.Overloaded):
		s.log.Info("Request of a peer declined", "peer", r.RemoteAddr, "bytes", r.ContentLength, "err", err)
		end := newRelayedEnd(errors.Join(errRelayUnavailable, backend.ErrNotRun))
		end.Declined = true
		if err := out.write(&relayedPart{End: end}); err != nil && r.Context().Err() == nil {
			s.log.Info("Failed to decline a request of a peer", "peer", r.RemoteAddr, "err", err)
		}
		return
	case err == nil:
		defer release()
		err = decoding.Unmarshal(raw, &request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer s.track()()
	began := time.Now()
	err = s.serve(r.Context(), &request, out)
	if request.Kind != relayedCheck {
		s.log.Info("Request of a peer ended", "request", request.ID, "peer", r.RemoteAddr, "endpoint", request.Endpoint.ID,
			"took_ms", time.Since(began).Milliseconds(), "err", err)
	}
	end := newRelayedEnd(err)
	end.Declined = errors.Is(err, errRelayUnavailable)
	if err := out.write(&relayedPart{End: end}); err != nil && r.Context().Err() == nil {
		s.log.Info("Failed to send an answer to the peer that asked for it", "request", request.ID, "endpoint", request.Endpoint.ID, "err", err)
	}
}

// partWriter writes the parts of an answer to a peer, each of which is sent at once.
type partWriter struct {
	parts *cbor.Encoder
	flush func() error
}

func (w *partWriter) write(p *relayedPart) error {
	if err := w.parts.Encode(p); err != nil {
		return err
	}
	return w.flush()
}

func (w *partWriter) writeHead(a *backend.Answer) error {
	return w.write(&relayedPart{Head: &relayedHead{Status: a.Status, Header: a.Header, Signature: a.Signature}})
}

func (w *partWriter) writeChunk(b []byte) error { return w.write(&relayedPart{Chunk: b}) }

func (s *relayServer) serve(ctx context.Context, r *relayedRequest, out *partWriter) error {
	defer s.running.Add(-1)
	if s.running.Add(1) > maxRelayedRequests || s.draining() && !s.mayFinish(r) {
		return errors.Join(errRelayUnavailable, backend.ErrNotRun)
	}
	if !s.inUse(&r.Endpoint) {
		return errors.Join(errEndpointNotInUse, backend.ErrNotRun)
	}
	err := s.path.sendForPeer(ctx, r, out)
	if errors.Is(err, backend.ErrPathLost) && errors.Is(err, backend.ErrNotRun) {
		return errors.Join(errRelayUnavailable, err)
	}
	return err
}

// inUse reports whether this host would itself send requests to an endpoint.
func (s *relayServer) inUse(e *catalog.Endpoint) bool {
	var known catalog.Endpoint
	var ok bool
	s.fleet.WithTable(func(t *placement.Table) { known, ok = t.Get(e.ID) })
	return ok && known.SameInstance(e) && !known.Draining
}

// sendForPeer sends a peer's request over this host's own links and passes on the answer.
func (p *EndpointPath) sendForPeer(ctx context.Context, r *relayedRequest, out *partWriter) error {
	request := backend.Request{
		Endpoint: r.Endpoint, ID: r.ID, Host: r.Host, Method: r.Method, URI: r.URI, Header: r.Header, Body: r.Body, Repeatable: r.Repeatable, Team: r.Team,
		Deadline: time.Now().Add(time.Duration(r.RemainingMs) * time.Millisecond),
	}
	g := backend.GenerateRequest{Request: request, ResumeAfter: r.ResumeAfter, Urgency: r.Urgency}
	switch r.Kind {
	case relayedDo:
		answer, err := p.doDirect(ctx, request)
		if err != nil {
			return err
		}
		return out.writeAnswer(answer)
	case relayedStream:
		return p.streamDirect(ctx, g, out.writeHead, out.writeChunk)
	case relayedGenerate:
		return p.generateDirect(ctx, g, func(e backend.Event) error { return out.write(&relayedPart{Event: &e}) })
	case relayedCheck:
		return p.checkDirect(ctx, r.Endpoint)
	}
	return errors.Join(backend.ErrNotRun, errUnexpectedPart)
}

// writeAnswer writes a complete answer.
func (w *partWriter) writeAnswer(a *backend.Answer) error {
	if err := w.writeHead(a); err != nil {
		return err
	}
	for rest := a.Body; len(rest) > 0; {
		n := min(len(rest), relayChunkBytes)
		if err := w.writeChunk(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}
