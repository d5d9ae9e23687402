package front

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

// Metrics are the metrics of a host's requests and batch calls.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	batches  *prometheus.CounterVec
	// cutEntries counts what did not fit into heartbeats.
	cutEntries *prometheus.CounterVec
}

// NewMetrics registers the metrics with reg. It panics if they are registered already.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_front_requests_total", Help: "Requests by route and result code.",
		}, []string{"route", "code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleander_front_request_seconds", Help: "Time from a request's arrival to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"route"}),
		batches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_front_batch_calls_total", Help: "Calls about batches by call and result code.",
		}, []string{"call", "code"}),
		cutEntries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_front_heartbeat_entries_cut_total", Help: "Entries that did not fit into a heartbeat, by list.",
		}, []string{"list"}),
	}
	reg.MustRegister(m.requests, m.latency, m.batches, m.cutEntries)
	return m
}

func (m *Metrics) recordRequest(route string, code resultcode.Code, took time.Duration) {
	m.requests.WithLabelValues(route, strconv.Itoa(int(code))).Inc()
	m.latency.WithLabelValues(route).Observe(took.Seconds())
}

// CountBatchCall counts a call of the batch API by its name and result code.
func (m *Metrics) CountBatchCall(call string, code resultcode.Code) {
	m.batches.WithLabelValues(call, strconv.Itoa(int(code))).Inc()
}
