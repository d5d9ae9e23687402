// Package drains derives the drains in force from the evidence that several sources give
// about endpoints and hosts that are leaving, that is, about to stop. A target whose drain is
// in force receives no new work. It does no I/O and reads no clock.
//
// Invariant: the first evidence about an incarnation puts its drain in force, and no later
// evidence ends it; a higher incarnation of the target starts without a drain. Only drains
// set by an operator can be cancelled.
package drains

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Target is an endpoint or a host; exactly one of the fields is set.
type Target struct {
	Endpoint model.EndpointID
	Host     model.HostID
}

func (t Target) itemKey() string {
	if t.Endpoint != "" {
		return "endpoint/" + string(t.Endpoint)
	}
	return "host/" + string(t.Host)
}

// OperatorKey returns the item key of an operator's drain of a target. The drain is stored
// in the object API under the same key.
func OperatorKey(t Target) string { return "operator/" + t.itemKey() }

// EvidenceItem returns the item for a source's report that an incarnation of a target is
// leaving. An incarnation of 0 means unknown.
func EvidenceItem(t Target, incarnation model.Incarnation, source model.DrainSource) items.Item {
	return items.Item{
		Kind:    items.Drain,
		Key:     t.itemKey(),
		Version: uint64(incarnation),
		Drain:   &items.DrainFact{Endpoint: t.Endpoint, Host: t.Host, Incarnation: incarnation, Source: source},
	}
}

// OperatorItem returns the item for an operator's drain of a target, or for its cancellation.
// version is the version of the stored object. An incarnation of 0 covers all
// incarnations.
func OperatorItem(t Target, incarnation model.Incarnation, cancelled bool, version uint64) items.Item {
	return items.Item{
		Kind:    items.Drain,
		Key:     OperatorKey(t),
		Version: version,
		Drain: &items.DrainFact{
			Endpoint: t.Endpoint, Host: t.Host, Incarnation: incarnation,
			Source: model.DrainFromOperator, Cancelled: cancelled,
		},
	}
}

// IncarnationLookup returns the highest known incarnation of a target, 0 if unknown.
type IncarnationLookup func(Target) model.Incarnation

// InForce returns the drains in force among the items, in their order. Each target is
// listed once, with its oldest evidence.
func InForce(list []items.Item, incarnationOf IncarnationLookup) []model.DrainEvidence {
	var out []model.DrainEvidence
	index := map[Target]int{}
	for _, i := range list {
		if i.Drain == nil || !applies(*i.Drain, incarnationOf) {
			continue
		}
		e := model.DrainEvidence{
			Endpoint: i.Drain.Endpoint, Host: i.Drain.Host, Incarnation: i.Drain.Incarnation,
			Source: i.Drain.Source, Age: time.Duration(i.AgeMillis) * time.Millisecond,
		}
		t := Target{i.Drain.Endpoint, i.Drain.Host}
		n, seen := index[t]
		switch {
		case !seen:
			index[t] = len(out)
			out = append(out, e)
		case e.Age > out[n].Age:
			out[n] = e
		}
	}
	return out
}

func applies(d items.DrainFact, incarnationOf IncarnationLookup) bool {
	if d.Cancelled {
		return false
	}
	return d.Incarnation == 0 || incarnationOf(Target{d.Endpoint, d.Host}) <= d.Incarnation
}

// BindIncarnations returns the evidence that names no incarnation although its target's
// incarnation is known, now with that incarnation. The next incarnation then starts without
// a drain. Operator drains are left out.
func BindIncarnations(list []items.Item, incarnationOf IncarnationLookup) []items.Item {
	var out []items.Item
	for _, i := range list {
		if i.Drain == nil || i.Drain.Incarnation != 0 || i.Drain.Source == model.DrainFromOperator {
			continue
		}
		t := Target{i.Drain.Endpoint, i.Drain.Host}
		if inc := incarnationOf(t); inc != 0 {
			bound := EvidenceItem(t, inc, i.Drain.Source)
			bound.AgeMillis = i.AgeMillis
			out = append(out, bound)
		}
	}
	return out
}
