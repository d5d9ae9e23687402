// Package members defines a host's membership table: one record per host of the fleet, and
// the rule for merging two records of the same host.
//
// Invariant: Table.Merge is commutative, associative and idempotent, so that hosts that have
// received the same records in any order have the same table.
package members

import (
	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// State is the state of a host in a record.
type State uint8

// The states. At equal incarnation and revision a higher state replaces a lower one.
const (
	Alive State = iota
	Suspect
	Dead
)

// Record is a statement about a host. Only the host itself increases Incarnation and
// Revision. Other hosts may only raise State at the incarnation and revision they know.
type Record struct {
	Host model.HostID `cbor:"1,keyasint"`
	Zone model.ZoneID `cbor:"2,keyasint,omitempty"`
	// Control is the UDP address of the host's control program.
	Control string `cbor:"3,keyasint,omitempty"`
	// Incarnation identifies a start of the host's control program; a later start has a
	// higher one.
	Incarnation model.Incarnation `cbor:"4,keyasint"`
	// Revision increases within one incarnation. A host raises it to refute a suspicion
	// or to announce that it is leaving.
	Revision uint64 `cbor:"5,keyasint,omitempty"`
	State    State  `cbor:"6,keyasint,omitempty"`
	// Leaving reports that the host has announced a planned stop.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// EntryNotReady reports that the host's entry program does not serve callers. It is
	// false for hosts of earlier builds, which do not announce it.
	EntryNotReady bool `cbor:"8,keyasint,omitempty"`
}

// Supersedes reports whether r replaces old. Both must be records of the same host.
func (r Record) Supersedes(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Revision != old.Revision {
		return r.Revision > old.Revision
	}
	return r.State > old.State
}

// Hash returns a hash of the host, incarnation, revision and state.
func (r Record) Hash() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(r.Host))
	var b [17]byte
	putUint64(b[0:], uint64(r.Incarnation))
	putUint64(b[8:], r.Revision)
	b[16] = byte(r.State)
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// Size returns an estimate of the record's encoded size in bytes.
func (r Record) Size() int {
	const fixedBytes = 24
	return fixedBytes + len(r.Host) + len(r.Zone) + len(r.Control)
}

// putUint64 writes v to b in little-endian order.
func putUint64(b []byte, v uint64) {
	for i := range 8 {
		b[i] = byte(v >> (8 * i))
	}
}
