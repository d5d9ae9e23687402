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

// spreadHosts is the number of real control programs of the benchmark.
const spreadHosts = 32

var inForceLine = regexp.MustCompile(`time=(\S+) .*Generation in force" generation=(\d+)`)

// BenchmarkChangeInForceOnRealControlPrograms applies one change an iteration at
// the default heartbeat and reports how long after the command's start each host
// had it in force, by the hosts' own logs, and what it cost the object API.
func BenchmarkChangeInForceOnRealControlPrograms(b *testing.B) {
	f := newFleet(b, spreadHosts, time.Second)
	f.eventually("a first change everywhere", func() bool {
		_, _, code := f.ctl(0, "apply", folder(b, "[zone.a]\nregion = r\n"), "--wait", "--timeout", "20s")
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
		dir := folder(b, fmt.Sprintf("[zone.a]\nregion = r\n[service.s]\ntimeout = %dms\n", 100+i))
		if _, errOut, code := f.ctl(i%spreadHosts, "apply", dir, "--wait", "--timeout", "20s"); code != 0 {
			b.Fatal(errOut)
		}
	}
	after := f.store.Calls()
	delays := f.delays(first, started)
	if len(delays) == 0 {
		b.Fatal("no host logged a generation")
	}
	b.ReportMetric(delays[len(delays)/2].Seconds(), "p50_s")
	b.ReportMetric(delays[len(delays)*99/100].Seconds(), "p99_s")
	b.ReportMetric(delays[len(delays)-1].Seconds(), "max_s")
	b.ReportMetric(float64(after.Writes-before.Writes)/float64(len(started)), "writes/op")
	b.ReportMetric(float64(after.Reads-before.Reads)/float64(len(started)), "reads/op")
	b.ReportMetric(float64(after.Waiting), "watches")
}

// delays lists, over all hosts and changes, the time from the command's start to
// the generation in force. A generation that a host passed over counts as taken
// with the next one.
func (f *fleet) delays(first uint64, started []time.Time) []time.Duration {
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
