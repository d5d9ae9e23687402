package ctl

import (
	"context"
	"fmt"
	"net/http"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"oleanderfall.example/oleanderfall/internal/state/burnwindow"
	"oleanderfall.example/oleanderfall/internal/transport/objective"
)

const scrapeTimeout = 5 * time.Second

// serviceCounts are a service's counts over all programs scraped.
type serviceCounts struct {
	objective float64
	total     burnwindow.Count
	windows   map[string]burnwindow.Count
}

// scrapeAll adds up the counts of the programs at the addresses and names those
// that did not answer.
func scrapeAll(ctx context.Context, addresses []string) (map[string]*serviceCounts, []string) {
	sum := map[string]*serviceCounts{}
	var missing []string
	for _, address := range addresses {
		families, err := scrape(ctx, address)
		if err != nil {
			missing = append(missing, address)
			continue
		}
		addFamilies(sum, families)
	}
	return sum, missing
}

func scrape(ctx context.Context, address string) (map[string]*dto.MetricFamily, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, err
	}
	if families[objective.ObjectiveMetric] == nil {
		return nil, errNoMetrics
	}
	return families, nil
}

func addFamilies(sum map[string]*serviceCounts, families map[string]*dto.MetricFamily) {
	at := func(m *dto.Metric) *serviceCounts {
		name := label(m, objective.ServiceLabel)
		if sum[name] == nil {
			sum[name] = &serviceCounts{windows: map[string]burnwindow.Count{}}
		}
		return sum[name]
	}
	for _, m := range families[objective.ObjectiveMetric].GetMetric() {
		at(m).objective = max(at(m).objective, m.GetGauge().GetValue())
	}
	for _, m := range families[objective.RequestsMetric].GetMetric() {
		at(m).total = plus(at(m).total, m, m.GetCounter().GetValue())
	}
	for _, m := range families[objective.WindowMetric].GetMetric() {
		window := label(m, objective.WindowLabel)
		at(m).windows[window] = plus(at(m).windows[window], m, m.GetGauge().GetValue())
	}
}

func plus(c burnwindow.Count, m *dto.Metric, value float64) burnwindow.Count {
	if label(m, objective.ResultLabel) == objective.Good {
		c.Good += uint64(value)
	} else {
		c.Bad += uint64(value)
	}
	return c
}

func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}
