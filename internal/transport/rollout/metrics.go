package rollout

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/samples"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// metrics are the program's own; trainers bound their label values.
type metrics struct {
	idle      *prometheus.CounterVec
	staleness *prometheus.HistogramVec
	samples   *prometheus.CounterVec
	dropped   *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		idle: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_trainer_idle_seconds_total", Help: "Time that pulls of a trainer waited for a batch.",
		}, []string{"trainer"}),
		staleness: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleander_sample_staleness", Help: "Versions a sample was behind its trainer when offered.",
			Buckets: []float64{0, 1, 2, 4, 8, 16},
		}, []string{"trainer"}),
		samples: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_samples_total", Help: "Samples by what became of them.",
		}, []string{"trainer", "result"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_samples_dropped_total", Help: "Samples given up, by the upper limit of their expected tokens.",
		}, []string{"trainer", "tokens_max"}),
	}
	reg.MustRegister(m.idle, m.staleness, m.samples, m.dropped)
	return m
}

// count adds what changed between two states of a trainer's totals.
func (m *metrics) count(t model.TrainerID, before, now samples.Counts) {
	add := func(result string, was, is uint64) {
		if is > was {
			m.samples.WithLabelValues(string(t), result).Add(float64(is - was))
		}
	}
	add("delivered", before.Delivered, now.Delivered)
	add("rerun", before.Rerun, now.Rerun)
	add("cancelled", before.Cancelled, now.Cancelled)
	add("doubtful", before.Doubtful, now.Doubtful)
	add("over_bound", before.OverBound, now.OverBound)
	add("suspect", before.Suspect, now.Suspect)
	add("moved", before.Moved, now.Moved)
	add("dropped", before.DroppedByLength.Total(), now.DroppedByLength.Total())
	for b, n := range now.DroppedByLength {
		if n > before.DroppedByLength[b] {
			m.dropped.WithLabelValues(string(t), strconv.Itoa(1<<b)).Add(float64(n - before.DroppedByLength[b]))
		}
	}
}

func (m *metrics) offered(t model.TrainerID, staleness int) {
	m.staleness.WithLabelValues(string(t)).Observe(float64(max(0, staleness)))
}
