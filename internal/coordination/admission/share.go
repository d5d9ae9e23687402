package admission

import "math"

const (
	// overcommit is how much more than the slots all hosts together may send: endpoints
	// queue a few requests, which keeps them busy between an answer and the next request.
	overcommit = 1.5
	// aloneBelow is the share of a service's slots in use by other hosts under which this
	// host may use all the rest; it is what a few of them use in calm times.
	aloneBelow = 0.4
	// roomBelow is the share of a service's slots in use under which slow answers are not
	// taken for an overload.
	roomBelow = 0.7
)

// Share is what a host that shares endpoints with others knows of their slots.
type Share struct {
	// Ceiling is the most that this host may have at once: what the others leave, and its
	// even share at any rate.
	Ceiling int
	// Slots is this host's even share; the limit is never under it, as the endpoints have
	// that room for this host.
	Slots int
	// Alone says that the other hosts use few slots, as far as heard.
	Alone bool
	// HasRoom says that a good part of all slots is free.
	HasRoom bool
}

// ShareOf returns the share of one of so many hosts in slots, of which its own requests
// and those that the other hosts told of take a part.
func ShareOf(slots, own, others, hosts int) Share {
	even := int(math.Ceil(overcommit * float64(slots) / float64(max(1, hosts))))
	return Share{
		Ceiling: max(slots-others, even),
		Slots:   even,
		Alone:   float64(others) < aloneBelow*float64(slots),
		HasRoom: float64(own+others) < roomBelow*float64(slots),
	}
}
