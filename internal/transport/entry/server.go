package entry

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/admission"
	"oleanderfall.example/oleanderfall/internal/coordination/quarantine"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/endpoints"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/claimduty"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// Options configures a Server.
type Options struct {
	Host model.HostID
	Zone model.ZoneID
	// Claims is nil when none can be recorded; calls that need one are refused then.
	Claims claimduty.Claims
	// Handover gives the claim shards of this host to others early in a planned stop;
	// nil when there are none.
	Handover func(context.Context) error
	// Report tells the host's control program what was seen; nil tells nobody.
	Report  func(context.Context, wire.Report) error
	Metrics prometheus.Registerer
	Log     *slog.Logger
	// Seed feeds the random choices.
	Seed uint64
}

// Server answers callers. Its view of the fleet is set by Apply.
type Server struct {
	opt      Options
	metrics  *metrics
	history  *history
	boot     string
	counter  atomic.Uint64
	stopping atomic.Bool
	// connected says that the last report reached the control program.
	connected atomic.Bool
	view      atomic.Pointer[model.FleetView]
	// news wakes the reporter.
	news chan struct{}
	// background counts the runs that outlive their caller.
	background sync.WaitGroup

	mu      sync.RWMutex
	targets map[endpoints.Target]*target

	rateMu sync.Mutex
	rates  map[model.CallerID]*callerRate

	quarantineMu sync.Mutex
	quarantine   *quarantine.List
}

// callerRate is a caller's bucket; its limit follows the demands at an interval.
type callerRate struct {
	admission.Rate
	limited time.Time
}

// NewServer returns a server without a view: it refuses until the first Apply.
func NewServer(opt Options) *Server {
	return &Server{
		opt:        opt,
		metrics:    newMetrics(opt.Metrics),
		history:    newHistory(),
		boot:       fmt.Sprintf("%s-%08x-", opt.Host, rand.Uint32()),
		news:       make(chan struct{}, 1),
		targets:    map[endpoints.Target]*target{},
		rates:      map[model.CallerID]*callerRate{},
		quarantine: quarantine.New(),
	}
}

// Handler returns the pages for callers.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/addresses", s.serveAddresses).Methods(http.MethodGet)
	r.HandleFunc("/v1/services/{service}/{call}", s.serveCall).Methods(http.MethodPost)
	r.HandleFunc("/v1/deployments/{deployment}/generate", s.serveGenerate).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteFailure(w, httpapi.Fail(resultcode.NotFound, "There is no such page."), "")
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteFailure(w, httpapi.Fail(resultcode.BadRequest, "The page does not take this method."), "")
	})
	return s.closing(r)
}

// closing asks clients to open their next connection elsewhere during a planned stop.
func (s *Server) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// ServeExplain is the admin page on one request.
func (s *Server) ServeExplain(w http.ResponseWriter, r *http.Request) { s.history.serve(w, r) }

// Apply takes over a view of the fleet.
func (s *Server) Apply(v *model.FleetView) {
	if v == nil || v.Config == nil {
		return
	}
	now := time.Now()
	old := s.view.Load()
	if old == nil || old.Config != v.Config {
		s.applyConfig(now, v)
	} else {
		s.view.Store(v)
	}
	for _, t := range s.allTargets() {
		t.apply(now, v)
	}
	s.quarantineMu.Lock()
	s.quarantine.Merge(now, v.Quarantine)
	s.quarantineMu.Unlock()
}

// applyConfig publishes a view together with the targets of its configuration.
func (s *Server) applyConfig(now time.Time, v *model.FleetView) {
	c := v.Config
	s.metrics.objective.Configure(c)
	hosts := entryHosts(c)
	wanted := map[endpoints.Target]float64{}
	for id := range c.Services {
		wanted[endpoints.Target{Service: id}] = 0
	}
	for id, d := range c.Deployments {
		wanted[endpoints.Target{Deployment: id}] = d.TrainingFloor
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, floor := range wanted {
		t := s.targets[id]
		if t == nil {
			t = newTarget(now, id, s.opt.Zone, s.opt.Seed+uint64(len(s.targets)))
			s.targets[id] = t
		}
		t.configure(now, endpoints.Subset(endpoints.Of(c, id), s.opt.Host, hosts), floor)
	}
	for id, t := range s.targets {
		if _, ok := wanted[id]; !ok {
			delete(s.targets, id)
			t.transport.CloseIdleConnections()
		}
	}
	s.view.Store(v)
}

// hasView reports whether requests can be looked up.
func (s *Server) hasView() bool { return s.view.Load() != nil }

// lookup returns the view and the target of that view's configuration.
func (s *Server) lookup(id endpoints.Target) (*model.FleetView, *target) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.view.Load(), s.targets[id]
}

func (s *Server) allTargets() []*target {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*target, 0, len(s.targets))
	for _, t := range s.targets {
		out = append(out, t)
	}
	return out
}

func (s *Server) nextID() string { return fmt.Sprintf("%s%d", s.boot, s.counter.Add(1)) }

// wake lets the reporter tell news without delay.
func (s *Server) wake() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// Stopping says that a planned stop began.
func (s *Server) Stopping() bool { return s.stopping.Load() }
