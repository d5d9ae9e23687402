package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/zeebo/errs"
	"gopkg.in/ini.v1"
)

// Error is the class of this command's errors.
var Error = errs.Class("paired")

// buildPrefix precedes the name of the build in the reason of a journal entry.
const buildPrefix = "paired "

// day identifies a play.
type day struct {
	site, name string
	seed       int64
}

// play is the outcome of one day.
type play struct {
	// worth is the day's worth after prices, a share of what was owed.
	worth float64
	// broken is set if a rule was broken.
	broken bool
}

// entry is the part of a journal entry that is read here.
type entry struct {
	Why  string `json:"why"`
	Site string `json:"site"`
	Days []struct {
		Name  string         `json:"name"`
		Seed  int64          `json:"seed"`
		Worth float64        `json:"G"`
		Rules map[string]any `json:"rules"`
	} `json:"days"`
}

// readJournal returns the plays of each build in a journal folder.
func readJournal(folder string) (map[string]map[day]play, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	out := map[string]map[day]play{}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		var e entry
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, Error.New("journal entry %s: %v", file, err)
		}
		build, ok := strings.CutPrefix(e.Why, buildPrefix)
		if !ok {
			continue
		}
		if out[build] == nil {
			out[build] = map[day]play{}
		}
		for _, d := range e.Days {
			if d.Name == "" {
				continue // the play did not finish
			}
			out[build][day{e.Site, d.Name, d.Seed}] = play{worth: d.Worth, broken: len(d.Rules) > 0}
		}
	}
	return out, nil
}

// comparison is a row of a plan: a policy, the load or fault that it answers, and the builds
// with and without it.
type comparison struct {
	policy, answers, with, without string
	// verdict is what was done: kept, removed or reverted.
	verdict string
}

// readPlan reads the comparisons of a plan.
func readPlan(file string) ([]comparison, error) {
	f, err := ini.Load(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var out []comparison
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection {
			continue
		}
		c := comparison{policy: s.Name()}
		for key, field := range map[string]*string{"answers": &c.answers, "with": &c.with, "without": &c.without, "verdict": &c.verdict} {
			*field = s.Key(key).String()
		}
		if c.with == "" || c.without == "" {
			return nil, Error.New("plan %s: section %q names no builds with and without the policy", file, s.Name())
		}
		out = append(out, c)
	}
	return out, nil
}

// difference is the effect of a policy on one site.
type difference struct {
	site string
	// pairs is the number of days played on both builds.
	pairs int
	// mean is the mean worth with the policy less that without it, stdErr its standard error,
	// infinite for fewer than two pairs.
	mean, stdErr float64
	// broken is the number of plays that broke a rule.
	broken int
}

// differences compares the plays of two builds, by site.
func differences(with, without map[day]play) []difference {
	bySite := map[string][]float64{}
	broken := map[string]int{}
	for d, a := range with {
		b, ok := without[d]
		if !ok {
			continue
		}
		bySite[d.site] = append(bySite[d.site], a.worth-b.worth)
		for _, p := range []play{a, b} {
			if p.broken {
				broken[d.site]++
			}
		}
	}
	var out []difference
	for _, site := range slices.Sorted(maps.Keys(bySite)) {
		mean, stdErr := meanAndError(bySite[site])
		out = append(out, difference{site: site, pairs: len(bySite[site]), mean: mean, stdErr: stdErr, broken: broken[site]})
	}
	return out
}

// meanAndError returns the mean of values and its standard error.
func meanAndError(values []float64) (mean, stdErr float64) {
	n := float64(len(values))
	for _, v := range values {
		mean += v / n
	}
	if len(values) < 2 {
		return mean, math.Inf(1)
	}
	variance := 0.0
	for _, v := range values {
		variance += (v - mean) * (v - mean) / (n - 1)
	}
	return mean, math.Sqrt(variance / n)
}

// row is a comparison with its differences.
type row struct {
	comparison
	differences []difference
}

// compare evaluates a plan against the plays of a journal.
func compare(plan []comparison, plays map[string]map[day]play) []row {
	var out []row
	for _, c := range plan {
		out = append(out, row{c, differences(plays[c.with], plays[c.without])})
	}
	return out
}

// sites returns the sites of all rows, sorted.
func sites(rows []row) []string {
	names := map[string]bool{}
	for _, r := range rows {
		for _, d := range r.differences {
			names[d.site] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// table returns the rows as a Markdown table. A cell has the mean difference, its standard error
// and the number of pairs.
func table(rows []row) string {
	columns := sites(rows)
	var out strings.Builder
	fmt.Fprintf(&out, "| policy | answers | %s | verdict |\n|%s\n", strings.Join(columns, " | "), strings.Repeat(" --- |", len(columns)+3))
	for _, r := range rows {
		fmt.Fprintf(&out, "| %s | %s |", r.policy, r.answers)
		for _, site := range columns {
			fmt.Fprintf(&out, " %s |", r.cell(site))
		}
		fmt.Fprintf(&out, " %s |\n", cmp.Or(r.verdict, "open"))
	}
	return out.String()
}

func (r *row) cell(site string) string {
	i := slices.IndexFunc(r.differences, func(d difference) bool { return d.site == site })
	if i < 0 {
		return "not played"
	}
	d := r.differences[i]
	out := fmt.Sprintf("%+.3f ± %.3f (%d)", d.mean, d.stdErr, d.pairs)
	if d.broken > 0 {
		out += fmt.Sprintf(", %d broken", d.broken)
	}
	return out
}
