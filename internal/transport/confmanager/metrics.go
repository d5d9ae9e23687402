package confmanager

import (
	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/confgen"
)

type configMetrics struct {
	commits       *prometheus.CounterVec
	applied       *prometheus.CounterVec
	fetchFailures prometheus.Counter
	watching      prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer, manager *Manager) *configMetrics {
	m := &configMetrics{
		commits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_configuration_commits_total",
			Help: "Operators' changes handled by this host, by result.",
		}, []string{"result"}),
		applied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_configuration_applied_total",
			Help: "Generations put in force on this host, by source.",
		}, []string{"source"}),
		fetchFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oleander_configuration_fetch_failures_total",
			Help: "Generations or roots that could not be read.",
		}),
		watching: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oleander_configuration_watching",
			Help: "1 while this host watches the object API for changes.",
		}),
	}
	if reg == nil {
		return m
	}
	reg.MustRegister(m.commits, m.applied, m.fetchFailures, m.watching,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oleander_configuration_generation",
			Help: "Generation in force on this host.",
		}, func() float64 { return float64(manager.Generation()) }))
	return m
}

func resultLabel(k confgen.ResultKind) string {
	return [...]string{"accepted", "unchanged", "raced", "reused", "outage", "unknown"}[k]
}
