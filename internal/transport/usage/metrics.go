package usage

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
)

type metrics struct {
	messages    *prometheus.CounterVec
	decided     *prometheus.CounterVec
	reports     *prometheus.CounterVec
	delay       prometheus.Histogram
	unsent      prometheus.Gauge
	clockOffset prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_usage_messages_total", Help: "Messages with counts that this host sent to the reporting host, by outcome.",
		}, []string{"outcome"}),
		decided: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_usage_windows_decided_total", Help: "Windows that this host decided, or found decided by another holder.",
		}, []string{"by"}),
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_usage_reports_total", Help: "Calls with a report of usage, by outcome.",
		}, []string{"outcome"}),
		delay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oleander_usage_report_delay_seconds", Help: "Time from the end of a window to the confirmation of its report.",
			Buckets: []float64{2, 3, 4, 5, 6, 8, 10, 15, 30, 60, 300},
		}),
		unsent: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oleander_usage_unsent_reports", Help: "Decided reports at this host that the operator's API has not confirmed.",
		}),
		clockOffset: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oleander_usage_clock_offset_seconds", Help: "Wall clock of this host minus the time by which it assigns windows.",
		}),
	}
	reg.MustRegister(m.messages, m.decided, m.reports, m.delay, m.unsent, m.clockOffset)
	return m
}

// outcome returns the metric label of the error of a report.
func outcome(err error) string {
	switch {
	case err == nil:
		return "confirmed"
	case errors.Is(err, operatorapi.ErrSuperseded):
		return "superseded"
	case errors.Is(err, operatorapi.ErrTooMany):
		return "too_many"
	case errors.Is(err, operatorapi.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, operatorapi.ErrUnconfirmed):
		return "unconfirmed"
	}
	return "refused"
}
