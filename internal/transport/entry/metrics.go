package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/objective"
)

// metrics are the metrics of the entry program. The service label has only names from the
// configuration and unknownTarget as values, so that their number is bounded.
type metrics struct {
	requests  *prometheus.CounterVec
	seconds   *prometheus.HistogramVec
	objective *objective.Recorder
	attempts  *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	tokens    *prometheus.CounterVec
	running   *prometheus.GaugeVec
	limit     *prometheus.GaugeVec
}

// unknownTarget is the service label of requests to names that are not configured.
const unknownTarget = "unknown"

func newMetrics(reg prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
		reg.MustRegister(c)
		return c
	}
	gauge := func(name, help string) *prometheus.GaugeVec {
		g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"service"})
		reg.MustRegister(g)
		return g
	}
	seconds := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "oleander_request_seconds",
		Help:    "Time from a request's arrival to its end.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
	}, []string{"service"})
	reg.MustRegister(seconds)
	return &metrics{
		requests:  counter("oleander_requests_total", "Requests by result.", "service", "result", "outcome"),
		seconds:   seconds,
		objective: objective.NewRecorder(reg, time.Now),
		attempts:  counter("oleander_attempts_total", "Attempts sent to endpoints.", "service"),
		refusals:  counter("oleander_refusals_total", "Requests refused without running.", "service", "result"),
		tokens:    counter("oleander_stream_tokens_total", "Tokens passed to callers.", "service"),
		running:   gauge("oleander_running_requests", "Requests that hold a slot."),
		limit:     gauge("oleander_concurrency_limit", "Present limit of requests at once."),
	}
}

func (m *metrics) recordRequest(service string, c resultcode.Code, o resultcode.Outcome, duration time.Duration) {
	result := strconv.Itoa(int(c))
	m.requests.WithLabelValues(service, result, string(o)).Inc()
	m.seconds.WithLabelValues(service).Observe(duration.Seconds())
	m.objective.RecordResult(model.ServiceID(service), c)
	if c != resultcode.OK && c.Info().Outcome == resultcode.NotRun {
		m.refusals.WithLabelValues(service, result).Inc()
	}
}
