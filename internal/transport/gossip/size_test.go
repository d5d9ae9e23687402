package gossip

import (
	"math"
	"testing"

	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

func encodedBytes(t *testing.T, v any) int {
	t.Helper()
	b, err := wire.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return len(b)
}

// Message budgets are computed from estimated sizes. An estimate below the encoded size
// would let a datagram exceed its limit.
func TestEstimatedSize_CoversEncodedSize(t *testing.T) {
	const unixMillis, unixSeconds = 1_900_000_000_000, 1_900_000_000
	list := []items.Item{
		{Kind: items.Load, Key: "engine-123", Version: unixSeconds, AgeMillis: 9000, Load: &items.LoadFact{Running: 200, Queued: 200, Version: 5000, Incarnation: 300}},
		{Kind: items.Drain, Key: "endpoint/engine-123", Version: unixMillis, AgeMillis: 9000, Drain: &items.DrainFact{Endpoint: "engine-123", Incarnation: unixMillis, Source: model.DrainFromHostList}},
		{Kind: items.Quarantine, Key: "ffffffffffffffff", Version: 2<<32 | 600, AgeMillis: 9000, Quarantine: &items.QuarantineFact{Fingerprint: math.MaxUint64, Crashes: 2, RemainingMillis: 600_000}},
		{Kind: items.Demand, Key: "host-001/entry", Version: unixSeconds, AgeMillis: 9000, Demand: []items.DemandFact{{Caller: "shop", PerSecond: 12.5}, {Caller: "crates", PerSecond: 2}}},
		{Kind: items.Generation, Key: "host-001", Version: 1000<<32 | unixSeconds>>10, AgeMillis: 9000, Generation: 1000},
	}
	for _, i := range list {
		if n := encodedBytes(t, i); n > i.Size() {
			t.Errorf("kind %d: %d bytes, estimated %d", i.Kind, n, i.Size())
		}
	}
	r := members.Record{Host: "host-001", Zone: "lj-a", Control: "10.20.30.40:20000", Incarnation: unixMillis, Revision: 3, State: members.Dead, Leaving: true}
	if n := encodedBytes(t, r); n > r.Size() {
		t.Errorf("record: %d bytes, estimated %d", n, r.Size())
	}
}
