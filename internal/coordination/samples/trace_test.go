package samples

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"oleanderfall.example/oleanderfall/internal/state/ledger"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// traceRunner applies the commands of a trace to a machine and prints its decisions.
type traceRunner struct {
	m         *Machine
	bound     int
	version   model.WeightVersion
	freeSlots int
	stored    ledger.Record
}

// Pick implements Picker with one engine "e" at the trace's version.
func (t *traceRunner) Pick(minVersion model.WeightVersion, _ model.EndpointID) (model.EndpointID, bool) {
	if t.freeSlots == 0 || t.version < minVersion {
		return "", false
	}
	t.freeSlots--
	return "e", true
}

// NewestVersion implements Picker.
func (t *traceRunner) NewestVersion() model.WeightVersion { return t.version }

// TestTraces replays the traces in testdata, which cover delivery, staleness, failures and
// takeover, and compares the machine's decisions.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tr := &traceRunner{version: 1, bound: 1, m: New(Settings{Bound: 1, StepSamples: 64, Scored: true}, 1)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return tr.run(t, d) })
	})
}

func (tr *traceRunner) run(t *testing.T, d *datadriven.TestData) string {
	number := func(key string) int {
		n := 0
		d.MaybeScanArgs(t, key, &n)
		return n
	}
	now := time.Unix(int64(number("at")), 0)
	slot := SlotID{Step: 1, Index: number("slot")}
	id, tokens, version := AttemptID(number("attempt")), number("tokens"), model.WeightVersion(number("version"))
	switch d.Cmd {
	case "engines":
		tr.version, tr.freeSlots = version, number("free")
		return ""
	case "open":
		actions, err := tr.m.Open(now, StepSpec{Step: uint64(number("step")), Groups: number("groups"), GroupSize: number("size"), Bound: tr.bound, Digest: uint64(number("digest")), Version: version})
		return describeActions(actions) + describeError(err)
	case "plan":
		return describeActions(tr.m.Plan(now, tr, true))
	case "progress":
		return describeActions(tr.m.Progress(now, id, tokens, version))
	case "finished":
		return describeActions(tr.m.Finished(now, id, tokens, version))
	case "scored":
		return describeActions(tr.m.Scored(slot, id))
	case "uncertain-versions":
		return describeActions(tr.m.Failed(now, id, FailureUncertainVersions, tokens, version))
	case "broken":
		return describeActions(tr.m.Failed(now, id, FailureBroken, tokens, version))
	case "trainer":
		return describeActions(tr.m.SetVersion(now, version))
	case "write":
		sequence, due := tr.m.RecordSequence()
		tr.stored = tr.m.Record()
		tr.m.Confirm(sequence)
		return fmt.Sprintf("sequence %d, due %v, batches %v\n", sequence, due, tr.stored.Steps[0].Batches)
	case "takeover":
		tr.m = New(Settings{Bound: 1, StepSamples: 64, Scored: true}, tr.stored.Epoch+1)
		tr.m.Restore(tr.stored)
		return ""
	case "pull":
		o, actions := tr.m.Pull(now, Pull{Step: 1, Cursor: uint64(number("cursor")), Max: 64, Version: version})
		return describeActions(actions) + describeOffer(o)
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func describeError(err error) string {
	switch {
	case errors.Is(err, ErrStepConflict):
		return "refused: other contents\n"
	case err != nil:
		return "refused: " + err.Error() + "\n"
	}
	return ""
}

func describeActions(actions []Action) string {
	names := map[ActionKind]string{ActionStart: "start", ActionCancel: "cancel", ActionScore: "score", ActionDiscard: "discard", ActionReport: "report"}
	var out strings.Builder
	for _, a := range actions {
		fmt.Fprintf(&out, "%s slot %d", names[a.Kind], a.Slot.Index)
		if a.Kind != ActionDiscard && a.Kind != ActionReport {
			fmt.Fprintf(&out, " attempt %d", a.Attempt)
		}
		if a.Prefix > 0 {
			fmt.Fprintf(&out, " after %d tokens", a.Prefix)
		}
		out.WriteString("\n")
	}
	return out.String()
}

func describeOffer(o Offer) string {
	switch o.State {
	case PullWait:
		return "wait\n"
	case PullUnknown:
		return "unknown step\n"
	case PullConflict:
		return "conflict\n"
	}
	var slots []int
	for _, s := range o.Slots {
		slots = append(slots, s.Index)
	}
	return fmt.Sprintf("offer slots %v next %d done %v\n", slots, o.Next, o.Done)
}
