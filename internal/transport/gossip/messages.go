package gossip

import (
	"oleanderfall.example/oleanderfall/internal/coordination/dissemination"
	"oleanderfall.example/oleanderfall/internal/coordination/membership"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// datagram is a one-way message between two control programs.
type datagram struct {
	From      membership.Sender     `cbor:"1,keyasint"`
	Message   membership.Message    `cbor:"2,keyasint"`
	UpdateSet dissemination.Updates `cbor:"3,keyasint,omitempty"`
	// Generation is the generation of the configuration in force at the sender.
	Generation model.Generation `cbor:"4,keyasint,omitempty"`
}

// exchangeRequest carries the requester's digests to compare with the replier's. With
// Push it carries the requester's entries of the buckets that differed instead.
type exchangeRequest struct {
	From       membership.Sender      `cbor:"1,keyasint"`
	Generation model.Generation       `cbor:"2,keyasint,omitempty"`
	Members    []uint64               `cbor:"3,keyasint,omitempty"`
	Items      []uint64               `cbor:"4,keyasint,omitempty"`
	Push       *dissemination.Updates `cbor:"5,keyasint,omitempty"`
}

// exchangeReply lists the buckets that differ and the replier's entries of them.
type exchangeReply struct {
	From          membership.Sender     `cbor:"1,keyasint"`
	Generation    model.Generation      `cbor:"2,keyasint,omitempty"`
	MemberBuckets []int                 `cbor:"3,keyasint,omitempty"`
	ItemBuckets   []int                 `cbor:"4,keyasint,omitempty"`
	UpdateSet     dissemination.Updates `cbor:"5,keyasint,omitempty"`
}

// differingBuckets returns the indices at which two digests differ. Buckets that are
// missing from other count as different.
func differingBuckets(own, other []uint64) []int {
	var out []int
	for i := range own {
		if i >= len(other) || own[i] != other[i] {
			out = append(out, i)
		}
	}
	return out
}

// inBuckets returns a function that reports whether a bucket is in the list.
func inBuckets(buckets []int) func(int) bool {
	set := map[int]bool{}
	for _, b := range buckets {
		set[b] = true
	}
	return func(b int) bool { return set[b] }
}

// event is one input of the event loop in Run.
type event struct {
	// Exactly one of the following is set.
	received   *datagram
	addedItems []items.Item
	leaving    *bool
	entryReady *bool
	depart     bool
	seeds      []string
	request    *exchangeRequest
	reply      *exchangeReply
	// drop is an address whose exchange is complete: its connection is closed unless the
	// host is linked.
	drop string
	// done, if not nil, is closed after the event was handled. replies receives the reply
	// to request. from is the address that sent reply.
	done    chan struct{}
	replies chan exchangeReply
	from    string
}
