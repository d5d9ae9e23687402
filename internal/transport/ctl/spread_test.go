package ctl

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"
)

// benchmarkHosts is the number of control processes in the benchmark.
const benchmarkHosts = 32

var inForceLine = regexp.MustCompile(`time=(\S+) .*Generation in force" generation=(\d+)`)

// BenchmarkChangeInForceOnRealControlPrograms applies one change per iteration with the
// default heartbeat. It reports the time from the start of the command until each host had
// the change in force, taken from the hosts' logs, and the object API calls per change.
func BenchmarkChangeInForceOnRealControlPrograms(b *testing.B) {
	f := newFleet(b, benchmarkHosts, time.Second)
	f.eventually("a first change everywhere", func() bool {
		_, _, code := f.ctl(0, "apply", configFolder(b, "[zone.a]\nregion = r\n"), "--wait", "--timeout", "20s")
		return code == 0
	})
	for i := range f.size {
		f.eventually("generation 1 on "+f.name(i), func() bool { return f.inForce(i) > 0 })
	}
	before := f.store.Calls()
	var started []time.Time
	first := uint64(f.root().Generation) + 1
	for i := 0; b.Loop(); i++ {
		started = append(started, time.Now())
		dir := configFolder(b, fmt.Sprintf("[zone.a]\nregion = r\n[service.s]\ntimeout = %dms\n", 100+i))
		if _, errOut, code := f.ctl(i%benchmarkHosts, "apply", dir, "--wait", "--timeout", "20s"); code != 0 {
			b.Fatal(errOut)
		}
	}
	after := f.store.Calls()
	delays := f.propagationDelays(first, started)
	if len(delays) == 0 {
		b.Fatal("no host logged a generation")
	}
	b.ReportMetric(delays[len(delays)/2].Seconds(), "p50_s")
	b.ReportMetric(delays[len(delays)*99/100].Seconds(), "p99_s")
	b.ReportMetric(delays[len(delays)-1].Seconds(), "max_s")
	b.ReportMetric(float64(after.Writes-before.Writes)/float64(len(started)), "writes/op")
	b.ReportMetric(float64(after.Reads-before.Reads)/float64(len(started)), "reads/op")
	b.ReportMetric(float64(after.OpenWatches), "watches")
}

// propagationDelays returns, sorted over all hosts and changes, the time from the start of
// the command until the generation was in force. A generation that a host skipped counts
// as in force from the time of the next one.
func (f *fleet) propagationDelays(first uint64, started []time.Time) []time.Duration {
	var out []time.Duration
	for i := range f.size {
		text, err := os.ReadFile(f.log(i))
		if err != nil {
			f.t.Fatal(err)
		}
		next := first
		for _, m := range inForceLine.FindAllStringSubmatch(string(text), -1) {
			at, err := time.Parse(time.RFC3339Nano, m[1])
			if err != nil {
				f.t.Fatal(err)
			}
			g, _ := strconv.ParseUint(m[2], 10, 64)
			for ; next <= g && next < first+uint64(len(started)); next++ {
				out = append(out, at.Sub(started[next-first]))
			}
		}
		if next != first+uint64(len(started)) {
			f.t.Fatalf("host %d has no generation %d", i, next)
		}
	}
	slices.Sort(out)
	return out
}
