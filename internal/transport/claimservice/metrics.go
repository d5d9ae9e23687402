package claimservice

import (
	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/claims"
)

// metrics holds the claim service's metrics. Label values are only shards, verdicts and
// names of result codes, so the number of time series is bounded.
type metrics struct {
	verdicts          *prometheus.CounterVec
	begins            *prometheus.CounterVec
	ownershipLost     prometheus.Counter
	commitSeconds     prometheus.Histogram
	beginSeconds      prometheus.Histogram
	commitOps         prometheus.Histogram
	takeoverSeconds   prometheus.Histogram
	claims            *prometheus.GaugeVec
	unsettled         *prometheus.GaugeVec
	waiting           *prometheus.GaugeVec
	unsettledAttempts prometheus.Gauge
	heldBytes         prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	shard := []string{"shard"}
	m := &metrics{
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_claim_verdicts_total", Help: "Answers of this host as a shard's owner."}, []string{"verdict"}),
		begins: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_claim_begins_total", Help: "Ends of claim calls at this entry host."}, []string{"result"}),
		ownershipLost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oleander_claim_owner_lost_total", Help: "Newer owners met."}),
		commitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oleander_claim_commit_seconds", Help: "Time of a group commit.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}),
		beginSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oleander_claim_begin_seconds", Help: "Time until a claim was granted.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}),
		commitOps: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oleander_claim_entry_operations", Help: "Operations of a group commit.", Buckets: prometheus.ExponentialBuckets(1, 2, 13)}),
		takeoverSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oleander_claim_takeover_seconds", Help: "Time to read and fence a shard's journal.", Buckets: prometheus.ExponentialBuckets(0.01, 2, 12)}),
		claims: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oleander_claims", Help: "Claims remembered by the owner."}, shard),
		unsettled: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oleander_claims_unsettled", Help: "Claims without a recorded end."}, shard),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oleander_claim_calls_waiting", Help: "Calls that wait for a commit."}, shard),
		unsettledAttempts: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oleander_claim_attempts", Help: "Attempts of this entry host without a durable end."}),
		heldBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oleander_claim_held_answer_bytes", Help: "Answers kept at this entry host."}),
	}
	if reg != nil {
		reg.MustRegister(m.verdicts, m.begins, m.ownershipLost, m.commitSeconds, m.beginSeconds, m.commitOps,
			m.takeoverSeconds, m.claims, m.unsettled, m.waiting, m.unsettledAttempts, m.heldBytes)
	}
	return m
}

func (m *metrics) observe(shard string, s claims.Stats) {
	m.claims.WithLabelValues(shard).Set(float64(s.Claims))
	m.unsettled.WithLabelValues(shard).Set(float64(s.Unsettled))
	m.waiting.WithLabelValues(shard).Set(float64(s.Waiting))
}

func verdictName(v claims.Verdict) string {
	names := [...]string{"", "granted", "in_use", "answered", "not_known", "reused", "refused", "undecided", "settled"}
	if int(v) < len(names) {
		return names[v]
	}
	return "other"
}
