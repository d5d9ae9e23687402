package objectapi

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

type clientMetrics struct {
	calls       *prometheus.CounterVec
	lostAnswers *prometheus.CounterVec
	duration    prometheus.Histogram
}

func newClientMetrics(reg prometheus.Registerer, c *Client) *clientMetrics {
	m := &clientMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_objectapi_calls_total",
			Help: "Calls of the object API by kind and result.",
		}, []string{"kind", "result"}),
		lostAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_objectapi_lost_answers_total",
			Help: "Writes whose answer was lost, by what the read showed.",
		}, []string{"verdict"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "oleander_objectapi_call_seconds",
			Help:    "Time of one sending of a call.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 7),
		}),
	}
	if reg == nil {
		return m
	}
	gauge := func(name, help string, f func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f)
	}
	reg.MustRegister(m.calls, m.lostAnswers, m.duration,
		gauge("oleander_objectapi_read_budget", "Reads a second this process allows itself.", c.reads.rate),
		gauge("oleander_objectapi_write_budget", "Writes a second this process allows itself.", c.writes.rate),
		gauge("oleander_objectapi_outage_seconds", "How long the object API has given no answer.",
			func() float64 { return c.OutageFor().Seconds() }))
	return m
}

func (m *clientMetrics) count(kind string, err error) {
	m.calls.WithLabelValues(kind, resultLabel(err)).Inc()
}

func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrThrottled):
		return "throttled"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	}
	return "unavailable"
}
