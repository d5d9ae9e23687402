package ctl

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

const (
	// attemptTimeout bounds the wait for one control program before the next is tried.
	attemptTimeout = 15 * time.Second
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

// call sends an idempotent call to the first control program that replies. Once a
// program may have carried it out without replying, the word of another one that
// it wrote nothing itself does not settle the outcome.
func (c *connection) call(ctx context.Context, method wire.Method, request, reply any) error {
	var last error
	sent := false
	for _, address := range c.targets {
		bounded, cancel := context.WithTimeout(ctx, attemptTimeout)
		err := c.mesh.Call(bounded, address, method, request, reply)
		cancel()
		var coded *resultcode.Error
		if errors.As(err, &coded) && coded.Code == resultcode.StorageOutage && sent {
			return unsettled(coded)
		}
		if err == nil || errors.As(err, &coded) {
			return err
		}
		sent = sent || !errors.Is(err, quicmesh.ErrNotSent)
		last = err
	}
	if sent {
		return resultcode.New(resultcode.DeadlineExceeded, "no control program replied: %v", last)
	}
	return resultcode.New(resultcode.Unreachable, "no control program can be reached: %v", last)
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
