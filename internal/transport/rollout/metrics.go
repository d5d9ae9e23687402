package rollout

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/samples"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// metrics holds the metrics of the rollout program. The number of configured trainers bounds
// the values of the trainer label.
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

// addCounts adds the increase between two readings of a trainer's counts.
func (m *metrics) addCounts(t model.TrainerID, before, after samples.Counts) {
	add := func(result string, previous, current uint64) {
		if current > previous {
			m.samples.WithLabelValues(string(t), result).Add(float64(current - previous))
		}
	}
	add("delivered", before.Delivered, after.Delivered)
	add("rerun", before.Rerun, after.Rerun)
	add("cancelled", before.Cancelled, after.Cancelled)
	add("doubtful", before.UncertainVersions, after.UncertainVersions)
	add("over_bound", before.OverBound, after.OverBound)
	add("suspect", before.Suspect, after.Suspect)
	add("moved", before.Moved, after.Moved)
	add("dropped", before.DroppedByLength.Total(), after.DroppedByLength.Total())
	for b, n := range after.DroppedByLength {
		if n > before.DroppedByLength[b] {
			m.dropped.WithLabelValues(string(t), strconv.Itoa(1<<b)).Add(float64(n - before.DroppedByLength[b]))
		}
	}
}

func (m *metrics) observeStaleness(t model.TrainerID, staleness int) {
	m.staleness.WithLabelValues(string(t)).Observe(float64(max(0, staleness)))
}
