package claimservice

import (
	"fmt"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/shards"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/standin"
)

// BenchmarkOwnerKilled measures the time from the death of a shard's owner to the next claim
// in that shard, with production timing: once with a fleet view that reports the death
// immediately, once with a view that never reports it.
func BenchmarkOwnerKilled(b *testing.B) {
	for _, viewReportsDeath := range []bool{true, false} {
		b.Run(fmt.Sprintf("view-tells=%v", viewReportsDeath), func(b *testing.B) {
			for b.Loop() {
				c := newCluster(b, clusterOptions{
					entries: 8, shards: 4, timing: shards.DefaultTiming,
					store: standin.ObjectStoreOptions{Latency: benchLatency},
				})
				owner, other := c.ownerOf("k")
				owner.kill()
				began := time.Now()
				if viewReportsDeath {
					c.updateView(owner.name)
				}
				if r := c.send(other, "k", time.Minute); r.code != resultcode.OK {
					b.Fatal(r.code)
				}
				b.ReportMetric(float64(time.Since(began).Milliseconds()), "until-claim-ms")
			}
		})
	}
}

// BenchmarkOutageEnd measures the time from the end of a ten-second outage, during which claims
// are requested all the time, to the next claim.
func BenchmarkOutageEnd(b *testing.B) {
	for b.Loop() {
		c := newCluster(b, clusterOptions{entries: 8, shards: 4, store: standin.ObjectStoreOptions{Latency: benchLatency}})
		c.store.SetFaults(standin.Faults{Outage: true})
		undecided := 0
		h, _ := runAtRate(20, 10*time.Second, func(i int) error {
			c.send(c.entries[i%8], fmt.Sprint(i), 500*time.Millisecond)
			return nil
		})
		undecided += int(h.TotalCount())
		c.store.SetFaults(standin.Faults{})
		began := time.Now()
		if r := c.sendUntilDecided(c.entries[0], "k"); r.code != resultcode.OK {
			b.Fatal(r.code)
		}
		b.ReportMetric(float64(time.Since(began).Milliseconds()), "until-claim-ms")
		for i := range undecided {
			if r := c.sendUntilDecided(c.entries[(i+1)%8], fmt.Sprint(i)); r.code != resultcode.OK {
				b.Fatal(r.code)
			}
		}
		b.ReportMetric(float64(len(c.runs())-1), "outage-keys-run-once")
		c.checkResults(nil)
	}
}

// BenchmarkIdleDuty measures the cost of an idle claim service, with eight entry hosts that share
// four shards.
func BenchmarkIdleDuty(b *testing.B) {
	const entries, span = 8, 20 * time.Second
	for b.Loop() {
		c := newCluster(b, clusterOptions{entries: entries, shards: 4, timing: shards.DefaultTiming})
		before, cpu := c.store.Calls(), cpuTime()
		time.Sleep(span)
		after := c.store.Calls()
		b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/entries/span.Seconds(), "cpu-us/duty/s")
		b.ReportMetric(float64(after.Reads-before.Reads)/entries/span.Seconds(), "reads/duty/s")
		b.ReportMetric(float64(after.Writes-before.Writes)/entries/span.Seconds(), "writes/duty/s")
	}
}
