// Package objective counts for each service the requests that met its objective and
// those that missed it, in total and over sliding windows. It exports the counts as
// metrics, which `oleanderctl report burn` reads.
//
// Invariant: label values are configured service names and fixed words only, so the
// number of time series is bounded.
package objective

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/burnrate"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/burnwindow"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Names, labels and label values of the metrics.
const (
	RequestsMetric  = "oleander_service_requests_total"
	WindowMetric    = "oleander_service_window_requests"
	ObjectiveMetric = "oleander_service_objective"
	ServiceLabel    = "service"
	ResultLabel     = "result"
	WindowLabel     = "window"
	Good            = "good"
	Bad             = "bad"
)

var (
	requestsDesc  = prometheus.NewDesc(RequestsMetric, "Requests by whether they met the objective.", []string{ServiceLabel, ResultLabel}, nil)
	windowDesc    = prometheus.NewDesc(WindowMetric, "Requests of a sliding window by whether they met the objective.", []string{ServiceLabel, WindowLabel, ResultLabel}, nil)
	objectiveDesc = prometheus.NewDesc(ObjectiveMetric, "Share of requests that must succeed in time.", []string{ServiceLabel}, nil)
)

// Recorder counts request results per service. It implements prometheus.Collector and
// is safe for concurrent use.
type Recorder struct {
	now      func() time.Time
	mu       sync.Mutex
	services map[model.ServiceID]*service
}

type service struct {
	objective float64
	total     burnwindow.Count
	window    burnwindow.Window
}

// NewRecorder returns a recorder that is registered with reg. It panics if the metrics
// are already registered.
func NewRecorder(reg prometheus.Registerer, now func() time.Time) *Recorder {
	r := &Recorder{now: now, services: map[model.ServiceID]*service{}}
	reg.MustRegister(r)
	return r
}

// Configure sets the services and their objectives. The counts of services that are no
// longer configured are dropped.
func (r *Recorder) Configure(c *model.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.services {
		if _, ok := c.Services[id]; !ok {
			delete(r.services, id)
		}
	}
	for id, s := range c.Services {
		if r.services[id] == nil {
			r.services[id] = &service{}
		}
		r.services[id].objective = s.Objective
	}
}

// callerErrors are the results caused by the caller itself. They do not consume the
// service's error budget.
var callerErrors = map[resultcode.Code]bool{
	resultcode.BadRequest:     true,
	resultcode.UnknownService: true,
	resultcode.UnknownCaller:  true,
	resultcode.KeyRequired:    true,
	resultcode.KeyReused:      true,
	resultcode.TooLarge:       true,
	resultcode.OverRate:       true,
	resultcode.Quarantined:    true,
	resultcode.InProgress:     true,
}

// RecordResult counts a request that ended with code c. Results in callerErrors are not
// counted.
func (r *Recorder) RecordResult(id model.ServiceID, c resultcode.Code) {
	if !callerErrors[c] {
		r.Observe(id, c == resultcode.OK)
	}
}

// Observe counts one completed request. good reports whether it succeeded in time. It must
// not be called for requests that failed because of an error of the caller. Unknown
// services are ignored.
func (r *Recorder) Observe(id model.ServiceID, good bool) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[id]
	if s == nil {
		return
	}
	s.window.Add(now, good)
	if good {
		s.total.Good++
	} else {
		s.total.Bad++
	}
}

// Describe implements prometheus.Collector.
func (r *Recorder) Describe(out chan<- *prometheus.Desc) {
	out <- requestsDesc
	out <- windowDesc
	out <- objectiveDesc
}

// Collect implements prometheus.Collector.
func (r *Recorder) Collect(out chan<- prometheus.Metric) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.services {
		name := string(id)
		out <- prometheus.MustNewConstMetric(objectiveDesc, prometheus.GaugeValue, s.objective, name)
		emit(out, requestsDesc, prometheus.CounterValue, s.total, name)
		for _, span := range burnrate.Windows {
			emit(out, windowDesc, prometheus.GaugeValue, s.window.Sum(now, span), name, span.String())
		}
	}
}

func emit(out chan<- prometheus.Metric, d *prometheus.Desc, kind prometheus.ValueType, c burnwindow.Count, labels ...string) {
	out <- prometheus.MustNewConstMetric(d, kind, float64(c.Good), append(labels[:len(labels):len(labels)], Good)...)
	out <- prometheus.MustNewConstMetric(d, kind, float64(c.Bad), append(labels[:len(labels):len(labels)], Bad)...)
}
