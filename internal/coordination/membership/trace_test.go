package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

var stateNames = map[members.State]string{members.Alive: "alive", members.Suspect: "suspect", members.Dead: "dead"}

// trace replays a file of events against the machine of host "a" with a heartbeat
// interval of 1 s.
type trace struct {
	m   *Machine
	now time.Time
}

func (tr *trace) describe(out Output) string {
	var b strings.Builder
	for _, s := range out.Sends {
		fmt.Fprintf(&b, "send %s to %s", [...]string{"", "ping", "ack", "probe-request", "probe-ack", "updates"}[s.Message.Kind], s.To)
		if s.Message.Target != "" {
			fmt.Fprintf(&b, " target=%s", s.Message.Target)
		}
		for _, r := range s.Payload {
			fmt.Fprintf(&b, " record=%s:%s", r.Host, stateNames[r.State])
		}
		b.WriteString("\n")
	}
	for _, r := range out.Updates {
		fmt.Fprintf(&b, "update %s %s inc=%d rev=%d\n", r.Host, stateNames[r.State], r.Incarnation, r.Revision)
	}
	for _, a := range out.Drop {
		fmt.Fprintf(&b, "drop %s\n", a)
	}
	if out.Contact != "" {
		fmt.Fprintf(&b, "contact %s\n", out.Contact)
	}
	return b.String()
}

func scanRecord(d *datadriven.TestData, t *testing.T) members.Record {
	var host string
	var inc, rev int
	state := "alive"
	d.ScanArgs(t, "host", &host)
	d.ScanArgs(t, "inc", &inc)
	d.MaybeScanArgs(t, "rev", &rev)
	d.MaybeScanArgs(t, "state", &state)
	r := members.Record{Host: model.HostID(host), Zone: "z", Control: host + ":1", Incarnation: model.Incarnation(inc), Revision: uint64(rev)}
	for s, name := range stateNames {
		if name == state {
			r.State = s
		}
	}
	return r
}

func (tr *trace) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "start":
		tr.now = time.Unix(1000, 0)
		n := uint64(0)
		random := func() uint64 { n++; return n }
		tr.m = New(Options{Self: members.Record{Host: "a", Zone: "z", Control: "a:1", Incarnation: 1}, Heartbeat: time.Second, Random: random}, tr.now)
		return ""
	case "tick":
		return tr.tick(t, d)
	case "merge":
		return tr.describe(tr.m.MergeRecords(tr.now, []members.Record{scanRecord(d, t)}))
	case "receive":
		r := scanRecord(d, t)
		kinds := map[string]MessageKind{"ping": Ping, "ack": Ack, "probe-request": ProbeRequest, "probe-ack": ProbeAck}
		var kind, target string
		d.ScanArgs(t, "kind", &kind)
		d.MaybeScanArgs(t, "target", &target)
		from := Sender{Host: r.Host, Zone: r.Zone, Control: r.Control, Incarnation: r.Incarnation, Revision: r.Revision}
		msg := Message{Kind: kinds[kind], Target: model.HostID(target), TargetAddress: target + ":1"}
		return tr.describe(tr.m.Receive(tr.now, from, msg))
	case "table":
		return tr.table()
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

// tick advances the time in steps of 200 ms. Pings are omitted from the result unless the
// command has the argument "pings".
func (tr *trace) tick(t *testing.T, d *datadriven.TestData) string {
	var seconds int
	d.ScanArgs(t, "seconds", &seconds)
	var b strings.Builder
	for step := range 5 * seconds {
		tr.now = tr.now.Add(200 * time.Millisecond)
		for _, line := range strings.SplitAfter(tr.describe(tr.m.Tick(tr.now)), "\n") {
			if line != "" && (d.HasArg("pings") || !strings.HasPrefix(line, "send ping")) {
				fmt.Fprintf(&b, "+%.1fs %s", float64(step+1)/5, line)
			}
		}
	}
	return b.String()
}

func (tr *trace) table() string {
	var b strings.Builder
	for _, r := range tr.m.Records() {
		fmt.Fprintf(&b, "%s %s inc=%d rev=%d\n", r.Host, stateNames[r.State], r.Incarnation, r.Revision)
	}
	return b.String()
}

// TestTraces replays the event sequences in testdata and compares the machine's output. It
// guards against a silent peer being declared dead without probe and suspicion, and against
// a message at an old revision clearing a suspicion.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tr := &trace{}
		datadriven.RunTest(t, path, tr.run)
	})
}
