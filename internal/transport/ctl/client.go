package ctl

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

const (
	// callTimeout limits one call over all control programs.
	callTimeout = 15 * time.Second
	// hedgeDelay is the time without a reply after which the call is also sent to the
	// next control program.
	hedgeDelay = 2 * time.Second
	// connectTimeout limits the search for a reachable control program.
	connectTimeout = 4 * time.Second
)

// connection is a command's client side of the QUIC mesh. targets are the control
// programs in the order in which they are tried.
type connection struct {
	mesh    *quicmesh.Mesh
	targets []string
}

// connect loads the keys, opens a mesh socket and returns a connection to the control
// programs given by --control.
func (e *env) connect() (*connection, error) {
	if len(e.Control) == 0 {
		return nil, resultcode.New(resultcode.BadRequest, "no control program given; set --control")
	}
	if e.Authority == "" || e.Certificate == "" || e.Key == "" {
		return nil, resultcode.New(resultcode.BadRequest, "key files missing; set --authority, --certificate and --key")
	}
	keys, err := tlsconf.Load(tlsconf.Files{Authority: e.Authority, Certificate: e.Certificate, Key: e.Key})
	if err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "load key files: %v", err)
	}
	mesh, err := quicmesh.New(quicmesh.Options{
		Listen: ":0",
		Server: keys.Server(),
		Client: keys.Client(),
		Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		return nil, err
	}
	return &connection{mesh: mesh, targets: fastestFirst(e.ctx, mesh, e.Control)}, nil
}

// fastestFirst connects to all targets concurrently and moves the one that connects first to
// the front, so that an unreachable control program does not delay the command.
func fastestFirst(ctx context.Context, mesh *quicmesh.Mesh, targets []string) []string {
	if len(targets) == 1 {
		return targets
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	connected := make(chan string, len(targets))
	for _, address := range targets {
		go func() {
			if mesh.Send(ctx, address, nil) != nil {
				address = ""
			}
			connected <- address
		}()
	}
	for range targets {
		if fastest := <-connected; fastest != "" {
			rest := slices.DeleteFunc(slices.Clone(targets), func(s string) bool { return s == fastest })
			return append([]string{fastest}, rest...)
		}
	}
	return targets
}

func (c *connection) close() { c.mesh.Close() }

// call sends an idempotent call to the first control program. It also sends it to the
// next one whenever hedgeDelay passes without a reply or an attempt fails without a
// result. The first reply that decides the outcome is returned. Once another program may
// have executed the call, a refusal that only covers the replying program leaves the
// outcome unknown (StorageUnknown).
func (c *connection) call(ctx context.Context, method wire.Method, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p := &hedgedCall{connection: c, method: method, request: request, results: make(chan attemptResult, len(c.targets))}
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	p.startNext(ctx)
	for {
		select {
		case <-hedge.C:
			p.startNext(ctx)
		case r := <-p.results:
			if decided, err := p.handleResult(r, reply); decided {
				return err
			}
			if !p.startNext(ctx) && p.inFlight == 0 {
				return p.noReplyError()
			}
		}
	}
}

// attemptResult is the result of sending a call to one control program.
type attemptResult struct {
	reply []byte
	err   error
}

// hedgedCall is a call that is sent to one control program after another until one of
// them decides its outcome.
type hedgedCall struct {
	*connection
	method  wire.Method
	request any
	results chan attemptResult
	// started counts the targets that the call was sent to.
	started  int
	inFlight int
	// mayHaveRun reports that a program may have executed the call without replying.
	mayHaveRun bool
	lastErr    error
}

// startNext sends the call to the next control program and reports whether there was
// one left.
func (h *hedgedCall) startNext(ctx context.Context) bool {
	if h.started == len(h.targets) {
		return false
	}
	address := h.targets[h.started]
	h.started++
	h.inFlight++
	go func() {
		var raw cbor.RawMessage
		err := h.mesh.Call(ctx, address, h.method, h.request, &raw)
		h.results <- attemptResult{reply: raw, err: err}
	}()
	return true
}

// handleResult reports whether an attempt's result decides the call, and returns the
// call's error in that case.
func (h *hedgedCall) handleResult(r attemptResult, reply any) (bool, error) {
	h.inFlight--
	var coded *resultcode.Error
	switch {
	case r.err == nil:
		return true, wire.Decode(r.reply, reply)
	case errors.As(r.err, &coded) && isLocalRefusal(coded.Code) && (h.mayHaveRun || h.inFlight > 0):
		return true, unknownOutcomeError(coded)
	case coded != nil:
		return true, r.err
	}
	h.mayHaveRun = h.mayHaveRun || !errors.Is(r.err, quicmesh.ErrNotSent)
	h.lastErr = r.err
	return false, nil
}

// isLocalRefusal reports whether a refusal with this code only covers the replying
// program: another program may have executed the same call.
func isLocalRefusal(c resultcode.Code) bool {
	return c == resultcode.StorageOutage || c == resultcode.BadConfiguration
}

// noReplyError is the call's error if no control program replied: DeadlineExceeded if one
// may have executed the call, Unreachable if it was never sent.
func (h *hedgedCall) noReplyError() error {
	if h.mayHaveRun {
		return resultcode.New(resultcode.DeadlineExceeded, "no control program replied: %v", h.lastErr)
	}
	return resultcode.New(resultcode.Unreachable, "no control program can be reached: %v", h.lastErr)
}

// unknownOutcomeError is the error of an attempt that was refused while an earlier or
// concurrent attempt may have taken effect.
func unknownOutcomeError(coded *resultcode.Error) error {
	return resultcode.New(resultcode.StorageUnknown, "an earlier attempt may have taken effect: %s", coded.Detail)
}

// do makes one call over a connection of its own.
func (e *env) do(method wire.Method, request, reply any) error {
	c, err := e.connect()
	if err != nil {
		return err
	}
	defer c.close()
	return c.call(e.ctx, method, request, reply)
}
