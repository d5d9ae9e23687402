package ctl

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/burnrate"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/burnwindow"
)

type reportCommands struct {
	Burn burnCommand `cmd:"" help:"Show how fast each service spends the errors its objective allows."`
}

type burnCommand struct {
	Admin   []string      `required:"" help:"Admin address of an entry program, HOST:PORT; repeat it for each host." placeholder:"ADDRESS"`
	Between time.Duration `help:"Also watch for this long and report on the time between."`
	Picture string        `help:"Write the report as a PNG picture too." placeholder:"FILE"`
}

// burnReport is the JSON form of the report.
type burnReport struct {
	Services []serviceBurn `json:"services"`
	// Missing lists the admin addresses that could not be scraped. If there are any, the
	// report is partial.
	Missing []string `json:"missing,omitempty"`
}

// serviceBurn holds the burn rates of one service.
type serviceBurn struct {
	Service   string           `json:"service"`
	Objective float64          `json:"objective"`
	Urgency   burnrate.Urgency `json:"urgency"`
	Windows   []windowBurn     `json:"windows"`
}

// windowBurn holds the requests and the burn rate of one service in one window.
type windowBurn struct {
	Window string `json:"window"`
	Good   uint64 `json:"good"`
	Bad    uint64 `json:"bad"`
	// Burn is the burn rate: the fraction of bad requests divided by the fraction that the
	// objective allows.
	Burn float64 `json:"burn"`
}

// Run scrapes the entry programs, twice with --between, and prints the burn rates. It fails
// if no program answers or if one stops answering before the second scrape.
func (c *burnCommand) Run(e *env) error {
	scraped, missing := scrapeAll(e.ctx, c.Admin)
	if len(missing) == len(c.Admin) {
		return resultcode.New(resultcode.Unreachable, "no program answered at %s", strings.Join(missing, ", "))
	}
	var later map[string]*serviceCounts
	if c.Between > 0 {
		var err error
		if later, err = scrapeAgain(e.ctx, c.Between, without(c.Admin, missing)); err != nil {
			return err
		}
	}
	report := burnReport{Services: burnRates(scraped, later, c.Between), Missing: missing}
	if c.Picture != "" {
		if err := drawBurn(c.Picture, report); err != nil {
			return resultcode.New(resultcode.BadRequest, "write picture: %v", err)
		}
	}
	return e.print(report, func(w io.Writer) { printBurn(w, report) })
}

func without(list, removed []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(removed, s) })
}

// scrapeAgain waits for delay and scrapes the addresses, which must all answer.
func scrapeAgain(ctx context.Context, delay time.Duration, addresses []string) (map[string]*serviceCounts, error) {
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, resultcode.New(resultcode.DeadlineExceeded, "--between is longer than --timeout")
	}
	later, missing := scrapeAll(ctx, addresses)
	if len(missing) > 0 {
		return nil, resultcode.New(resultcode.Unreachable, "no answer from %s to the second scrape", strings.Join(missing, ", "))
	}
	return later, nil
}

// burnRates returns the burn rates by service, sorted by name. If there is a later scrape,
// the time between the two scrapes is added as a window.
func burnRates(scraped, later map[string]*serviceCounts, between time.Duration) []serviceBurn {
	var out []serviceBurn
	for name, counts := range scraped {
		s := serviceBurn{Service: name, Objective: counts.objective}
		rates := map[time.Duration]float64{}
		for _, span := range burnrate.Windows {
			w := newWindowBurn(span.String(), counts.windows[span.String()], counts.objective)
			rates[span] = w.Burn
			s.Windows = append(s.Windows, w)
		}
		if end := later[name]; end != nil {
			delta, ok := countIncrease(counts.total, end.total)
			if ok {
				s.Windows = append(s.Windows, newWindowBurn("watched "+between.String(), delta, counts.objective))
			}
		}
		s.Urgency = burnrate.Classify(rates)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b serviceBurn) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// countIncrease returns the increase between two scrapes. It returns false if a count
// decreased: the counters of a restarted program begin at zero.
func countIncrease(from, to burnwindow.Count) (burnwindow.Count, bool) {
	if to.Good < from.Good || to.Bad < from.Bad {
		return burnwindow.Count{}, false
	}
	return burnwindow.Count{Good: to.Good - from.Good, Bad: to.Bad - from.Bad}, true
}

func newWindowBurn(name string, n burnwindow.Count, objective float64) windowBurn {
	const hundredths = 100
	rate := math.Round(burnrate.Rate(n.Good, n.Bad, objective)*hundredths) / hundredths
	return windowBurn{Window: name, Good: n.Good, Bad: n.Bad, Burn: rate}
}

func printBurn(w io.Writer, r burnReport) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "SERVICE\tOBJECTIVE\tWINDOW\tGOOD\tBAD\tBURN\tURGENCY\t")
	for _, s := range r.Services {
		for _, x := range s.Windows {
			fmt.Fprintf(table, "%s\t%g\t%s\t%d\t%d\t%.2f\t%s\t\n", s.Service, s.Objective, x.Window, x.Good, x.Bad, x.Burn, s.Urgency)
		}
	}
	_ = table.Flush()
	if len(r.Missing) > 0 {
		fmt.Fprintf(w, "partial: no answer from %s\n", strings.Join(r.Missing, ", "))
	}
}
