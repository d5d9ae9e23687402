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

// WeightStore simulates a store of model weights with a limited download rate.
type WeightStore struct {
	faults    *faultSet
	limit     *rate.Limiter
	mu        sync.Mutex
	downloads int
}

// NewWeightStore returns a store that serves at most downloadsPerSecond downloads per
// second; 0 means unlimited.
func NewWeightStore(downloadsPerSecond float64) *WeightStore {
	return &WeightStore{faults: newFaultSet(), limit: newLimiter(downloadsPerSecond)}
}

// SetFaults replaces the faults.
func (s *WeightStore) SetFaults(f Faults) { s.faults.set(f) }

// Downloads returns the number of downloads served.
func (s *WeightStore) Downloads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.downloads
}

// Download simulates the download of one version of a model in process. Every model and
// version exists. Download blocks until the rate limit admits it. With the faults Outage or
// Refuse it returns objectapi.ErrUnavailable, wrapped.
func (s *WeightStore) Download(ctx context.Context, _ string, _ model.WeightVersion) error {
	if err := s.faults.wait(ctx); err != nil {
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
	s.downloads++
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

// HostList simulates the platform's list of hosts, which shows changes after a lag.
type HostList struct {
	faults    *faultSet
	lag       time.Duration
	mu        sync.Mutex
	visible   []platformapi.ListedHost
	pending   []platformapi.ListedHost // nil when no change is pending
	visibleAt time.Time                // when pending becomes visible
}

// NewHostList returns an empty list that shows each change after lag.
func NewHostList(lag time.Duration) *HostList { return &HostList{faults: newFaultSet(), lag: lag} }

// SetFaults replaces the faults.
func (l *HostList) SetFaults(f Faults) { l.faults.set(f) }

// Set replaces the list. Readers see the new list after the lag.
func (l *HostList) Set(hosts []platformapi.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending, l.visibleAt = hosts, time.Now().Add(l.lag)
}

// Hosts returns the list that readers see now.
func (l *HostList) Hosts() []platformapi.ListedHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending != nil && !time.Now().Before(l.visibleAt) {
		l.visible, l.pending = l.pending, nil
	}
	return l.visible
}

// Handler serves GET /v1/hosts.
func (l *HostList) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		if l.faults.wait(r.Context()) != nil {
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
