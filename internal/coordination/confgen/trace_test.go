package confgen

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"oleanderfall.example/oleanderfall/internal/state/confstore"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

var answerKinds = map[string]AnswerKind{"done": Done, "missing": Missing, "conflict": Conflict, "not-applied": NotApplied, "indeterminate": Indeterminate}

// TestCommit_Traces runs one commit per trace. It guards against a wrong result after a lost
// or failed action, such as a change reported as not applied that was accepted. Each line of
// input is the answer to the previous action; "done GENERATION ID" answers a root read whose
// newest change has that request ID.
func TestCommit_Traces(t *testing.T) {
	datadriven.RunTest(t, "testdata/commit", func(t *testing.T, d *datadriven.TestData) string {
		var base, floor int
		d.ScanArgs(t, "base", &base)
		d.MaybeScanArgs(t, "floor", &floor)
		request := Request{Base: model.Generation(base), LocalGeneration: model.Generation(floor), Chunks: 1, Change: confstore.Change{RequestID: "mine", Digest: "digest-mine"}}
		commit, action := NewCommit(request)
		out := describe(action)
		for line := range strings.Lines(d.Input) {
			words := strings.Fields(line)
			answer := Answer{Kind: answerKinds[words[0]], Version: 1}
			if len(words) == 3 {
				_, _ = fmt.Sscan(words[1], &answer.Root.Generation)
				answer.Root.History = []confstore.Change{{Generation: answer.Root.Generation, RequestID: words[2], Digest: "digest-" + words[2]}}
			}
			action = commit.Next(answer)
			out += describe(action)
		}
		return out
	})
}

func describe(a Action) string {
	switch a.Kind {
	case ReadRoot:
		return "read root\n"
	case PutContent:
		return fmt.Sprintf("put content of %d\n", a.Root.Generation)
	case PutRoot:
		return fmt.Sprintf("put root %d expecting version %d\n", a.Root.Generation, a.Expect)
	}
	names := [...]string{"accepted", "unchanged", "raced", "reused", "outage", "unknown"}
	return fmt.Sprintf("%s, generation %d, other %q\n", names[a.Result.Kind], a.Result.Generation, a.Result.Other.RequestID)
}
