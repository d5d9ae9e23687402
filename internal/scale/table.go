package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

var errTimeout = errors.New("timed out")

// column is one measurement in the printed tables.
type column struct {
	name   string
	format string
	value  func(result) float64
}

const mebibyte = 1 << 20

var columns = []column{
	{"endpoints", "%.0f", func(r result) float64 { return float64(r.endpoints) }},
	{"links", "%.1f", func(r result) float64 { return r.links }},
	{"RSS mean, MB", "%.1f", func(r result) float64 { return r.rssMean / mebibyte }},
	{"RSS max, MB", "%.1f", func(r result) float64 { return r.rssMax / mebibyte }},
	{"RSS max while feeding a program, MB", "%.1f", func(r result) float64 { return r.rssMaxWatched / mebibyte }},
	{"CPU, % of a core", "%.2f", func(r result) float64 { return 100 * r.cpuShare }},
	{"CPU while feeding a program, % of a core", "%.2f", func(r result) float64 { return 100 * r.cpuShareWatched }},
	{"KB/s sent + received", "%.2f", func(r result) float64 { return r.bytesPerSecond / 1000 }},
	{"packets/s sent + received", "%.1f", func(r result) float64 { return r.packetsPerSecond }},
	{"object API calls/s, all hosts", "%.2f", func(r result) float64 { return r.objectAPICallRate }},
	{"all joined, s", "%.1f", func(r result) float64 { return r.joinTime.Seconds() }},
	{"configuration everywhere, s", "%.2f", func(r result) float64 { return r.configurationPropagation.Seconds() }},
	{"operator's drain everywhere, s", "%.2f", func(r result) float64 { return r.operatorDrainPropagation.Seconds() }},
	{"endpoint's drain everywhere, s", "%.2f", func(r result) float64 { return r.endpointDrainPropagation.Seconds() }},
	{"killed host dead everywhere, s", "%.1f", func(r result) float64 { return r.deathDetection.Seconds() }},
	{"false suspicions", "%.0f", func(r result) float64 { return r.falseSuspicions }},
}

func printTable(w io.Writer, results []result) {
	fmt.Fprintf(w, "| hosts |")
	for _, r := range results {
		fmt.Fprintf(w, " %d |", r.hosts)
	}
	fmt.Fprintf(w, "\n| --- |")
	for range results {
		fmt.Fprintf(w, " --- |")
	}
	fmt.Fprintln(w)
	for _, c := range columns {
		fmt.Fprintf(w, "| %s |", c.name)
		for _, r := range results {
			fmt.Fprintf(w, " "+c.format+" |", c.value(r))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "measured %s\n", time.Now().UTC().Format(time.RFC3339))
}

// fit returns the intercept and slope of the least-squares line through the points. If all x
// are equal, the slope is 0.
func fit(x, y []float64) (intercept, slope float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return sy / n, 0
	}
	slope = (n*sxy - sx*sy) / d
	return (sy - slope*sx) / n, slope
}

// printFit prints, for each measurement, the fit over the number of hosts and its
// extrapolation to target hosts, both linear in the number and in its base-2 logarithm.
func printFit(w io.Writer, results []result, target int) {
	if len(results) < 2 {
		return
	}
	fmt.Fprintf(w, "\n| figure | base | slope a host | at %d hosts, linear | at %d hosts, by log2 |\n| --- | --- | --- | --- | --- |\n", target, target)
	for _, c := range columns[1:] {
		var x, lx, y []float64
		for _, r := range results {
			x = append(x, float64(r.hosts))
			lx = append(lx, math.Log2(float64(r.hosts)))
			y = append(y, c.value(r))
		}
		intercept, slope := fit(x, y)
		logIntercept, logSlope := fit(lx, y)
		fmt.Fprintf(w, "| %s | %.3f | %.5f | %.2f | %.2f |\n", c.name, intercept, slope, intercept+slope*float64(target), logIntercept+logSlope*math.Log2(float64(target)))
	}
}
