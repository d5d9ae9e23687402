package placement

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Models returns the names of the models that the endpoints hold, sorted.
func (t *Table) Models() []string {
	known := map[string]bool{}
	for _, e := range t.entries {
		for model := range e.endpoint.Versions {
			known[model] = true
		}
	}
	return slices.Sorted(maps.Keys(known))
}

// ModelSlots returns the number of slots of the endpoints that hold a model.
func (t *Table) ModelSlots() int {
	n := 0
	for _, e := range t.entries {
		if len(e.endpoint.Versions) > 0 {
			n += e.endpoint.Slots
		}
	}
	return n
}

// LocalLoads returns the number of local requests in flight at each endpoint, by
// EndpointKey, capped at 65535.
func (t *Table) LocalLoads() map[uint32]uint16 {
	out := map[uint32]uint16{}
	for id, e := range t.entries {
		if e.localLoad > 0 {
			out[EndpointKey(id)] = uint16(min(e.localLoad, math.MaxUint16))
		}
	}
	return out
}

// SetPeerLoads replaces the loads that a peer reported, by EndpointKey; nil removes them. A
// load counts at each endpoint with its key.
func (t *Table) SetPeerLoads(host string, loads map[uint32]uint16) {
	for _, e := range t.entries {
		n := int(loads[e.key])
		e.peerLoad += n - e.loadByPeer[host]
		if n > 0 {
			e.loadByPeer[host] = n
		} else {
			delete(e.loadByPeer, host)
		}
	}
}

// SumLoads returns the local requests and those of the peers that include selects at each
// endpoint, by EndpointKey, capped at 65535.
func (t *Table) SumLoads(include func(host string) bool) map[uint32]uint16 {
	out := map[uint32]uint16{}
	for _, e := range t.entries {
		n := e.localLoad
		for host, load := range e.loadByPeer {
			if include(host) {
				n += load
			}
		}
		if n > 0 {
			out[e.key] = uint16(min(n, math.MaxUint16))
		}
	}
	return out
}

// ClearPeerLoads removes the loads of all peers.
func (t *Table) ClearPeerLoads() {
	for _, e := range t.entries {
		clear(e.loadByPeer)
		e.peerLoad = 0
	}
}

// SlotUsage returns the slots of a service's endpoints that are neither draining nor
// ejected, and how many of them are used by local requests and by those of peers.
func (t *Table) SlotUsage(now time.Time, service string) (slots, local, remote int) {
	for _, e := range t.services[service] {
		if e.endpoint.Draining || now.Before(e.ejectedUntil) {
			continue
		}
		slots += e.endpoint.Slots
		local += min(e.localLoad, e.endpoint.Slots)
		remote += min(e.peerLoad, e.endpoint.Slots)
	}
	return slots, local, remote
}

// InFlight returns the number of requests in flight at an endpoint from all hosts.
func (t *Table) InFlight(id string) int {
	if e, ok := t.entries[id]; ok {
		return e.load()
	}
	return 0
}
