package scaling

import (
	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/scaling"
)

// answerNames are the values of the label "answer".
var answerNames = map[scaling.Answer]string{
	scaling.Confirmed: "confirmed", scaling.Refused: "refused", scaling.NotTaken: "not_taken", scaling.Unanswered: "unanswered",
}

type metrics struct {
	orders *prometheus.CounterVec
	wanted *prometheus.GaugeVec
	demand *prometheus.GaugeVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_scaling_orders_total", Help: "Orders for endpoints by service and answer.",
		}, []string{"service", "answer"}),
		wanted: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oleander_scaling_wanted_endpoints", Help: "Endpoints that the demand of a service needs, at the host that orders them.",
		}, []string{"service"}),
		demand: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oleander_scaling_demand_slots", Help: "Demand for slots by service and kind of work, at the host that orders endpoints.",
		}, []string{"service", "work"}),
	}
	reg.MustRegister(m.orders, m.wanted, m.demand)
	return m
}

func (m *metrics) planned(service string, wanted int, d scaling.Demand) {
	m.wanted.WithLabelValues(service).Set(float64(wanted))
	m.demand.WithLabelValues(service, "running").Set(float64(d.Running))
	m.demand.WithLabelValues(service, "waiting").Set(float64(d.Waiting))
	m.demand.WithLabelValues(service, "due").Set(float64(d.Due))
}

func (m *metrics) answered(service string, a scaling.Answer) {
	m.orders.WithLabelValues(service, answerNames[a]).Inc()
}

// reset removes the gauges, which only the host that orders endpoints has.
func (m *metrics) reset() {
	m.wanted.Reset()
	m.demand.Reset()
}
