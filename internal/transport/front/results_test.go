package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// callerPatience is how much longer than the wait that it asks for a caller waits for results.
	callerPatience = 1500 * time.Millisecond
	// recoveryTime is the time within which all that was accepted must be readable again.
	recoveryTime = 15 * time.Second
)

// putEndedBatch writes an ended batch of a host that is gone to the store: entries of its log, each with
// one result of the given size.
func (w *testCluster) putEndedBatch(id string, entries, bytes int) {
	w.t.Helper()
	store := newBatchStore(objectapi.NewClient(w.store, objectapi.ClientOptions{WritesPerSecond: 1e6, ReadsPerSecond: 1e6}), nil)
	m := batches.Manifest{ID: id, Digest: "d", Total: entries, AcceptedUnixMs: time.Now().UnixMilli(), Owner: "gone", Epoch: 1, Ended: true}
	if _, err := store.putManifest(background, m, 0); err != nil {
		w.t.Fatal(err)
	}
	for n := range entries {
		r := batches.Result{ID: fmt.Sprintf("%s-%d", id, n), Outcome: batches.Completed, Text: strings.Repeat("x", bytes)}
		if err := store.append(background, id, n, batches.LogEntry{First: n, Results: []batches.Result{r}}); err != nil {
			w.t.Fatal(err)
		}
	}
}

// readImpatiently reads all results of a batch, each page at a host picked at random, as callers do that
// leave after callerPatience. It returns the number of results read by the deadline.
func readImpatiently(hosts []*testNode, id string, seed uint64, deadline time.Time) (read, total int) {
	random := rand.New(rand.NewPCG(seed, 43))
	for total == 0 || read < total {
		if time.Now().After(deadline) {
			return read, total
		}
		ctx, cancel := context.WithTimeout(background, callerPatience)
		page, err := hosts[random.IntN(len(hosts))].Batches.Results(ctx, id, read, 0)
		late := ctx.Err() != nil
		cancel()
		if err != nil || late {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		total = page.Total
		read += len(page.Results)
	}
	return read, total
}

// The host that owned most batches is gone, and callers who leave after a while read all of them at once
// through hosts with slow links. Each batch must become readable, although reading a log from the
// store takes about as long as a caller waits.
func TestResults_EndedBatchesReadableWithoutOwner(t *testing.T) {
	const count, entries, entryBytes, bytesPerSecond = 24, 12, 150 << 10, 2 << 20
	w := newTestCluster(t)
	hosts := w.start("h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8")
	for i := range count {
		w.putEndedBatch(fmt.Sprintf("ended%d", i), entries, entryBytes)
	}
	for _, n := range hosts {
		n.store.logBandwidth.Store(rate.NewLimiter(bytesPerSecond, 64<<10))
	}
	deadline := time.Now().Add(recoveryTime)
	var readers sync.WaitGroup
	for i := range count {
		readers.Go(func() {
			id := fmt.Sprintf("ended%d", i)
			if read, total := readImpatiently(hosts, id, uint64(i), deadline); total != entries || read != total {
				t.Errorf("%s: %d of %d results read", id, read, entries)
			}
		})
	}
	readers.Wait()
	t.Logf("all read after %v", time.Until(deadline.Add(-recoveryTime)).Abs())
}
