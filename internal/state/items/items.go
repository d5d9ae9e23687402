// Package items holds the small facts that hosts spread to each other: drains,
// quarantined requests, loads, demands and generations. Each has a kind, a key and a
// version.
//
// Invariant: a store never holds more items of a kind than the kind's bound, never an
// item past its kind's age, and never replaces an item by one of a lower version.
package items

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Kind says what an item carries.
type Kind uint8

// The kinds.
const (
	Drain Kind = iota + 1
	Quarantine
	Load
	Demand
	Generation
)

// Item is one fact. Exactly the field of its kind is set.
type Item struct {
	Kind Kind `cbor:"1,keyasint"`
	// Key is unique within a kind.
	Key string `cbor:"2,keyasint"`
	// Version orders the items of one key; a higher one replaces a lower one.
	Version uint64 `cbor:"3,keyasint"`
	// AgeMillis is the item's age at the sender.
	AgeMillis  int64            `cbor:"4,keyasint,omitempty"`
	Drain      *DrainFact       `cbor:"5,keyasint,omitempty"`
	Quarantine *QuarantineFact  `cbor:"6,keyasint,omitempty"`
	Load       *LoadFact        `cbor:"7,keyasint,omitempty"`
	Demand     []DemandFact     `cbor:"8,keyasint,omitempty"`
	Generation model.Generation `cbor:"9,keyasint,omitempty"`
}

// DrainFact says that an endpoint or a host is leaving, or no longer is.
type DrainFact struct {
	Endpoint    model.EndpointID  `cbor:"1,keyasint,omitempty"`
	Host        model.HostID      `cbor:"2,keyasint,omitempty"`
	Incarnation model.Incarnation `cbor:"3,keyasint,omitempty"`
	Source      model.DrainSource `cbor:"4,keyasint"`
	// Cancelled ends an operator's drain.
	Cancelled bool `cbor:"5,keyasint,omitempty"`
}

// QuarantineFact says that a request fingerprint crashed endpoints.
type QuarantineFact struct {
	Fingerprint     uint64 `cbor:"1,keyasint"`
	Crashes         int    `cbor:"2,keyasint"`
	RemainingMillis int64  `cbor:"3,keyasint"`
}

// LoadFact is an endpoint's load and incarnation as it reported them.
type LoadFact struct {
	Running     int                 `cbor:"1,keyasint,omitempty"`
	Queued      int                 `cbor:"2,keyasint,omitempty"`
	Version     model.WeightVersion `cbor:"3,keyasint,omitempty"`
	Incarnation model.Incarnation   `cbor:"4,keyasint,omitempty"`
	Unreached   bool                `cbor:"5,keyasint,omitempty"`
}

// DemandFact is how much a caller asks of the host that the item's key names.
type DemandFact struct {
	Caller    model.CallerID `cbor:"1,keyasint"`
	PerSecond float32        `cbor:"2,keyasint"`
}

// Limits bounds one kind.
type Limits struct {
	MaxCount int
	MaxAge   time.Duration
	// Urgent items are sent on at once to every peer; the others travel with the
	// heartbeats to a few.
	Urgent bool
	// Kept items take part in anti-entropy.
	Kept bool
}

const (
	// MaxDemandsPerHost bounds the callers in one host's Demand item.
	MaxDemandsPerHost = 8
	maxKeyBytes       = 256
	// The sizes below are estimates of what the codec makes of an item.
	demandBytes     = 12
	itemFixedBytes  = 20
	drainBytes      = 32
	quarantineBytes = 24
	loadBytes       = 14
	generationBytes = 6
)

// LimitsOf returns a kind's bounds; ok is false for an unknown kind.
func LimitsOf(k Kind) (l Limits, ok bool) {
	switch k {
	case Drain:
		return Limits{MaxCount: 4096, MaxAge: 24 * time.Hour, Urgent: true, Kept: true}, true
	case Quarantine:
		return Limits{MaxCount: 1024, MaxAge: 30 * time.Minute, Urgent: true, Kept: true}, true
	case Load:
		return Limits{MaxCount: 4096, MaxAge: 30 * time.Second}, true
	case Demand:
		return Limits{MaxCount: 1024, MaxAge: 2 * time.Minute}, true
	case Generation:
		return Limits{MaxCount: 1024, MaxAge: time.Hour, Kept: true}, true
	}
	return Limits{}, false
}

// Valid reports whether the item carries what its kind says, and nothing oversized.
func (i Item) Valid() bool {
	if i.Key == "" || len(i.Key) > maxKeyBytes || i.AgeMillis < 0 {
		return false
	}
	switch i.Kind {
	case Drain:
		return i.Drain != nil && (i.Drain.Endpoint == "") != (i.Drain.Host == "")
	case Quarantine:
		return i.Quarantine != nil
	case Load:
		return i.Load != nil
	case Demand:
		return len(i.Demand) <= MaxDemandsPerHost
	case Generation:
		return i.Generation != 0
	}
	return false
}

// Size estimates the item's encoded bytes.
func (i Item) Size() int {
	n := itemFixedBytes + len(i.Key)
	switch {
	case i.Drain != nil:
		n += drainBytes + len(i.Drain.Endpoint) + len(i.Drain.Host)
	case i.Quarantine != nil:
		n += quarantineBytes
	case i.Load != nil:
		n += loadBytes
	case i.Generation != 0:
		n += generationBytes
	}
	for _, d := range i.Demand {
		n += demandBytes + len(d.Caller)
	}
	return n
}

// ID names an item among all kinds.
type ID struct {
	Kind Kind
	Key  string
}

// ID returns the item's kind and key.
func (i Item) ID() ID { return ID{i.Kind, i.Key} }

func (i Item) hash() uint64 {
	var b [9]byte
	b[0] = byte(i.Kind)
	for n := range 8 {
		b[1+n] = byte(i.Version >> (8 * n))
	}
	return xxhash.Sum64String(i.Key + string(b[:]))
}

func sortItems(list []Item) {
	sort.Slice(list, func(a, b int) bool {
		if list[a].Kind != list[b].Kind {
			return list[a].Kind < list[b].Kind
		}
		return list[a].Key < list[b].Key
	})
}
