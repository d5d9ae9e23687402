package configproof

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	refusals  prometheus.Counter
	refreshes *prometheus.CounterVec
}

// New returns a prover and registers its metrics. The bound must be positive.
func New(opt Options, reg prometheus.Registerer) *Prover {
	p := &Prover{opt: opt, bound: opt.Bound - opt.Bound/boundMargin, changed: make(chan struct{}),
		unsupported: map[string]time.Duration{},
		metrics: &metrics{
			refusals: prometheus.NewCounter(prometheus.CounterOpts{
				Name: "oleander_config_proof_refusals_total", Help: "Requests with keys refused because the configuration was not proven to be recent.",
			}),
			refreshes: prometheus.NewCounterVec(prometheus.CounterOpts{
				Name: "oleander_config_proof_refreshes_total", Help: "Refreshes of the proof by source: peer, store or failed.",
			}, []string{"source"}),
		}}
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oleander_config_proof_age_seconds", Help: "Age of the newest proof for the configuration in force; not a number without one.",
	}, func() float64 {
		if age, ok := p.age(); ok {
			return age.Seconds()
		}
		return math.NaN()
	})
	reg.MustRegister(p.metrics.refusals, p.metrics.refreshes, age)
	return p
}
