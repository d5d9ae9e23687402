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
	"oleanderfall.example/oleanderfall/internal/transport/claimservice"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// Options configures a Server.
type Options struct {
	Host model.HostID
	Zone model.ZoneID
	// Claims records claims. If it is nil, calls that need a claim are refused.
	Claims claimservice.Claims
	// Handover transfers the claim shards of this host to other hosts early in a planned
	// stop. It may be nil if the host owns no shards.
	Handover func(context.Context) error
	// Report sends a report to the host's control program. If it is nil, nothing is reported.
	Report  func(context.Context, wire.Report) error
	Metrics prometheus.Registerer
	Log     *slog.Logger
	// Seed seeds the random choices of routing and retries.
	Seed uint64
}

// Server handles requests of callers, concurrently. Apply sets its view of the fleet and
// is called by one goroutine at a time.
type Server struct {
	opt          Options
	metrics      *metrics
	history      *history
	idPrefix     string
	requestCount atomic.Uint64
	stopping     atomic.Bool
	// listening is set once the port for callers is open.
	listening atomic.Bool
	// connected is set if the control program received the last report.
	connected atomic.Bool
	view      atomic.Pointer[model.FleetView]
	// reportSignal makes ReportLoop send a report without delay.
	reportSignal chan struct{}
	// background counts the claimed runs, which may continue after their caller is gone.
	background sync.WaitGroup

	mu      sync.RWMutex
	targets map[endpoints.Target]*target

	rateMu sync.Mutex
	rates  map[model.CallerID]*callerRate

	quarantineMu sync.Mutex
	quarantine   *quarantine.List
}

// callerRate is the rate limiter of one caller. Its limit is recomputed from the reported
// demands every rateShareInterval.
type callerRate struct {
	admission.Rate
	limitUpdatedAt time.Time
}

// NewServer returns a server without a view. It refuses requests until the first Apply.
func NewServer(opt Options) *Server {
	return &Server{
		opt:          opt,
		metrics:      newMetrics(opt.Metrics),
		history:      newHistory(),
		idPrefix:     fmt.Sprintf("%s-%08x-", opt.Host, rand.Uint32()),
		reportSignal: make(chan struct{}, 1),
		targets:      map[endpoints.Target]*target{},
		rates:        map[model.CallerID]*callerRate{},
		quarantine:   quarantine.New(),
	}
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/addresses", s.serveAddresses).Methods(http.MethodGet)
	r.HandleFunc("/v1/services/{service}/{call}", s.serveCall).Methods(http.MethodPost)
	r.HandleFunc("/v1/deployments/{deployment}/generate", s.serveGenerate).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteFailure(w, httpapi.NewFailure(resultcode.NotFound, "There is no such page."), "")
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteFailure(w, httpapi.NewFailure(resultcode.BadRequest, "The page does not take this method."), "")
	})
	return s.withConnectionClose(r)
}

// withConnectionClose sends "Connection: close" during a planned stop, so that clients
// open their next connection to another host.
func (s *Server) withConnectionClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// ServeExplain serves the admin page that lists the events of one request.
func (s *Server) ServeExplain(w http.ResponseWriter, r *http.Request) { s.history.serve(w, r) }

// Apply sets the view of the fleet. Views without a configuration are ignored.
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

// applyConfig sets a view together with the targets of its configuration, so that lookup
// never returns a view and a target of different configurations.
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
		t.configure(now, endpoints.Subset(endpoints.ForTarget(c, id), s.opt.Host, hosts), floor)
	}
	for id, t := range s.targets {
		if _, ok := wanted[id]; !ok {
			delete(s.targets, id)
			t.transport.CloseIdleConnections()
		}
	}
	s.view.Store(v)
}

// hasView reports whether a view has been applied.
func (s *Server) hasView() bool { return s.view.Load() != nil }

// lookup returns the current view and the target with this id in its configuration. Both
// are nil before the first view, and the target is nil if it is not configured.
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

func (s *Server) nextRequestID() string {
	return fmt.Sprintf("%s%d", s.idPrefix, s.requestCount.Add(1))
}

// requestReport makes ReportLoop send a report without delay.
func (s *Server) requestReport() {
	select {
	case s.reportSignal <- struct{}{}:
	default:
	}
}

// Stopping reports whether a planned stop has started.
func (s *Server) Stopping() bool { return s.stopping.Load() }
