package drains

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// trace replays the commands of a testdata file against one host's item store.
type trace struct {
	now   time.Time
	store *items.Store
	inc   map[Target]model.Incarnation
}

func (tr *trace) incarnationOf(t Target) model.Incarnation { return tr.inc[t] }

func scanTarget(t *testing.T, d *datadriven.TestData) Target {
	var endpoint, host string
	d.MaybeScanArgs(t, "endpoint", &endpoint)
	d.MaybeScanArgs(t, "host", &host)
	return Target{Endpoint: model.EndpointID(endpoint), Host: model.HostID(host)}
}

func (tr *trace) run(t *testing.T, d *datadriven.TestData) string {
	var inc, version int
	d.MaybeScanArgs(t, "inc", &inc)
	d.MaybeScanArgs(t, "version", &version)
	target := scanTarget(t, d)
	switch d.Cmd {
	case "start":
		*tr = trace{now: time.Unix(1000, 0), store: items.NewStore(), inc: map[Target]model.Incarnation{}}
	case "wait":
		var seconds int
		d.ScanArgs(t, "seconds", &seconds)
		tr.now = tr.now.Add(time.Duration(seconds) * time.Second)
		tr.store.Expire(tr.now)
	case "incarnation":
		tr.inc[target] = model.Incarnation(inc)
		for _, i := range BindIncarnations(tr.store.ByKind(tr.now, items.Drain), tr.incarnationOf) {
			tr.store.Merge(tr.now, i)
		}
	case "evidence":
		var source string
		d.ScanArgs(t, "source", &source)
		return fmt.Sprintf("changed=%v\n", tr.store.Merge(tr.now, EvidenceItem(target, model.Incarnation(inc), model.DrainSource(source))))
	case "operator":
		return fmt.Sprintf("changed=%v\n", tr.store.Merge(tr.now, OperatorItem(target, model.Incarnation(inc), d.HasArg("cancel"), uint64(version))))
	case "in-force":
		return tr.inForce()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

func (tr *trace) inForce() string {
	var b strings.Builder
	for _, e := range InForce(tr.store.ByKind(tr.now, items.Drain), tr.incarnationOf) {
		fmt.Fprintf(&b, "%s%s inc=%d by %s for %s\n", e.Endpoint, e.Host, e.Incarnation, e.Source, e.Age)
	}
	if b.Len() == 0 {
		return "none\n"
	}
	return b.String()
}

// TestTraces replays the event sequences in testdata and compares the drains in force. It
// guards against a drain that outlives its incarnation, and against evidence of other
// sources being cancelled by an operator.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tr := &trace{}
		datadriven.RunTest(t, path, tr.run)
	})
}
