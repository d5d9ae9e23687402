package quicmesh

import (
	"context"
	"errors"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

const testMethod wire.Method = 9000

func startMesh(t *testing.T, keysDir string, h Handler) *Mesh {
	t.Helper()
	keys, err := tlsconf.Load(tlsconf.Files{
		Authority:   filepath.Join(keysDir, "ca.pem"),
		Certificate: filepath.Join(keysDir, "host.pem"),
		Key:         filepath.Join(keysDir, "host.key"),
	})
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(Options{Listen: "127.0.0.1:0", Server: keys.Server(), Client: keys.Client(), Log: slog.Default()})
	if err != nil {
		t.Fatal(err)
	}
	m.Handle(testMethod, h)
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m
}

func devKeys(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := tlsconf.WriteDevelopmentKeys(dir, "host"); err != nil {
		t.Fatal(err)
	}
	return dir
}

// A call returns the reply of the handler, or the result code of its error.
func TestCall_ReplyOrResultCode(t *testing.T) {
	dir := devKeys(t)
	server := startMesh(t, dir, func(_ context.Context, _ string, b []byte) (any, error) {
		var message string
		if err := wire.Decode(b, &message); err != nil {
			return nil, err
		}
		if message == "refuse" {
			return nil, resultcode.New(resultcode.NotOwner, "no")
		}
		return message + "!", nil
	})
	client := startMesh(t, dir, nil)
	var reply string
	if err := client.Call(t.Context(), server.Address(), testMethod, "hello", &reply); err != nil || reply != "hello!" {
		t.Fatalf("reply %q: %v", reply, err)
	}
	err := client.Call(t.Context(), server.Address(), testMethod, "refuse", &reply)
	var coded *resultcode.Error
	if !errors.As(err, &coded) || coded.Code != resultcode.NotOwner {
		t.Fatalf("call that returns a result code: %v", err)
	}
}

// A peer whose certificate is signed by another authority must not reach a handler.
func TestCall_UntrustedPeer(t *testing.T) {
	called := false
	server := startMesh(t, devKeys(t), func(context.Context, string, []byte) (any, error) {
		called = true
		return "", nil
	})
	untrusted := startMesh(t, devKeys(t), nil)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var reply string
	if err := untrusted.Call(ctx, server.Address(), testMethod, "x", &reply); err == nil || called {
		t.Fatalf("call of an untrusted peer was accepted (called %v, err %v)", called, err)
	}
}

// A call to an address where nothing listens fails with ErrNotSent.
func TestCall_NoListener(t *testing.T) {
	client := startMesh(t, devKeys(t), nil)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	var reply string
	if err := client.Call(ctx, "127.0.0.1:9", testMethod, "x", &reply); !errors.Is(err, ErrNotSent) {
		t.Fatalf("call to an address without a listener: %v", err)
	}
}

// Calls in both directions share one connection.
func TestConnection_ServesBothDirections(t *testing.T) {
	dir := devKeys(t)
	echo := func(_ context.Context, _ string, b []byte) (any, error) { return "ok", nil }
	a, b := startMesh(t, dir, echo), startMesh(t, dir, echo)
	var reply string
	if err := a.Call(t.Context(), b.Address(), testMethod, "x", &reply); err != nil {
		t.Fatal(err)
	}
	if err := b.Call(t.Context(), a.Address(), testMethod, "x", &reply); err != nil {
		t.Fatal(err)
	}
	if n := a.Traffic().Connections; n != 1 {
		t.Fatalf("%d connections between two processes", n)
	}
}

// A peer crashes and restarts on the same address. The stateless reset of the new process
// makes it reachable before the old connection reaches its idle timeout.
func TestCall_RestartedPeer(t *testing.T) {
	dir := devKeys(t)
	echo := func(_ context.Context, _ string, b []byte) (any, error) { return "ok", nil }
	a, b := startMesh(t, dir, echo), startMesh(t, dir, echo)
	var reply string
	if err := a.Call(t.Context(), b.Address(), testMethod, "x", &reply); err != nil {
		t.Fatal(err)
	}
	address := b.Address()
	// The socket is closed without notifying the peer, as in a crash.
	_ = b.socket.Close()
	b.Close()
	restarted, err := New(Options{Listen: address, Server: b.opt.Server, Client: b.opt.Client, Log: slog.Default()})
	if err != nil {
		t.Fatal(err)
	}
	restarted.Handle(testMethod, echo)
	if err := restarted.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(restarted.Close)
	ctx, cancel := context.WithTimeout(t.Context(), idleTimeout/2)
	defer cancel()
	for err = errors.New("not tried"); err != nil && ctx.Err() == nil; {
		attempt, done := context.WithTimeout(ctx, time.Second)
		err = a.Call(attempt, address, testMethod, "x", &reply)
		done()
	}
	if err != nil {
		t.Fatalf("restarted peer not reached before the idle timeout: %v", err)
	}
}
