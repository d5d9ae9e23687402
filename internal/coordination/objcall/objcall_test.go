package objcall

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestBudgetAndOutage_Traces replays call outcomes. It guards against a rate that is halved
// more than once for the calls in flight, and against single lost calls counting as an
// outage. Each line of input is "MILLISECONDS throttled|answered|failed".
func TestBudgetAndOutage_Traces(t *testing.T) {
	var budget *Budget
	var outage Outage
	start := time.Unix(1_800_000_000, 0)
	datadriven.RunTest(t, "testdata/calls", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "begin" {
			var ceiling float64
			d.ScanArgs(t, "ceiling", &ceiling)
			budget, outage = NewBudget(ceiling, start), Outage{}
			return ""
		}
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			var millis int64
			var outcome string
			if _, err := fmt.Sscanf(line, "%d %s", &millis, &outcome); err != nil {
				d.Fatalf(t, "%q: %v", line, err)
			}
			now := start.Add(time.Duration(millis) * time.Millisecond)
			switch outcome {
			case "throttled":
				budget.Throttled(now)
				outage.Answered()
			case "answered":
				budget.Answered(now)
				outage.Answered()
			case "failed":
				outage.Failed(now)
			}
			fmt.Fprintf(&out, "%s: rate %.2f, outage %s\n", outcome, budget.Rate(), outage.Elapsed(now))
		}
		return out.String()
	})
}

// TestResolve_Traces resolves writes whose answer was lost. It guards against a write being
// reported as applied or refused without evidence. "found" is the current version
// with its writer, "replaced" lists the versions before it, newest first, each as
// VERSION:WRITER.
func TestResolve_Traces(t *testing.T) {
	datadriven.RunTest(t, "testdata/resolve", func(t *testing.T, d *datadriven.TestData) string {
		f := Found{Present: d.HasArg("found"), History: History{Complete: d.HasArg("complete")}}
		if f.Present {
			f.Version, f.History.Stamp = parseVersion(t, d, "found", 0)
			arg, ok := d.Arg("replaced")
			for i := range arg.Vals {
				version, stamp := parseVersion(t, d, "replaced", i)
				f.History.Replaced = append(f.History.Replaced, Replaced{Version: version, Stamp: stamp})
			}
			_ = ok
		}
		var expect uint64
		d.ScanArgs(t, "expect", &expect)
		if d.Cmd == "delete" {
			return ResolveDelete(expect, f).String()
		}
		verdict, version := ResolvePut(Stamp{Writer: 1, Sequence: 1}, expect, f)
		return fmt.Sprintf("%s %d", verdict, version)
	})
}

func parseVersion(t *testing.T, d *datadriven.TestData, key string, i int) (uint64, Stamp) {
	t.Helper()
	arg, _ := d.Arg(key)
	var version, writer uint64
	if _, err := fmt.Sscanf(arg.Vals[i], "%d:%d", &version, &writer); err != nil {
		d.Fatalf(t, "%s: %v", arg.Vals[i], err)
	}
	return version, Stamp{Writer: writer, Sequence: 1}
}

// A history keeps the newest MaxReplaced versions. Complete must become false with the first
// version that is dropped; otherwise a write could be resolved from missing evidence.
func TestHistory_Limit(t *testing.T) {
	h := Created(Stamp{Writer: 1, Sequence: 1})
	for v := uint64(1); v <= MaxReplaced+1; v++ {
		if !h.Complete {
			t.Fatalf("history is not complete before version %d", v)
		}
		h = h.Next(v, Stamp{Writer: 1, Sequence: v + 1})
	}
	if h.Complete || len(h.Replaced) != MaxReplaced || h.Replaced[0].Version != MaxReplaced+1 {
		t.Fatalf("unexpected history after the limit: %+v", h)
	}
}
