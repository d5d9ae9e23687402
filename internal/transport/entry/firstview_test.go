package entry

import (
	"context"
	"log/slog"
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
	"oleanderfall.example/oleanderfall/internal/transport/process"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

// viewDelay is the delay of the first view from the test's control program.
const viewDelay = 300 * time.Millisecond

// The port for callers stays closed until the first view is received. Otherwise a keyed
// request that arrives before it would be answered with the outcome unknown. On an
// overloaded machine the first view can arrive after the first request.
func TestCallerPort_ClosedUntilFirstView(t *testing.T) {
	dir := t.TempDir()
	if err := tlsconf.WriteDevelopmentKeys(dir, "host"); err != nil {
		t.Fatal(err)
	}
	keys, err := tlsconf.Load(tlsconf.Files{Authority: filepath.Join(dir, "ca.pem"), Certificate: filepath.Join(dir, "host.pem"), Key: filepath.Join(dir, "host.key")})
	if err != nil {
		t.Fatal(err)
	}
	b := newTestEnv(t)
	b.plain(standin.PlainServiceOptions{ServiceTime: time.Millisecond})
	control, err := quicmesh.New(quicmesh.Options{Listen: "127.0.0.1:0", Server: keys.Server(), Client: keys.Client(), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer control.Close()
	view := model.FleetView{Sequence: 1, Generation: 1, Config: b.config}
	control.Handle(wire.MethodView, func(ctx context.Context, _ string, raw []byte) (any, error) {
		var r wire.ViewRequest
		if err := wire.Decode(raw, &r); err != nil || r.After == view.Sequence {
			<-ctx.Done()
		}
		time.Sleep(viewDelay)
		return wire.ViewReply{ControlIncarnation: 1, View: view}, nil
	})
	control.Handle(wire.MethodReport, func(context.Context, string, []byte) (any, error) { return wire.ReportReply{}, nil })
	if err := control.Start(); err != nil {
		t.Fatal(err)
	}
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
	if r := b.call("lookup", "first"); r.code != resultcode.OK {
		t.Errorf("first request got %+v", r)
	}
	if err := app.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

// waitForView returns without a view when its context ends. A host without a control
// program then opens its port and refuses requests instead of appearing dead.
func TestWaitForView_ReturnsWithoutView(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	checks := 0
	waitForView(ctx, func() bool {
		if checks++; checks == 3 {
			cancel()
		}
		return false
	})
	if checks != 3 {
		t.Errorf("%d checks after the context was cancelled", checks-3)
	}
}
