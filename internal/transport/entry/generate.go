package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"oleanderfall.example/oleanderfall/internal/coordination/admission"
	"oleanderfall.example/oleanderfall/internal/coordination/retries"
	"oleanderfall.example/oleanderfall/internal/coordination/routing"
	"oleanderfall.example/oleanderfall/internal/coordination/streams"
	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/endpoints"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

const (
	// stallTimeout bounds the time between two chunks of a stream; see firstChunkTimeout for
	// the first chunk.
	stallTimeout = 3 * time.Second
	// prefixBytes is the length of the prompt prefix that engines cache.
	prefixBytes = 64
)

var (
	errStalled       = errors.New("stream stalled: no chunk received before the timeout")
	errVersionTooOld = errors.New("chunk version is older than the requested minimum version")
	errEngineFailed  = errors.New("engine reported an error in the stream")
	errCallerGone    = errors.New("write to caller failed")
)

func (s *Server) serveGenerate(w http.ResponseWriter, r *http.Request) {
	q, err := s.readRequest(w, r, endpoints.Target{Deployment: model.DeploymentID(mux.Vars(r)["deployment"])})
	var g httpapi.GenerateRequest
	if err == nil {
		g, err = httpapi.ParseGenerate(q.body)
	}
	lines := httpapi.NewStreamWriter(w, q.id)
	if err == nil {
		q.fingerprint([]byte(g.Prompt))
		err = s.generate(r.Context(), q, g, lines)
	}
	if errors.Is(r.Context().Err(), context.Canceled) {
		q.record.add("caller left", "", "")
		panic(http.ErrAbortHandler)
	}
	s.finishStream(q, lines, err)
}

func (s *Server) finishStream(q *request, lines *httpapi.StreamWriter, err error) {
	name := unknownTarget
	if q.target != nil {
		name = q.target.name
	}
	code, outcome := resultcode.OK, resultcode.Ran
	if err != nil {
		f := httpapi.AsFailure(err)
		code, outcome = f.Code, f.Outcome
		q.record.add("refused or failed", "", f.Error())
		lines.Fail(f)
	}
	s.metrics.recordRequest(name, code, outcome, time.Since(q.start))
}

// generate checks the rate, takes a slot and relays the stream to the caller.
func (s *Server) generate(ctx context.Context, q *request, g httpapi.GenerateRequest, lines *httpapi.StreamWriter) error {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if err := s.checkRate(q); err != nil {
		return err
	}
	admissionRequest, err := q.admit(ctx)
	if err != nil {
		return err
	}
	stream := &streamRun{server: s, request: q, params: g, lines: lines}
	started := time.Now()
	err = stream.run(ctx)
	sample := admission.Observation{Kind: admission.ObservationNone}
	if err == nil {
		sample = admission.Observation{Kind: admission.ObservationEnded, TotalTime: time.Since(started)}
	}
	q.target.gate.Leave(admissionRequest, sample)
	return err
}

// streamRun relays one stream to its caller, over one or more attempts.
type streamRun struct {
	server    *Server
	request   *request
	params    httpapi.GenerateRequest
	lines     *httpapi.StreamWriter
	assembler streams.Assembler
	progress  progress
}

func (r *streamRun) run(ctx context.Context) error {
	q := r.request
	for {
		result, err := r.attempt(ctx)
		if err != nil {
			return err
		}
		r.progress.addResult(result)
		if r.assembler.Done() {
			return nil
		}
		if ctx.Err() != nil || errors.Is(result.err, errCallerGone) {
			return r.finalFailure(retries.StopDeadline)
		}
		verdict, wait := q.target.decideRetry(retries.Request{
			Failure:    result.failure,
			Attempts:   r.progress.attemptCount,
			Idempotent: true,
			Remaining:  q.remaining(),
		})
		if verdict != retries.Retry || !clock.Sleep(ctx, wait) {
			return r.finalFailure(verdict)
		}
	}
}

// finalFailure returns the failure of a stream that is not retried any more.
func (r *streamRun) finalFailure(v retries.Verdict) *httpapi.Failure {
	if r.lines.Started() && r.request.remaining() > 0 {
		return httpapi.NewFailure(resultcode.StreamBroken, "The stream ended early and could not be resumed.")
	}
	return r.progress.finalFailure(r.request, v)
}

// attempt relays the stream of one engine until it ends. The error is final. The failure
// of the attempt itself, which may be retried, is in the result.
func (r *streamRun) attempt(ctx context.Context) (attemptResult, error) {
	q, s := r.request, r.server
	t, err := s.startTrial(q)
	if err != nil {
		f := httpapi.AsFailure(err)
		if r.progress.mayHaveRun {
			f = f.WithUnknownOutcome()
		}
		return attemptResult{}, f
	}
	choice, ok := q.target.beginAttempt(routing.Constraints{
		Exclude:    r.progress.excluded,
		MinVersion: r.params.MinVersion,
		Adapter:    r.params.Adapter,
		PrefixHash: prefixHash(r.params.Prompt),
	})
	if !ok {
		s.endTrial(q, t, false)
		return attemptResult{}, r.finalFailure(retries.StopAttempts)
	}
	r.progress.attemptCount++
	r.progress.inFlight++
	s.metrics.attempts.WithLabelValues(q.target.name).Inc()
	q.record.add("sent", choice.ID, "")
	started := time.Now()
	out := attemptResult{choice: choice}
	out.err = r.relay(ctx, choice, &out)
	out.latency = time.Since(started)
	if out.err != nil {
		out.result, out.failure = classifyFailure(ctx, out.err)
	}
	s.endAttempt(ctx, q, choice, started, &out, t)
	return out, nil
}

// relay relays the chunks of one attempt. A stalled or invalid stream is cancelled.
func (r *streamRun) relay(ctx context.Context, c routing.Choice, out *attemptResult) error {
	q := r.request
	number, offset, prefix := r.assembler.Begin()
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(r.firstChunkTimeout(), func() { cancel(errStalled) })
	defer stall.Stop()
	started := time.Now()
	stream, err := q.target.client.Generate(attemptCtx, c.Address, engineapi.GenerateRequest{
		RequestID: fmt.Sprintf("%s-%d", q.id, number),
		Prompt:    r.params.Prompt,
		MaxTokens: r.params.MaxTokens,
		Priority:  q.priority(),
		Adapter:   r.params.Adapter,
		Offset:    offset,
		Prefix:    prefix,
		Seed:      r.params.Seed,
	})
	if err != nil {
		return withStallCause(attemptCtx, err)
	}
	defer stream.Close()
	out.answer.Incarnation = stream.Incarnation
	for first := true; !r.assembler.Done(); first = false {
		chunk, err := stream.Next()
		if err != nil {
			return withStallCause(attemptCtx, err)
		}
		if first {
			q.target.gate.Observe(admission.Observation{Kind: admission.ObservationAnswered, Latency: time.Since(started)})
		}
		stall.Reset(stallTimeout)
		if err := r.relayChunk(number, chunk); err != nil {
			return err
		}
	}
	return nil
}

// firstChunkTimeout returns how long an attempt waits for its first chunk: longer than for
// later chunks if the deadline allows it, but leaving time for the remaining attempts.
func (r *streamRun) firstChunkTimeout() time.Duration {
	return max(stallTimeout, r.request.remaining()/retries.MaxAttempts)
}

// withStallCause adds errStalled to an error that the stall timeout caused.
func withStallCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
		return errors.Join(errStalled, err)
	}
	return err
}

// relayChunk checks one chunk and writes its new tokens to the caller. Tokens that the
// caller already has from an earlier attempt are left out.
func (r *streamRun) relayChunk(number streams.AttemptNumber, c engineapi.Chunk) error {
	if c.Error != "" {
		return fmt.Errorf("%w: %s", errEngineFailed, c.Error)
	}
	if len(c.Tokens) > 0 && c.Version < r.params.MinVersion {
		return errVersionTooOld
	}
	newChunk, ok, err := r.assembler.Accept(number, streams.Chunk{
		Offset: c.Offset, Tokens: c.Tokens, Version: c.Version, Done: c.Done, Total: c.Total,
	})
	if err != nil || !ok {
		return err
	}
	r.server.metrics.tokens.WithLabelValues(r.request.target.name).Add(float64(len(newChunk.Tokens)))
	err = r.lines.Write(engineapi.Chunk{
		Offset: newChunk.Offset, Tokens: newChunk.Tokens, Version: newChunk.Version, Done: newChunk.Done, Total: newChunk.Total,
	})
	if err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// prefixHash returns the hash of the first prefixBytes of a prompt.
func prefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}
