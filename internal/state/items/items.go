// Package items defines the state that hosts gossip in small items: drains, quarantined
// requests, loads, demands and generations. Each item has a kind, a key and a version.
//
// Invariant: a store never exceeds a kind's maximum number of items, never accepts an item
// older than the kind's maximum age, and never replaces an item by one with a lower version.
package items

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Kind is the kind of an item.
type Kind uint8

// The kinds of items.
const (
	Drain Kind = iota + 1
	Quarantine
	Load
	Demand
	Generation
)

// Item is one versioned piece of state. Only the field of its kind is set.
type Item struct {
	Kind Kind `cbor:"1,keyasint"`
	// Key is unique within a kind.
	Key string `cbor:"2,keyasint"`
	// Version orders the items of one key; a higher version replaces a lower one.
	Version uint64 `cbor:"3,keyasint"`
	// AgeMillis is the item's age at the sender when it was sent.
	AgeMillis  int64            `cbor:"4,keyasint,omitempty"`
	Drain      *DrainFact       `cbor:"5,keyasint,omitempty"`
	Quarantine *QuarantineFact  `cbor:"6,keyasint,omitempty"`
	Load       *LoadFact        `cbor:"7,keyasint,omitempty"`
	Demand     []DemandFact     `cbor:"8,keyasint,omitempty"`
	Generation model.Generation `cbor:"9,keyasint,omitempty"`
}

// DrainFact reports that an endpoint or a host is leaving, or that its drain was cancelled.
type DrainFact struct {
	Endpoint    model.EndpointID  `cbor:"1,keyasint,omitempty"`
	Host        model.HostID      `cbor:"2,keyasint,omitempty"`
	Incarnation model.Incarnation `cbor:"3,keyasint,omitempty"`
	Source      model.DrainSource `cbor:"4,keyasint"`
	// Cancelled reports that an operator has ended the drain.
	Cancelled bool `cbor:"5,keyasint,omitempty"`
}

// QuarantineFact reports that requests with a fingerprint crashed endpoints.
type QuarantineFact struct {
	Fingerprint     uint64 `cbor:"1,keyasint"`
	Crashes         int    `cbor:"2,keyasint"`
	RemainingMillis int64  `cbor:"3,keyasint"`
}

// LoadFact is the load and incarnation that an endpoint last reported.
type LoadFact struct {
	Running     int                 `cbor:"1,keyasint,omitempty"`
	Queued      int                 `cbor:"2,keyasint,omitempty"`
	Version     model.WeightVersion `cbor:"3,keyasint,omitempty"`
	Incarnation model.Incarnation   `cbor:"4,keyasint,omitempty"`
	// Unreachable reports that the endpoint could not be reached.
	Unreachable bool `cbor:"5,keyasint,omitempty"`
}

// DemandFact is the request rate of a caller at the host named by the item's key.
type DemandFact struct {
	Caller    model.CallerID `cbor:"1,keyasint"`
	PerSecond float32        `cbor:"2,keyasint"`
}

// Limits defines the bounds of one kind and how its items are sent.
type Limits struct {
	MaxCount int
	MaxAge   time.Duration
	// Urgent items are forwarded to every linked host immediately. Other items are sent to
	// a few linked hosts with the heartbeats.
	Urgent bool
	// AntiEntropy items take part in anti-entropy.
	AntiEntropy bool
}

const (
	// MaxDemandsPerHost is the maximum number of callers in a host's Demand item.
	MaxDemandsPerHost = 8
	maxKeyBytes       = 256
	// The sizes below are estimates of the encoded size of an item's parts.
	demandBytes     = 12
	itemFixedBytes  = 20
	drainBytes      = 32
	quarantineBytes = 24
	loadBytes       = 14
	generationBytes = 6
)

// LimitsOf returns the limits of a kind; ok is false for an unknown kind.
func LimitsOf(k Kind) (l Limits, ok bool) {
	switch k {
	case Drain:
		return Limits{MaxCount: 4096, MaxAge: 24 * time.Hour, Urgent: true, AntiEntropy: true}, true
	case Quarantine:
		return Limits{MaxCount: 1024, MaxAge: 30 * time.Minute, Urgent: true, AntiEntropy: true}, true
	case Load:
		return Limits{MaxCount: 4096, MaxAge: 30 * time.Second}, true
	case Demand:
		return Limits{MaxCount: 1024, MaxAge: 2 * time.Minute}, true
	case Generation:
		return Limits{MaxCount: 1024, MaxAge: time.Hour, AntiEntropy: true}, true
	}
	return Limits{}, false
}

// Valid reports whether the item has the content that its kind requires and no part of it is
// oversized.
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

// Size returns an estimate of the item's encoded size in bytes.
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

// ID identifies an item among all kinds.
type ID struct {
	Kind Kind
	Key  string
}

// ID returns the item's kind and key.
func (i Item) ID() ID { return ID{i.Kind, i.Key} }

// hash returns a hash of the item's kind, key and version.
func (i Item) hash() uint64 {
	var b [9]byte
	b[0] = byte(i.Kind)
	for n := range 8 {
		b[1+n] = byte(i.Version >> (8 * n))
	}
	return xxhash.Sum64String(i.Key + string(b[:]))
}

// sortItems sorts by kind, then by key.
func sortItems(list []Item) {
	sort.Slice(list, func(a, b int) bool {
		if list[a].Kind != list[b].Kind {
			return list[a].Kind < list[b].Kind
		}
		return list[a].Key < list[b].Key
	})
}
