// Package members holds what a host knows of the hosts of the fleet: one record a
// host, and the rule by which two records of one host are merged.
//
// Invariant: Merge is a join: it is commutative, associative and idempotent, so that
// hosts which have seen the same records, in any order, hold the same table.
package members

import (
	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// State is a host's condition in a record.
type State uint8

// The conditions, in the order in which they replace each other at equal versions.
const (
	Alive State = iota
	Suspect
	Dead
)

// Record is one claim about a host. Only the host itself raises Incarnation and
// Revision; others may only raise State at the version they know.
type Record struct {
	Host model.HostID `cbor:"1,keyasint"`
	Zone model.ZoneID `cbor:"2,keyasint,omitempty"`
	// Control is the UDP address of the host's control program.
	Control string `cbor:"3,keyasint,omitempty"`
	// Incarnation is the life of the host's control program.
	Incarnation model.Incarnation `cbor:"4,keyasint"`
	// Revision grows within one life: a host raises it to refute a suspicion or to
	// announce that it leaves.
	Revision uint64 `cbor:"5,keyasint,omitempty"`
	State    State  `cbor:"6,keyasint,omitempty"`
	// Leaving says that the host announced a planned stop.
	Leaving bool `cbor:"7,keyasint,omitempty"`
}

// Supersedes reports whether r replaces old, a record of the same host.
func (r Record) Supersedes(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Revision != old.Revision {
		return r.Revision > old.Revision
	}
	return r.State > old.State
}

// Hash returns a hash of the record's version.
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

// Size estimates the record's encoded bytes.
func (r Record) Size() int {
	const fixedBytes = 24
	return fixedBytes + len(r.Host) + len(r.Zone) + len(r.Control)
}

func putUint64(b []byte, v uint64) {
	for i := range 8 {
		b[i] = byte(v >> (8 * i))
	}
}
