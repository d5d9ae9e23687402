package front

import (
	"fmt"
	"strings"
	"testing"

	"oleanderfall.example/oleanderfall/internal/state/batches"
)

func logOfBytes(n int) *resultLog {
	return newResultLog(1, []batches.LogEntry{{Results: []batches.Result{{ID: "s", Text: strings.Repeat("x", n)}}}})
}

// The logs of ended batches must not fill the memory of a small host, and trainers that read
// older batches one after another must not make the host load each of them for each page.
func TestLogCache_KeepsRecentlyUsedLogs(t *testing.T) {
	const memory, logs = 64 << 20, 40
	c := newLogCache(memory)
	for i := range logs {
		c.add(fmt.Sprint(i), logOfBytes(1<<19))
		if c.get("0") == nil {
			t.Fatalf("the log that is read all the time was evicted after %d others", i)
		}
	}
	held := 0
	for i := range logs {
		if l := c.get(fmt.Sprint(i)); l != nil {
			held += l.size()
		}
	}
	if limit := memory / 32; held > limit || held < limit/2 {
		t.Errorf("%d bytes cached, want at most %d and not much less", held, limit)
	}
	if len(c.order) != len(c.logs) || c.bytes != held {
		t.Errorf("%d batches in order and %d bytes counted for %d logs of %d bytes", len(c.order), c.bytes, len(c.logs), held)
	}
}

// A log larger than the whole cache is still kept while it is read.
func TestLogCache_LargeLog(t *testing.T) {
	c := newLogCache(1 << 20)
	c.add("large", logOfBytes(1<<20))
	if c.get("large") == nil {
		t.Error("the last log was evicted")
	}
}
