package front

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/prompts"
	"oleanderfall.example/oleanderfall/internal/state/batches"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// defaultSampleEvents is the assumed number of events of a sample for which the trainer gave neither
// an estimate nor a maximum.
const defaultSampleEvents = 512

// maxPromptTokens bounds the length of a prompt. A higher one is taken for a mistake.
const maxPromptTokens = 16 << 20

// PromptPrefix is a leading part of a prompt that several requests share.
type PromptPrefix struct {
	ID string
	// Tokens is the length of the part, counted from the start of the prompt.
	Tokens int
}

// newPrompt returns the prompt of a request that continues after the given number of events. The
// engine reads these events again like a part of the prompt. The result is empty if the length of
// the prompt is unknown.
func newPrompt(tokens int, prefixes []PromptPrefix, resumeAfter int) prompts.Prompt {
	if tokens <= 0 || tokens > maxPromptTokens {
		return prompts.Prompt{}
	}
	p := prompts.Prompt{Tokens: tokens + resumeAfter}
	for _, x := range prefixes {
		p.Prefixes = append(p.Prefixes, prompts.Prefix{Key: xxhash.Sum64String(x.ID), Tokens: min(x.Tokens, tokens)})
	}
	return p
}

// samplePrompt returns the prompt of a sample. The samples of a group have the same prompt, so that
// an engine that ran one of them has read it.
func (a *activeBatch) samplePrompt(s *batches.Sample, resumeAfter int) prompts.Prompt {
	p := newPrompt(s.PromptTokens, a.parent.runner.promptPrefixes(s.Header), resumeAfter)
	if p.Tokens == 0 {
		return p
	}
	key := xxhash.Sum64String(a.batch.ID + "\x00" + s.Group + "\x00" + strconv.Itoa(s.PromptTokens))
	p.Prefixes = append(p.Prefixes, prompts.Prefix{Key: key, Tokens: s.PromptTokens})
	p.Events = max(cmp.Or(s.ExpectedTokens, s.MaxOutputTokens, defaultSampleEvents), 1)
	return p
}

// prompt returns the prompt of a caller's request.
func (c *call) prompt() prompts.Prompt {
	return newPrompt(c.in.PromptTokens, c.in.PromptPrefixes, c.in.ResumeAfter)
}

// promptRead records the first event of a caller's stream, and logs it if it missed the objective.
func (c *call) promptRead(r *placement.Reading, e catalog.Endpoint) {
	took := c.f.fleet.PromptRead(r)
	if took > 0 && c.route.Objective > 0 && time.Since(c.began) > c.route.Objective {
		c.f.log.Info("First event of stream late", "request", c.in.ID, "endpoint", e.ID, "first_event_ms", took.Milliseconds(),
			"waited_ms", (time.Since(c.began) - took).Milliseconds(), "prompt_unread", r.Unread, "prompt_ahead", r.Ahead, "long", r.Long)
	}
}

// BeginReading records that an endpoint has to read the prompt of a request that Pick placed there.
// The caller must pass the result to PromptRead at the first event, and to EndReading. It is nil if
// the length of the prompt is unknown.
func (f *Fleet) BeginReading(e catalog.Endpoint, p prompts.Prompt) *placement.Reading {
	if p.Tokens <= 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.BeginReading(time.Now(), e, p)
}

// PromptRead records the first event of a request; see placement.Table.PromptRead.
func (f *Fleet) PromptRead(r *placement.Reading) (took time.Duration) {
	if r == nil {
		return 0
	}
	f.WithTable(func(t *placement.Table) { took = t.PromptRead(time.Now(), r) })
	if f.prompts != nil && took > 0 {
		f.prompts.firstEvents.WithLabelValues(promptKind(r)).Observe(took.Seconds())
	}
	return took
}

// EndReading records the end of a request; see placement.Table.EndReading.
func (f *Fleet) EndReading(r *placement.Reading) {
	if r != nil {
		f.WithTable(func(t *placement.Table) { t.EndReading(r) })
	}
}

func promptKind(r *placement.Reading) string {
	if r.Long {
		return "long"
	}
	return "short"
}

// promptMetrics are the metrics of prompts. Those of services are read from the table.
type promptMetrics struct {
	fleet                   *Fleet
	firstEvents             *prometheus.HistogramVec
	unread, perMs, longFrom *prometheus.Desc
}

// registerPromptMetrics registers the metrics of prompts with reg. It panics if they are registered
// already.
func (f *Fleet) registerPromptMetrics(reg prometheus.Registerer) {
	f.prompts = &promptMetrics{
		fleet: f,
		firstEvents: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleander_front_first_event_seconds", Help: "Time from sending a request with a prompt to an engine to its first event, by the length of the unread part of the prompt.",
			Buckets: prometheus.ExponentialBuckets(0.0125, 2, 10),
		}, []string{"prompt"}),
		unread: prometheus.NewDesc("oleander_front_unread_prompt_tokens", "Prompt tokens of this host's requests that engines have not read yet.", nil, nil),
		perMs: prometheus.NewDesc("oleander_front_prompt_tokens_per_ms", "Prompt tokens that an engine of the service reads in a millisecond, as learned from first events.",
			[]string{"service"}, nil),
		longFrom: prometheus.NewDesc("oleander_front_long_prompt_tokens", "Unread tokens above which a prompt is long, as learned from recent prompts.",
			[]string{"service"}, nil),
	}
	reg.MustRegister(f.prompts, f.prompts.firstEvents)
}

// Describe implements prometheus.Collector.
func (m *promptMetrics) Describe(out chan<- *prometheus.Desc) {
	out <- m.unread
	out <- m.perMs
	out <- m.longFrom
}

// Collect implements prometheus.Collector.
func (m *promptMetrics) Collect(out chan<- prometheus.Metric) {
	var all []prometheus.Metric
	m.fleet.WithTable(func(t *placement.Table) {
		all = append(all, prometheus.MustNewConstMetric(m.unread, prometheus.GaugeValue, float64(t.UnreadTokens())))
		for _, service := range t.PromptServices() {
			rate, longFrom := t.ReadingRate(service)
			all = append(all, prometheus.MustNewConstMetric(m.perMs, prometheus.GaugeValue, rate, service),
				prometheus.MustNewConstMetric(m.longFrom, prometheus.GaugeValue, float64(longFrom), service))
		}
	})
	for _, metric := range all {
		out <- metric
	}
}
