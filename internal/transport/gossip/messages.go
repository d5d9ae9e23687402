package gossip

import (
	"oleanderfall.example/oleanderfall/internal/coordination/dissemination"
	"oleanderfall.example/oleanderfall/internal/coordination/membership"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// datagram is what two control programs send each other unasked.
type datagram struct {
	From    membership.Sender     `cbor:"1,keyasint"`
	Message membership.Message    `cbor:"2,keyasint"`
	News    dissemination.Updates `cbor:"3,keyasint,omitempty"`
	// Generation is that of the configuration in force at the sender.
	Generation model.Generation `cbor:"4,keyasint,omitempty"`
}

// exchangeRequest compares tables. With Push it hands over the requester's part of
// the buckets that differed.
type exchangeRequest struct {
	From       membership.Sender      `cbor:"1,keyasint"`
	Generation model.Generation       `cbor:"2,keyasint,omitempty"`
	Members    []uint64               `cbor:"3,keyasint,omitempty"`
	Items      []uint64               `cbor:"4,keyasint,omitempty"`
	Push       *dissemination.Updates `cbor:"5,keyasint,omitempty"`
}

// exchangeReply lists the buckets that differ and the replier's part of them.
type exchangeReply struct {
	From          membership.Sender     `cbor:"1,keyasint"`
	Generation    model.Generation      `cbor:"2,keyasint,omitempty"`
	MemberBuckets []int                 `cbor:"3,keyasint,omitempty"`
	ItemBuckets   []int                 `cbor:"4,keyasint,omitempty"`
	News          dissemination.Updates `cbor:"5,keyasint,omitempty"`
}

// differing returns the indices in which two digests differ. A digest of another
// length differs everywhere.
func differing(own, other []uint64) []int {
	var out []int
	for i := range own {
		if i >= len(other) || own[i] != other[i] {
			out = append(out, i)
		}
	}
	return out
}

func marked(buckets []int) func(int) bool {
	set := map[int]bool{}
	for _, b := range buckets {
		set[b] = true
	}
	return func(b int) bool { return set[b] }
}

// event is what the duty's loop takes from its rings.
type event struct {
	// Exactly one of the following is set.
	received *datagram
	learned  []items.Item
	leaving  *bool
	depart   bool
	seeds    []string
	request  *exchangeRequest
	reply    *exchangeReply
	release  string
	// done, when not nil, is closed when the event was handled; answer takes the
	// reply to request.
	done   chan struct{}
	answer chan exchangeReply
	from   string
}
