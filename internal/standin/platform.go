package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"oleanderfall.example/oleanderfall/internal/protocol/platformapi"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// WeightStore is a rate-limited store of weights: so many downloads a second.
type WeightStore struct {
	faults *faultSet
	limit  *rate.Limiter
	mu     sync.Mutex
	loads  int
}

// NewWeightStore returns a store that serves loadsPerSecond downloads; 0 is unlimited.
func NewWeightStore(loadsPerSecond float64) *WeightStore {
	return &WeightStore{faults: newFaultSet(), limit: limiter(loadsPerSecond)}
}

// SetFaults replaces the faults.
func (s *WeightStore) SetFaults(f Faults) { s.faults.set(f) }

// Loads returns the number of downloads served.
func (s *WeightStore) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Download is one download, in process; it waits for the store's rate.
func (s *WeightStore) Download(ctx context.Context, _ string, _ model.WeightVersion) error {
	if err := s.faults.hold(ctx); err != nil {
		return err
	}
	if f := s.faults.get(); f.Outage || f.Refuse {
		return unavailable(context.DeadlineExceeded)
	}
	if err := s.limit.Wait(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	return nil
}

// Handler serves GET /v1/weights/MODEL/VERSION.
func (s *WeightStore) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/weights/{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		v, err := strconv.ParseUint(mux.Vars(r)["version"], 10, 64)
		if err != nil {
			http.Error(w, "bad version", http.StatusBadRequest)
			return
		}
		if err := s.Download(r.Context(), mux.Vars(r)["model"], model.WeightVersion(v)); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return r
}

// HostList is the platform's lagging list of hosts.
type HostList struct {
	faults *faultSet
	lag    time.Duration
	mu     sync.Mutex
	shown  []platformapi.ListedHost
	next   []platformapi.ListedHost
	due    time.Time
}

// NewHostList returns an empty list whose changes show after lag.
func NewHostList(lag time.Duration) *HostList { return &HostList{faults: newFaultSet(), lag: lag} }

// SetFaults replaces the faults.
func (l *HostList) SetFaults(f Faults) { l.faults.set(f) }

// Set replaces the list; readers see it after the lag.
func (l *HostList) Set(hosts []platformapi.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next, l.due = hosts, time.Now().Add(l.lag)
}

// Hosts returns the list as readers see it.
func (l *HostList) Hosts() []platformapi.ListedHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next != nil && !time.Now().Before(l.due) {
		l.shown, l.next = l.next, nil
	}
	return l.shown
}

// Handler serves GET /v1/hosts.
func (l *HostList) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		if l.faults.hold(r.Context()) != nil {
			return
		}
		if l.faults.get().Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, platformapi.HostList{Hosts: l.Hosts()})
	}).Methods(http.MethodGet)
	return r
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
