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
	"oleanderfall.example/oleanderfall/internal/transport/ingress"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	"oleanderfall.example/oleanderfall/internal/transport/process"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
	"oleanderfall.example/oleanderfall/internal/transport/viewstream"
)

const (
	readHeaderTimeout = 5 * time.Second
	writeTimeout      = httpapi.MaxTimeout + time.Minute
	clientIdleTimeout = 2 * time.Minute
)

// Module provides the components of the entry program and starts them.
var Module = fx.Module("entry",
	fx.Provide(newMesh, newViewClient, newServer, process.NewObjectAPI, asObjectAPI),
	claimservice.Module,
	fx.Invoke(serve),
)

func asObjectAPI(c *objectapi.Client) objectapi.API { return c }

func newMesh(s *settings.LocalSettings, keys *tlsconf.Keys, root *slog.Logger) (*quicmesh.Mesh, error) {
	return quicmesh.New(quicmesh.Options{
		Listen: s.Entry.Mesh,
		Server: keys.Server(),
		Client: keys.Client(),
		Log:    logging.Component(root, "mesh"),
	})
}

func newViewClient(s *settings.LocalSettings, mesh *quicmesh.Mesh, root *slog.Logger) *viewstream.Client {
	return viewstream.NewClient(mesh, s.Control.Listen, logging.Component(root, "feed"))
}

type serverParams struct {
	fx.In
	Settings   *settings.LocalSettings
	ViewClient *viewstream.Client
	Registry   *prometheus.Registry
	Root       *slog.Logger
	Claims     *claimservice.Service
}

func newServer(p serverParams) *Server {
	return NewServer(Options{
		Host:     p.Settings.Host.ID,
		Zone:     p.Settings.Host.Zone,
		Claims:   p.Claims,
		Handover: p.Claims.Handover,
		Report:   p.ViewClient.Report,
		Metrics:  p.Registry,
		Log:      logging.Component(p.Root, "entry"),
		Seed:     uint64(time.Now().UnixNano()),
	})
}

type serveParams struct {
	fx.In
	Lifecycle  fx.Lifecycle
	Settings   *settings.LocalSettings
	Mesh       *quicmesh.Mesh
	ViewClient *viewstream.Client
	Server     *Server
	API        *objectapi.Client
	Claims     *claimservice.Service
	Registry   *prometheus.Registry
	Health     *process.Health
	Limiter    *ingress.Limiter
}

// serve registers the lifecycle hooks: mesh, background loops, admin pages and the
// port for callers. The port is registered last so that it stops first.
func serve(p serveParams) {
	p.Health.Add("view", p.ViewClient.Ready)
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
			loops.start(p.ViewClient.Run, p.Server.ReportLoop, p.Server.PollLoop, func(ctx context.Context) { applyLoop(ctx, p.ViewClient, p.Server, p.API) })
			return nil
		},
		OnStop: func(context.Context) error { loops.stop(); return nil },
	})
	process.ServeAdmin(p.Lifecycle, p.Limiter, p.Settings.Entry.Admin, p.Registry, p.Health, func(r *mux.Router) {
		r.HandleFunc("/v1/explain/{id}", p.Server.ServeExplain).Methods(http.MethodGet)
	})
	// Runs after the last request has ended and while the mesh is still open, to record
	// the outcomes of the claims and hand over the shards.
	p.Lifecycle.Append(fx.StopHook(p.Claims.Stop))
	server := NewHTTPServer(p.Server, p.Limiter)
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
	// view is received. A caller whose connection is refused immediately tries another host.
	// The request of a caller that connects too early fails with an unknown outcome, because
	// the claims are not known yet. The view takes a few ms once the control program runs.
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
func applyLoop(ctx context.Context, client *viewstream.Client, s *Server, api *objectapi.Client) {
	for {
		select {
		case <-client.Changed():
			v := client.View()
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

func (g *loopGroup) start(loops ...func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	for _, loop := range loops {
		g.running.Go(func() { loop(ctx) })
	}
}

func (g *loopGroup) stop() {
	g.cancel()
	g.running.Wait()
}

// HTTPServer serves callers on a port and performs the planned stop.
type HTTPServer struct {
	server   *Server
	limiter  *ingress.Limiter
	http     *http.Server
	listener net.Listener
}

// NewHTTPServer returns an HTTP server for s, whose clients the limiter bounds. Start opens its port.
func NewHTTPServer(s *Server, limiter *ingress.Limiter) *HTTPServer {
	h := &HTTPServer{server: s, limiter: limiter, http: &http.Server{Handler: s.Handler(), WriteTimeout: writeTimeout}}
	ingress.Prepare(h.http)
	return h
}

// callerHeads are the limits of callers' requests.
func callerHeads() ingress.HeadLimits {
	return ingress.HeadLimits{MaxBytes: httpapi.MaxHeaderBytes, Timeout: readHeaderTimeout, IdleTimeout: clientIdleTimeout}
}

// Start opens the port and serves in the background.
func (h *HTTPServer) Start(address string) error {
	l, err := h.limiter.Listen(context.Background(), "tcp", address, "callers", callerHeads)
	if err != nil {
		return err
	}
	h.listener = l
	h.server.listening.Store(true)
	h.server.requestReport()
	go func() { _ = h.http.Serve(l) }()
	return nil
}

// Address returns the address of the open port. It must be called after Start.
func (h *HTTPServer) Address() string { return h.listener.Addr().String() }

// Stop performs the planned stop. It removes the host from the address answers, hands over
// its claim shards, keeps serving until every address answer that lists the host has
// expired, and returns when no request is running. If ctx ends first, it returns the error
// of the HTTP shutdown.
func (h *HTTPServer) Stop(ctx context.Context) error {
	s := h.server
	s.stopping.Store(true)
	s.requestReport()
	lifetime := time.Duration(0)
	if v := s.view.Load(); v != nil {
		lifetime = v.Config.System.AddressLifetime
	}
	s.opt.Log.Info("Planned stop started; removing host from address answers", "lifetime", lifetime)
	clock.Sleep(ctx, drainPropagationDelay/2)
	if s.opt.Handover != nil {
		if err := s.opt.Handover(ctx); err != nil {
			s.opt.Log.Warn("Failed to hand over claim shards", "err", err)
		}
	}
	clock.Sleep(ctx, lifetime+drainPropagationDelay/2)
	err := h.http.Shutdown(ctx)
	s.background.Wait()
	s.opt.Log.Info("Port for callers closed", "err", err)
	return err
}

// drainPropagationDelay is the time allowed for other hosts to learn that this host is
// draining. Half of it passes before the claim shards are handed over.
const drainPropagationDelay = time.Second
