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
	// attemptTimeout bounds one call, hedgeDelay the wait for one control program
	// before the next is asked as well.
	attemptTimeout = 15 * time.Second
	hedgeDelay     = 2 * time.Second
	// connectTimeout bounds the search for a control program that can be reached.
	connectTimeout = 4 * time.Second
)

// connection is the command's end of the overlay.
type connection struct {
	mesh    *quicmesh.Mesh
	targets []string
}

// connect prepares calls to the control programs named by the flags.
func (e *env) connect() (*connection, error) {
	if len(e.Control) == 0 {
		return nil, resultcode.New(resultcode.BadRequest, "name a control program with --control")
	}
	if e.Authority == "" || e.Certificate == "" || e.Key == "" {
		return nil, resultcode.New(resultcode.BadRequest, "name your keys with --authority, --certificate and --key")
	}
	keys, err := tlsconf.Load(tlsconf.Files{Authority: e.Authority, Certificate: e.Certificate, Key: e.Key})
	if err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "the keys cannot be read: %v", err)
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
	return &connection{mesh: mesh, targets: nearestFirst(e.ctx, mesh, e.Control)}, nil
}

// nearestFirst puts the control program that a connection reaches first at the
// head, so that a dead one does not hold the command up.
func nearestFirst(ctx context.Context, mesh *quicmesh.Mesh, targets []string) []string {
	if len(targets) == 1 {
		return targets
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	reached := make(chan string, len(targets))
	for _, address := range targets {
		go func() {
			if mesh.Send(ctx, address, nil) != nil {
				address = ""
			}
			reached <- address
		}()
	}
	for range targets {
		if first := <-reached; first != "" {
			rest := slices.DeleteFunc(slices.Clone(targets), func(s string) bool { return s == first })
			return append([]string{first}, rest...)
		}
	}
	return targets
}

func (c *connection) close() { c.mesh.Close() }

// call sends an idempotent call to the first control program, and to the next one as
// well when there is no reply for a while or the connection breaks; the first word
// that settles the outcome counts. Once a program may have carried the call out
// without replying, the word of another that it wrote nothing itself settles nothing.
func (c *connection) call(ctx context.Context, method wire.Method, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	p := &pending{connection: c, method: method, request: request, replies: make(chan sending, len(c.targets))}
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	p.next(ctx)
	for {
		select {
		case <-hedge.C:
			p.next(ctx)
		case s := <-p.replies:
			if settled, err := p.settle(s, reply); settled {
				return err
			}
			if !p.next(ctx) && p.running == 0 {
				return p.failure()
			}
		}
	}
}

// sending is one sending's end.
type sending struct {
	reply []byte
	err   error
}

// pending is a call that was sent to some of the control programs.
type pending struct {
	*connection
	method  wire.Method
	request any
	replies chan sending
	started int
	running int
	// unheard says that a program may have carried the call out without replying.
	unheard bool
	last    error
}

// next sends the call to the next control program, if there is one.
func (p *pending) next(ctx context.Context) bool {
	if p.started == len(p.targets) {
		return false
	}
	address := p.targets[p.started]
	p.started++
	p.running++
	go func() {
		var raw cbor.RawMessage
		err := p.mesh.Call(ctx, address, p.method, p.request, &raw)
		p.replies <- sending{reply: raw, err: err}
	}()
	return true
}

// settle reports whether a sending's end settles the call, and how.
func (p *pending) settle(s sending, reply any) (bool, error) {
	p.running--
	var coded *resultcode.Error
	switch {
	case s.err == nil:
		return true, wire.Decode(s.reply, reply)
	case errors.As(s.err, &coded) && ownWordOnly(coded.Code) && (p.unheard || p.running > 0):
		return true, unsettled(coded)
	case coded != nil:
		return true, s.err
	}
	p.unheard = p.unheard || !errors.Is(s.err, quicmesh.ErrNotSent)
	p.last = s.err
	return false, nil
}

// ownWordOnly says that a refusal with this code speaks for the replying program
// only: another one may have taken the same call.
func ownWordOnly(c resultcode.Code) bool {
	return c == resultcode.StorageOutage || c == resultcode.BadConfiguration
}

// failure is the result when no control program replied.
func (p *pending) failure() error {
	if p.unheard {
		return resultcode.New(resultcode.DeadlineExceeded, "no control program replied: %v", p.last)
	}
	return resultcode.New(resultcode.Unreachable, "no control program can be reached: %v", p.last)
}

// unsettled is the result of a repetition that failed without settling whether the
// call before it took effect.
func unsettled(coded *resultcode.Error) error {
	return resultcode.New(resultcode.StorageUnknown, "an earlier sending may have taken effect: %s", coded.Detail)
}

// do connects, makes one call and closes.
func (e *env) do(method wire.Method, request, reply any) error {
	c, err := e.connect()
	if err != nil {
		return err
	}
	defer c.close()
	return c.call(e.ctx, method, request, reply)
}
