package claims

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"oleanderfall.example/oleanderfall/internal/state/journal"
)

// TestTraces replays events and compares the replies with the expected ones. It guards
// against a grant or a refusal before the commit that confirms it, and against two attempts
// of one key being granted. Each line of a trace is an event at a time in milliseconds:
//
//	MS claim CALL KEY ATTEMPT DIGEST
//	MS settle CALL KEY ATTEMPT free|ran|unknown
//	MS commit                (requests the entry that is due)
//	MS committed             (the entry is durable)
//	MS lost                  (a newer owner was detected)
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var c *Core
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				opt := Options{Epoch: 1, Writer: 1, CommitInterval: 40 * time.Millisecond, Lifetime: time.Minute}
				d.MaybeScanArgs(t, "max-waiting", &opt.MaxWaiting)
				c = New(opt, journal.NewTable(), nil, nil, 0, 0)
				return ""
			}
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				replayEvent(t, c, line, &out)
			}
			return out.String()
		})
	})
}

var traceStart = time.Unix(1_700_000_000, 0)

func replayEvent(t *testing.T, c *Core, line string, out *strings.Builder) {
	t.Helper()
	f := strings.Fields(line)
	var ms, call int
	if _, err := fmt.Sscan(f[0], &ms); err != nil {
		t.Fatal(line, err)
	}
	now := traceStart.Add(time.Duration(ms) * time.Millisecond)
	if len(f) > 2 {
		if _, err := fmt.Sscan(f[2], &call); err != nil {
			t.Fatal(line, err)
		}
	}
	var replies []Reply
	switch f[1] {
	case "claim":
		r := Request{Call: CallID(call), Digest: uint64(f[5][0])}
		copy(r.Key[:], f[3])
		copy(r.Attempt[:], f[4])
		replies = c.Claim(now, r)
	case "settle":
		s := Settlement{Call: CallID(call), State: map[string]journal.State{"free": journal.Free, "ran": journal.Ran, "unknown": journal.Unknown}[f[5]]}
		copy(s.Key[:], f[3])
		copy(s.Attempt[:], f[4])
		replies = c.Settle(now, s)
	case "commit":
		c.Expire(now)
		if e := c.NextCommit(now); e != nil {
			fmt.Fprintf(out, "%d entry %d with %d operations\n", ms, e.Seq, len(e.Ops))
		} else {
			fmt.Fprintf(out, "%d nothing due\n", ms)
		}
	case "committed":
		replies = c.Committed(now)
	case "lost":
		replies = c.OwnershipLost()
	default:
		t.Fatalf("unknown event in line %q", line)
	}
	for _, r := range replies {
		fmt.Fprintf(out, "%d call %d: %s\n", ms, r.Call, verdictNames[r.Verdict])
	}
}

var verdictNames = map[Verdict]string{
	Granted: "granted", InUse: "in use", Answered: "answered", OutcomeUnknown: "not known",
	KeyReused: "reused", Refused: "refused", Undecided: "undecided", Settled: "settled",
}

// No commit may be due while the next entry's slot holds an entry that is not
// compacted. Otherwise the owner's loop would spin instead of waiting for compaction.
func TestCore_NoCommitDueWhileJournalFull(t *testing.T) {
	var tail []journal.Entry
	for seq := range uint64(journal.Slots) {
		tail = append(tail, journal.Entry{Seq: seq + 1, Epoch: 1})
	}
	c := New(Options{Epoch: 1, Writer: 1}, journal.NewTable(), tail, nil, journal.Slots, 0)
	c.Claim(traceStart, Request{Call: 1, Key: journal.Key{1}, Attempt: journal.Attempt{1}})
	if due, ok := c.Due(); ok || c.NextCommit(traceStart.Add(time.Hour)) != nil {
		t.Fatalf("commit due at %v while the journal is full", due)
	}
	c.CompactionDone(c.NextCompaction(), true)
	if _, ok := c.Due(); !ok || c.NextCommit(traceStart.Add(time.Hour)) == nil {
		t.Fatal("no commit due after compaction")
	}
}
