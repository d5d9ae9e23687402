// Package entry is the data path: it answers callers over HTTP, routing each
// request to an endpoint of its service or deployment.
//
// Invariant: every request gets its whole answer, or one failure whose outcome is
// true; nothing of one service or deployment (slots, connections, retries) is used
// up by another; with control and the object API gone, the last view keeps serving.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/transport/claimduty"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
	"oleanderfall.example/oleanderfall/internal/transport/feed"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	"oleanderfall.example/oleanderfall/internal/transport/process"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = httpapi.MaxDeadline + time.Minute
	clientIdleTimeout = 2 * time.Minute
)

// Module provides and starts the program's duties.
var Module = fx.Module("entry",
	fx.Provide(newMesh, newFeed, newServer, process.NewObjectAPI, asAPI),
	claimduty.Module,
	fx.Invoke(serve),
)

func asAPI(c *objectapi.Client) objectapi.API { return c }

func newMesh(s *settings.Process, keys *tlsconf.Keys, root *slog.Logger) (*quicmesh.Mesh, error) {
	return quicmesh.New(quicmesh.Options{
		Listen: s.Entry.Mesh,
		Server: keys.Server(),
		Client: keys.Client(),
		Log:    logging.Part(root, "mesh"),
	})
}

func newFeed(s *settings.Process, mesh *quicmesh.Mesh, root *slog.Logger) *feed.Client {
	return feed.NewClient(mesh, s.Control.Listen, logging.Part(root, "feed"))
}

type serverParams struct {
	fx.In
	Settings *settings.Process
	Feed     *feed.Client
	Registry *prometheus.Registry
	Root     *slog.Logger
	Claims   *claimduty.Duty
}

func newServer(p serverParams) *Server {
	return NewServer(Options{
		Host:     p.Settings.Host.ID,
		Zone:     p.Settings.Host.Zone,
		Claims:   p.Claims,
		Handover: p.Claims.Handover,
		Report:   p.Feed.Report,
		Metrics:  p.Registry,
		Log:      logging.Part(p.Root, "entry"),
		Seed:     uint64(time.Now().UnixNano()),
	})
}

type serveParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  *settings.Process
	Mesh      *quicmesh.Mesh
	Feed      *feed.Client
	Server    *Server
	API       *objectapi.Client
	Claims    *claimduty.Duty
	Registry  *prometheus.Registry
	Health    *process.Health
}

// serve registers the program's life: mesh, duties, admin pages and, last so that
// it stops first, the callers' port.
func serve(p serveParams) {
	p.Health.Add("view", p.Feed.Ready)
	p.Health.Add("claims", func() error {
		if p.API.OutageFor() > 0 {
			// The calls that need no claim are still served.
			return nil
		}
		return p.Claims.Ready()
	})
	p.Lifecycle.Append(fx.StartStopHook(p.Mesh.Start, p.Mesh.Close))
	duties := &duties{}
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			duties.start(p.Feed.Run, p.Server.ReportLoop, p.Server.PollLoop, func(ctx context.Context) { applyLoop(ctx, p.Feed, p.Server, p.API) })
			return nil
		},
		OnStop: func(context.Context) error { duties.stop(); return nil },
	})
	process.ServeAdmin(p.Lifecycle, p.Settings.Entry.Admin, p.Registry, p.Health, func(r *mux.Router) {
		r.HandleFunc("/v1/explain/{id}", p.Server.ServeExplain).Methods(http.MethodGet)
	})
	// Once nothing runs any more, and while the mesh is open, the claims' ends are
	// recorded and the shards handed over.
	p.Lifecycle.Append(fx.StopHook(p.Claims.Stop))
	front := NewFront(p.Server)
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			awaitView(ctx, p.Server.hasView)
			return front.Start(p.Settings.Entry.Listen)
		},
		OnStop: front.Stop,
	})
}

const (
	// firstViewWait is how long the callers' port stays closed for want of a first view. A
	// caller that is not let in goes to another host at once; one that is let in too early
	// is told that its request may have run, as nothing is known of its claims. The view
	// takes some ms once the control program runs.
	firstViewWait = 2 * time.Second
	// firstViewTick is the pause between looks for it.
	firstViewTick = 10 * time.Millisecond
)

// awaitView waits for the first view, but not longer than firstViewWait.
func awaitView(ctx context.Context, hasView func() bool) {
	ctx, cancel := context.WithTimeout(ctx, firstViewWait)
	defer cancel()
	for !hasView() && clock.Sleep(ctx, firstViewTick) {
	}
}

// applyLoop hands each new view to the server and its limits to the object API's client.
func applyLoop(ctx context.Context, f *feed.Client, s *Server, api *objectapi.Client) {
	for {
		select {
		case <-f.Changed():
			v := f.View()
			s.Apply(v)
			if v.Config != nil {
				api.SetCeilings(v.Config.System.ObjectAPIReadsPerSecond, v.Config.System.ObjectAPIWritesPerSecond)
			}
		case <-ctx.Done():
			return
		}
	}
}

// duties runs loops, each in a goroutine of its own.
type duties struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func (d *duties) start(loops ...func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, loop := range loops {
		d.running.Go(func() { loop(ctx) })
	}
}

func (d *duties) stop() {
	d.cancel()
	d.running.Wait()
}

// Front is the callers' port and its planned stop.
type Front struct {
	server   *Server
	http     *http.Server
	listener net.Listener
}

// NewFront returns the port of a server, not yet open.
func NewFront(s *Server) *Front {
	return &Front{server: s, http: &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    httpapi.MaxHeaderBytes,
	}}
}

// Start opens the port.
func (f *Front) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	f.listener = l
	go func() { _ = f.http.Serve(l) }()
	return nil
}

// Address returns the open port's address.
func (f *Front) Address() string { return f.listener.Addr().String() }

// Stop is the planned stop: the host leaves the address answers, serves on until no
// caller holds an answer that names it, and ends when nothing runs.
func (f *Front) Stop(ctx context.Context) error {
	s := f.server
	s.stopping.Store(true)
	s.wake()
	lifetime := time.Duration(0)
	if v := s.view.Load(); v != nil {
		lifetime = v.Config.System.AddressLifetime
	}
	s.opt.Log.Info("Leaving the address answers.", "lifetime", lifetime)
	clock.Sleep(ctx, leaveSlack/2)
	if s.opt.Handover != nil {
		if err := s.opt.Handover(ctx); err != nil {
			s.opt.Log.Warn("Claim shards not handed over yet.", "err", err)
		}
	}
	clock.Sleep(ctx, lifetime+leaveSlack/2)
	err := f.http.Shutdown(ctx)
	s.background.Wait()
	s.opt.Log.Info("Nothing runs any more.", "err", err)
	return err
}

// leaveSlack is the time in which other hosts learn that this one leaves.
const leaveSlack = time.Second
