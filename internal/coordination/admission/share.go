package admission

import "math"

const (
	// overcommit is the factor by which the requests of all hosts together may exceed the
	// slots. Endpoints queue the excess, which keeps them busy between an answer and the
	// next request.
	overcommit = 1.5
	// othersIdleBelow is the share of a service's slots in use by other hosts below which
	// this host may use all the rest. A few hosts use this much under normal load.
	othersIdleBelow = 0.4
	// freeSlotsBelow is the share of a service's slots in use below which high latency does
	// not count as overload.
	freeSlotsBelow = 0.7
)

// Share describes the part of a service's slots that one of several hosts may use.
type Share struct {
	// UpperBound is the upper bound of this host's limit: the slots that the other hosts do
	// not use, but at least its even share.
	UpperBound int
	// EvenShare is the slots per host, including the overcommit. It is the lower bound of
	// this host's limit, as the endpoints can take that many requests from each host.
	EvenShare int
	// OthersIdle is set if the other hosts use few slots according to their last reports.
	OthersIdle bool
	// HasFreeSlots is set if more than 30 % of all slots are free.
	HasFreeSlots bool
}

// ComputeShare returns one host's share of slots that are shared by the given number of
// hosts. own is the number of running requests of this host, others the total that the
// other hosts reported.
func ComputeShare(slots, own, others, hosts int) Share {
	even := int(math.Ceil(overcommit * float64(slots) / float64(max(1, hosts))))
	return Share{
		UpperBound:   max(slots-others, even),
		EvenShare:    even,
		OthersIdle:   float64(others) < othersIdleBelow*float64(slots),
		HasFreeSlots: float64(own+others) < freeSlotsBelow*float64(slots),
	}
}
