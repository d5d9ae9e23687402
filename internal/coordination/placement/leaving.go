package placement

import (
	"encoding/binary"
	"hash/fnv"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// InstanceKey returns the 32-bit hash that identifies one instance of an endpoint in messages
// between hosts. Another incarnation with the same ID or address has another key.
func InstanceKey(e *catalog.Endpoint) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.ID + "\x00" + e.Address + "\x00" + e.Service))
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(e.Incarnation)))
	return h.Sum32()
}

// MarkLeaving records that an endpoint's own answer said that it is leaving, and reports
// whether that was not known. It has no effect if the endpoint was replaced meanwhile.
func (t *Table) MarkLeaving(ep catalog.Endpoint) bool {
	e := t.instance(&ep)
	if e == nil || e.leaving {
		return false
	}
	e.leaving, e.endpoint.Draining = true, true
	return true
}

// MarkReportedLeaving records that peers reported the instances with these keys as leaving.
func (t *Table) MarkReportedLeaving(keys []uint32) {
	for _, key := range keys {
		for _, e := range t.byInstance[key] {
			e.leaving, e.endpoint.Draining = true, true
		}
	}
}

// Leaving returns the instance keys of the endpoints known to be leaving, at most maxReported
// in no particular order.
func (t *Table) Leaving() []uint32 {
	var out []uint32
	for _, e := range t.entries {
		if e.leaving && len(out) < maxReported {
			out = append(out, e.instanceKey)
		}
	}
	return out
}

// AllDraining reports whether a service has endpoints, all of which are draining or leaving.
func (t *Table) AllDraining(service string) bool {
	for _, e := range t.services[service] {
		if !e.endpoint.Draining {
			return false
		}
	}
	return len(t.services[service]) > 0
}
