// Package process holds what the long-running programs share: flags, settings, logging, TLS
// keys, metrics, health checks and the lifecycle of the fx application.
//
// Invariant: a program that cannot read its settings exits before it opens any port, and a
// planned stop (SIGTERM) waits for the components to finish their work in flight.
package process

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"

	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/transport/ingress"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

const (
	startTimeout = 20 * time.Second
	// stopTimeout bounds a planned stop. It covers the longest request plus the time
	// for which callers may still use an entry program's address answer that lists this host.
	stopTimeout         = 15 * time.Minute
	exitInvalidSettings = 2
)

type flags struct {
	Settings string `arg:"" help:"Folder of this host's INI settings." type:"existingdir"`
}

// Run parses the flags, reads the settings and runs a program until it is stopped. It
// returns the exit code, except that --help and invalid flags exit the process.
func Run(name, description string, options ...fx.Option) int {
	var f flags
	kong.Parse(&f, kong.Name(name), kong.Description(description))
	s, err := settings.LoadLocalSettings(f.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	root := logging.New(os.Stderr, s.Host.LogLevel)
	app := fx.New(append(options,
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.Supply(s, root),
		fx.Provide(newRegistry, newKeys, NewHealth, newLimiter),
	)...)
	return runApp(app, logging.Component(root, "process"))
}

func runApp(app *fx.App, log *slog.Logger) int {
	stopped := app.Wait() // before the start, so that a signal during it does not end the process
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		log.Error("Start failed", "err", err)
		return 1
	}
	signal := <-stopped
	log.Info("Stop signal received", "signal", signal.Signal)
	stopping, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	if err := app.Stop(stopping); err != nil {
		log.Error("Stop failed", "err", err)
		return 1
	}
	return signal.ExitCode
}

func newRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

func newLimiter(s *settings.LocalSettings, reg *prometheus.Registry, root *slog.Logger) *ingress.Limiter {
	return ingress.NewLimiter(ingress.DefaultLimits(int64(s.Clients.MemoryMiB)<<20, int64(s.Clients.Descriptors)), reg, logging.Component(root, "ingress"))
}

func newKeys(s *settings.LocalSettings) (*tlsconf.Keys, error) {
	return tlsconf.Load(tlsconf.Files{
		Authority:   s.TLS.Authority,
		Certificate: s.TLS.Certificate,
		Key:         s.TLS.Key,
	})
}

// Health holds the readiness checks of a program. Its methods may be called from any
// goroutine.
type Health struct {
	mu     sync.Mutex
	checks map[string]func() error
}

// NewHealth returns a Health without checks, which is ready.
func NewHealth() *Health { return &Health{checks: map[string]func() error{}} }

// Add registers a check under a name. check returns nil while its condition holds.
func (h *Health) Add(name string, check func() error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checks[name] = check
}

// Ready runs all checks and returns their errors joined, nil if all passed.
func (h *Health) Ready() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	var failing []error
	for name, check := range h.checks {
		if err := check(); err != nil {
			failing = append(failing, fmt.Errorf("%s: %w", name, err))
		}
	}
	return errors.Join(failing...)
}

// ServeAdmin serves /metrics, /healthz and /readyz on address from the start of the
// application to its stop. register, if not nil, adds the program's own pages.
func ServeAdmin(lc fx.Lifecycle, limiter *ingress.Limiter, address string, reg *prometheus.Registry, h *Health, register func(*mux.Router)) {
	r := mux.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := h.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	if register != nil {
		register(r)
	}
	server := &http.Server{Handler: r}
	ingress.Prepare(server)
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			l, err := limiter.Listen(ctx, "tcp", address, "admin", nil)
			if err != nil {
				return err
			}
			go func() { _ = server.Serve(l) }()
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}
