package ctl

import (
	"context"
	"errors"
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

var errNoMetrics = errors.New("metrics response has no service metrics")

// serviceCounts holds a service's request counts, summed over all scraped programs.
type serviceCounts struct {
	objective float64
	total     burnwindow.Count
	windows   map[string]burnwindow.Count
}

// scrapeAll returns the request counts by service, summed over the programs at the
// addresses, and the addresses that could not be scraped.
func scrapeAll(ctx context.Context, addresses []string) (map[string]*serviceCounts, []string) {
	totals := map[string]*serviceCounts{}
	var missing []string
	for _, address := range addresses {
		families, err := scrape(ctx, address)
		if err != nil {
			missing = append(missing, address)
			continue
		}
		addFamilies(totals, families)
	}
	return totals, missing
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
		return nil, fmt.Errorf("unexpected HTTP status %d", resp.StatusCode)
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

// addFamilies adds the metrics of one program to totals.
func addFamilies(totals map[string]*serviceCounts, families map[string]*dto.MetricFamily) {
	countsOf := func(m *dto.Metric) *serviceCounts {
		name := labelValue(m, objective.ServiceLabel)
		if totals[name] == nil {
			totals[name] = &serviceCounts{windows: map[string]burnwindow.Count{}}
		}
		return totals[name]
	}
	for _, m := range families[objective.ObjectiveMetric].GetMetric() {
		countsOf(m).objective = max(countsOf(m).objective, m.GetGauge().GetValue())
	}
	for _, m := range families[objective.RequestsMetric].GetMetric() {
		countsOf(m).total = addValue(countsOf(m).total, m, m.GetCounter().GetValue())
	}
	for _, m := range families[objective.WindowMetric].GetMetric() {
		window := labelValue(m, objective.WindowLabel)
		countsOf(m).windows[window] = addValue(countsOf(m).windows[window], m, m.GetGauge().GetValue())
	}
}

// addValue adds value to the good or the bad count, by m's result label.
func addValue(c burnwindow.Count, m *dto.Metric, value float64) burnwindow.Count {
	if labelValue(m, objective.ResultLabel) == objective.Good {
		c.Good += uint64(value)
	} else {
		c.Bad += uint64(value)
	}
	return c
}

func labelValue(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}
