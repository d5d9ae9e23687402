package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
	"oleanderfall.example/oleanderfall/internal/transport/process"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

// fakeControl starts a control program that serves the feed with one view until it is
// closed.
func fakeControl(t *testing.T, keys *tlsconf.Keys, view model.FleetView) *quicmesh.Mesh {
	m, err := quicmesh.New(quicmesh.Options{Listen: "127.0.0.1:0", Server: keys.Server(), Client: keys.Client(), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	m.Handle(wire.MethodView, func(ctx context.Context, _ string, b []byte) (any, error) {
		var r wire.ViewRequest
		if err := wire.Decode(b, &r); err != nil || r.After == view.Sequence {
			<-ctx.Done()
		}
		return wire.ViewReply{ControlIncarnation: 1, View: view}, nil
	})
	m.Handle(wire.MethodReport, func(context.Context, string, []byte) (any, error) { return wire.ReportReply{}, nil })
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	return m
}

// freeAddress returns a local address with a free port.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// With the control program and the object API unreachable, idempotent calls and streams are
// served from the last view. A non-idempotent call fails and does not run, because it
// cannot be claimed.
func TestServing_WithoutControlAndObjectAPI(t *testing.T) {
	dir := t.TempDir()
	if err := tlsconf.WriteDevelopmentKeys(dir, "host"); err != nil {
		t.Fatal(err)
	}
	keys, err := tlsconf.Load(tlsconf.Files{Authority: filepath.Join(dir, "ca.pem"), Certificate: filepath.Join(dir, "host.pem"), Key: filepath.Join(dir, "host.key")})
	if err != nil {
		t.Fatal(err)
	}
	b := newTestEnv(t)
	p := b.plain(standin.PlainServiceOptions{ServiceTime: time.Millisecond})
	b.newEngine(standin.EngineOptions{TokenInterval: time.Millisecond, MedianTokens: testMedian})
	control := fakeControl(t, keys, model.FleetView{Sequence: 1, Generation: 1, Config: b.config})
	s := &settings.LocalSettings{
		Host:     settings.HostSettings{ID: "e1", Zone: "lj-a"},
		Platform: settings.PlatformSettings{ObjectAPI: "http://" + freeAddress(t), Timeout: 100 * time.Millisecond},
		Control:  settings.ControlSettings{Listen: control.Address()},
		Entry:    settings.EntrySettings{Listen: freeAddress(t), Mesh: "127.0.0.1:0", Admin: freeAddress(t)},
	}
	app := fx.New(fx.NopLogger, Module, fx.Supply(s, slog.New(slog.DiscardHandler), keys), fx.Provide(prometheus.NewRegistry, process.NewHealth, newTestLimiter))
	if err := app.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	b.address = s.Entry.Listen
	eventually(t, "the view is received", func() bool { return b.call("lookup", "first").code == resultcode.OK })
	control.Close()
	for i := range 50 {
		body := fmt.Sprint(i)
		if r := b.call("lookup", body); r.body != standin.PlainAnswer("lookup", body) {
			t.Fatalf("got %+v", r)
		}
	}
	checkTokens(t, b.generate(httpapi.GenerateRequest{Prompt: "p", Seed: 1}), "p", 1, standin.AnswerLength("p", 1, testMedian, 0))
	if r := b.call("issue", "c1", httpapi.IdempotencyKeyHeader, "k", httpapi.DeadlineHeader, "500"); r.code == resultcode.OK {
		t.Errorf("non-idempotent call succeeded without a claim: %+v", r)
	}
	for _, run := range p.Runs() {
		if run.Call == "issue" {
			t.Error("non-idempotent call ran without a claim")
		}
	}
	if err := app.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}
