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
	// stallTimeout bounds the time between two chunks of a running stream.
	stallTimeout = 3 * time.Second
	// prefixBytes is the length of the prompt prefix that engines cache.
	prefixBytes = 64
)

var (
	errStalled  = errors.New("no chunk came in time")
	errVersion  = errors.New("chunk of an older version than asked for")
	errEngine   = errors.New("engine ended the stream with an error")
	errReceiver = errors.New("caller left")
)

func (s *Server) serveGenerate(w http.ResponseWriter, r *http.Request) {
	q, err := s.read(w, r, endpoints.Target{Deployment: model.DeploymentID(mux.Vars(r)["deployment"])})
	var g httpapi.Generate
	if err == nil {
		g, err = httpapi.ReadGenerate(q.body)
	}
	lines := httpapi.NewLines(w, q.id)
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

func (s *Server) finishStream(q *request, lines *httpapi.Lines, err error) {
	name := unknownTarget
	if q.target != nil {
		name = q.target.name
	}
	code, outcome := resultcode.OK, resultcode.Ran
	if err != nil {
		f := httpapi.FailureOf(err)
		code, outcome = f.Code, f.Outcome
		q.record.add("refused or failed", "", f.Error())
		lines.Fail(f)
	}
	s.metrics.done(name, code, outcome, time.Since(q.start))
}

// generate admits a stream and passes it on.
func (s *Server) generate(ctx context.Context, q *request, g httpapi.Generate, lines *httpapi.Lines) error {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if err := s.checkRate(q); err != nil {
		return err
	}
	ticket, err := q.admit(ctx)
	if err != nil {
		return err
	}
	run := &streamRun{server: s, request: q, ask: g, lines: lines}
	started := time.Now()
	err = run.run(ctx)
	sample := admission.Sample{Kind: admission.SampleNone}
	if err == nil {
		sample = admission.Sample{Kind: admission.SampleEnded, TotalTime: time.Since(started)}
	}
	q.target.gate.Leave(ticket, sample)
	return err
}

// streamRun passes one answer on, over one or more attempts.
type streamRun struct {
	server    *Server
	request   *request
	ask       httpapi.Generate
	lines     *httpapi.Lines
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
		r.progress.note(result)
		if r.assembler.Done() {
			return nil
		}
		if ctx.Err() != nil || errors.Is(result.err, errReceiver) {
			return r.failure(retries.StopDeadline)
		}
		verdict, wait := q.target.decide(retries.Attempt{
			Failure:    result.failure,
			Attempts:   r.progress.made,
			Idempotent: true,
			Remaining:  q.left(),
		})
		if verdict != retries.Retry || !clock.Sleep(ctx, wait) {
			return r.failure(verdict)
		}
	}
}

// failure is the final answer of a stream that gets no further attempt.
func (r *streamRun) failure(v retries.Verdict) *httpapi.Failure {
	if r.lines.Started() && r.request.left() > 0 {
		return httpapi.Fail(resultcode.StreamBroken, "The stream ended early and could not be resumed.")
	}
	return r.progress.failure(r.request, v)
}

// attempt streams from one engine until its end. The error is final; a failed
// attempt is in the result.
func (r *streamRun) attempt(ctx context.Context) (attemptResult, error) {
	q, s := r.request, r.server
	t, err := s.try(q)
	if err != nil {
		f := httpapi.FailureOf(err)
		if r.progress.unknown {
			f = f.Uncertain()
		}
		return attemptResult{}, f
	}
	choice, ok := q.target.begin(routing.Constraints{
		Exclude:    r.progress.excluded,
		MinVersion: r.ask.MinVersion,
		Adapter:    r.ask.Adapter,
		PrefixHash: prefixHash(r.ask.Prompt),
	})
	if !ok {
		s.endTrial(q, t, false)
		return attemptResult{}, r.failure(retries.StopAttempts)
	}
	r.progress.made++
	r.progress.running++
	s.metrics.attempts.WithLabelValues(q.target.name).Inc()
	q.record.add("sent", choice.ID, "")
	started := time.Now()
	out := attemptResult{choice: choice}
	out.err = r.follow(ctx, choice, &out)
	out.latency = time.Since(started)
	if out.err != nil {
		out.result, out.failure = failureOf(ctx, out.err)
	}
	s.endAttempt(ctx, q, choice, started, &out, t)
	return out, nil
}

// follow passes the chunks of one attempt on. A stalled or wrong stream is left.
func (r *streamRun) follow(ctx context.Context, c routing.Choice, out *attemptResult) error {
	q := r.request
	number, offset, prefix := r.assembler.Begin()
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(r.firstChunkTimeout(), func() { cancel(errStalled) })
	defer stall.Stop()
	started := time.Now()
	stream, err := q.target.client.Generate(attempt, c.Address, engineapi.GenerateRequest{
		RequestID: fmt.Sprintf("%s-%d", q.id, number),
		Prompt:    r.ask.Prompt,
		MaxTokens: r.ask.MaxTokens,
		Priority:  q.priority(),
		Adapter:   r.ask.Adapter,
		Offset:    offset,
		Prefix:    prefix,
		Seed:      r.ask.Seed,
	})
	if err != nil {
		return stalledOr(attempt, err)
	}
	defer stream.Close()
	out.answer.Incarnation = stream.Incarnation
	for first := true; !r.assembler.Done(); first = false {
		chunk, err := stream.Next()
		if err != nil {
			return stalledOr(attempt, err)
		}
		if first {
			q.target.gate.Observe(admission.Sample{Kind: admission.SampleAnswered, Latency: time.Since(started)})
		}
		stall.Reset(stallTimeout)
		if err := r.pass(number, chunk); err != nil {
			return err
		}
	}
	return nil
}

func (r *streamRun) firstChunkTimeout() time.Duration {
	return max(stallTimeout, r.request.left()/retries.MaxAttempts)
}

func stalledOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
		return errors.Join(errStalled, err)
	}
	return err
}

// pass checks one chunk and hands its new tokens to the caller.
func (r *streamRun) pass(number streams.Attempt, c engineapi.Chunk) error {
	if c.Error != "" {
		return fmt.Errorf("%w: %s", errEngine, c.Error)
	}
	if len(c.Tokens) > 0 && c.Version < r.ask.MinVersion {
		return errVersion
	}
	fresh, ok, err := r.assembler.Accept(number, streams.Chunk{
		Offset: c.Offset, Tokens: c.Tokens, Version: c.Version, Done: c.Done, Total: c.Total,
	})
	if err != nil || !ok {
		return err
	}
	r.server.metrics.tokens.WithLabelValues(r.request.target.name).Add(float64(len(fresh.Tokens)))
	err = r.lines.Write(engineapi.Chunk{
		Offset: fresh.Offset, Tokens: fresh.Tokens, Version: fresh.Version, Done: fresh.Done, Total: fresh.Total,
	})
	if err != nil {
		return errors.Join(errReceiver, err)
	}
	return nil
}

// prefixHash names the part of a prompt that engines cache.
func prefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}
