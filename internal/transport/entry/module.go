// Package entry implements the data path. It serves callers over HTTP and routes each
// request to an endpoint of its service or deployment, with admission control, retries,
// hedging and quarantine.
//
// Invariant: every request gets either its complete answer or exactly one failure whose
// outcome is correct. Services and deployments share no slots, connections or retry
// budget, so none can exhaust those of another. While the control program and the
// object API are unreachable, requests are served from the last view received.
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
	"oleanderfall.example/oleanderfall/internal/transport/claimservice"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	"oleanderfall.example/oleanderfall/internal/transport/process"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
	"oleanderfall.example/oleanderfall/internal/transport/viewstream"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = httpapi.MaxDeadline + time.Minute
	clientIdleTimeout = 2 * time.Minute
)

// Module provides the components of the entry program and starts them.
var Module = fx.Module("entry",
	fx.Provide(newMesh, newFeed, newServer, process.NewObjectAPI, asObjectAPI),
	claimservice.Module,
	fx.Invoke(serve),
)

func asObjectAPI(c *objectapi.Client) objectapi.API { return c }

func newMesh(s *settings.Process, keys *tlsconf.Keys, root *slog.Logger) (*quicmesh.Mesh, error) {
	return quicmesh.New(quicmesh.Options{
		Listen: s.Entry.Mesh,
		Server: keys.Server(),
		Client: keys.Client(),
		Log:    logging.Component(root, "mesh"),
	})
}

func newFeed(s *settings.Process, mesh *quicmesh.Mesh, root *slog.Logger) *viewstream.Client {
	return viewstream.NewClient(mesh, s.Control.Listen, logging.Component(root, "feed"))
}

type serverParams struct {
	fx.In
	Settings *settings.Process
	Feed     *viewstream.Client
	Registry *prometheus.Registry
	Root     *slog.Logger
	Claims   *claimservice.Service
}

func newServer(p serverParams) *Server {
	return NewServer(Options{
		Host:     p.Settings.Host.ID,
		Zone:     p.Settings.Host.Zone,
		Claims:   p.Claims,
		Handover: p.Claims.Handover,
		Report:   p.Feed.Report,
		Metrics:  p.Registry,
		Log:      logging.Component(p.Root, "entry"),
		Seed:     uint64(time.Now().UnixNano()),
	})
}

type serveParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  *settings.Process
	Mesh      *quicmesh.Mesh
	Feed      *viewstream.Client
	Server    *Server
	API       *objectapi.Client
	Claims    *claimservice.Service
	Registry  *prometheus.Registry
	Health    *process.Health
}

// serve registers the lifecycle hooks: mesh, background loops, admin pages and the
// port for callers. The port is registered last so that it stops first.
func serve(p serveParams) {
	p.Health.Add("view", p.Feed.Ready)
	p.Health.Add("claims", func() error {
		if p.API.OutageFor() > 0 {
			// The host stays ready, because calls that need no claim are still served.
			return nil
		}
		return p.Claims.Ready()
	})
	p.Lifecycle.Append(fx.StartStopHook(p.Mesh.Start, p.Mesh.Close))
	loops := &loopGroup{}
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			loops.start(p.Feed.Run, p.Server.ReportLoop, p.Server.PollLoop, func(ctx context.Context) { applyLoop(ctx, p.Feed, p.Server, p.API) })
			return nil
		},
		OnStop: func(context.Context) error { loops.stop(); return nil },
	})
	process.ServeAdmin(p.Lifecycle, p.Settings.Entry.Admin, p.Registry, p.Health, func(r *mux.Router) {
		r.HandleFunc("/v1/explain/{id}", p.Server.ServeExplain).Methods(http.MethodGet)
	})
	// Runs after the last request has ended and while the mesh is still open, to record
	// the outcomes of the claims and hand over the shards.
	p.Lifecycle.Append(fx.StopHook(p.Claims.Stop))
	server := NewHTTPServer(p.Server)
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			waitForView(ctx, p.Server.hasView)
			return server.Start(p.Settings.Entry.Listen)
		},
		OnStop: server.Stop,
	})
}

const (
	// firstViewTimeout bounds the time that the port for callers stays closed until the first
	// view is received. A caller whose connection is refused goes to another host at once. A
	// caller that connects too early is told that its request may have run, because the
	// claims are not known yet. The view takes a few ms once the control program runs.
	firstViewTimeout = 2 * time.Second
	// firstViewPollInterval is the time between two checks for the first view.
	firstViewPollInterval = 10 * time.Millisecond
)

// waitForView waits until the first view is received, for at most firstViewTimeout.
func waitForView(ctx context.Context, hasView func() bool) {
	ctx, cancel := context.WithTimeout(ctx, firstViewTimeout)
	defer cancel()
	for !hasView() && clock.Sleep(ctx, firstViewPollInterval) {
	}
}

// applyLoop applies each new view to the server, and its rate limits to the object API
// client.
func applyLoop(ctx context.Context, f *viewstream.Client, s *Server, api *objectapi.Client) {
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

// loopGroup runs loops, each in its own goroutine, until stop cancels them.
type loopGroup struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func (d *loopGroup) start(loops ...func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, loop := range loops {
		d.running.Go(func() { loop(ctx) })
	}
}

func (d *loopGroup) stop() {
	d.cancel()
	d.running.Wait()
}

// HTTPServer serves callers on a port and performs the planned stop.
type HTTPServer struct {
	server   *Server
	http     *http.Server
	listener net.Listener
}

// NewHTTPServer returns an HTTP server for s. Start opens its port.
func NewHTTPServer(s *Server) *HTTPServer {
	return &HTTPServer{server: s, http: &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    httpapi.MaxHeaderBytes,
	}}
}

// Start opens the port and serves in the background.
func (f *HTTPServer) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	f.listener = l
	go func() { _ = f.http.Serve(l) }()
	return nil
}

// Address returns the address of the open port. It must be called after Start.
func (f *HTTPServer) Address() string { return f.listener.Addr().String() }

// Stop performs the planned stop. It removes the host from the address answers, keeps
// serving until every address answer that lists the host has expired, and returns when
// no request is running. If ctx ends first, it returns the error of the HTTP shutdown.
func (f *HTTPServer) Stop(ctx context.Context) error {
	s := f.server
	s.stopping.Store(true)
	s.requestReport()
	lifetime := time.Duration(0)
	if v := s.view.Load(); v != nil {
		lifetime = v.Config.System.AddressLifetime
	}
	s.opt.Log.Info("Planned stop started, leaving the address answers", "lifetime", lifetime)
	clock.Sleep(ctx, leavePropagation/2)
	if s.opt.Handover != nil {
		if err := s.opt.Handover(ctx); err != nil {
			s.opt.Log.Warn("Claim shards not handed over yet", "err", err)
		}
	}
	clock.Sleep(ctx, lifetime+leavePropagation/2)
	err := f.http.Shutdown(ctx)
	s.background.Wait()
	s.opt.Log.Info("Port for callers closed", "err", err)
	return err
}

// leavePropagation is the time allowed for other hosts to learn that this host is leaving.
const leavePropagation = time.Second
