package gossip

import (
	"log/slog"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/dissemination"
	"oleanderfall.example/oleanderfall/internal/coordination/drains"
	"oleanderfall.example/oleanderfall/internal/coordination/membership"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// FuzzDatagram checks that no datagram makes the service panic, marks the host's own
// record as not alive or stores a load item without a load.
func FuzzDatagram(f *testing.F) {
	seed := datagram{
		From:    membership.Sender{Host: "b", Control: "b:1", Incarnation: 1},
		Message: membership.Message{Kind: membership.Ping},
		UpdateSet: dissemination.Updates{
			Records: []members.Record{{Host: "a", Incarnation: 1, State: members.Dead}},
			Items:   []items.Item{drains.EvidenceItem(drains.Target{Endpoint: "e"}, 1, model.DrainFromEndpoint), {Kind: items.Load, Key: "e", Version: 1}},
		},
	}
	b, err := wire.Encode(seed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		d := New(Options{
			Self: members.Record{Host: "a", Control: "a:1", Incarnation: 1}, Heartbeat: time.Second, Log: slog.New(slog.DiscardHandler),
			Random: func() uint64 { return 1 }, Generation: func() model.Generation { return 1 }, OnNewerGeneration: func(model.Generation, string) {},
		})
		d.OnDatagram("", b)
		e, ok := d.datagrams.TryPop()
		if !ok {
			return
		}
		now := time.Unix(1000, 0)
		d.machine.Receive(now, e.received.From, e.received.Message)
		d.machine.MergeRecords(now, e.received.UpdateSet.Records)
		d.mergeItems(now, e.received.UpdateSet.Items, e.received.From.Host)
		own, _ := d.machine.Table().Get("a")
		if own.State != members.Alive {
			t.Fatalf("own record %+v", own)
		}
		for _, i := range d.snapshot(now).Loads {
			if i.Load == nil {
				t.Fatal("load item without a load")
			}
		}
	})
}
