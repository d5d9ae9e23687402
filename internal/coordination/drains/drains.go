// Package drains merges what the witnesses say about leaving endpoints and hosts
// into the drains that are in force. It is pure: time is passed in.
//
// Invariant: the first evidence about an incarnation puts its drain in force and no
// later evidence lifts it; a higher incarnation of the endpoint starts clean. Only an
// operator's own drain can be cancelled.
package drains

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Target is an endpoint or a host; one of the two is set.
type Target struct {
	Endpoint model.EndpointID
	Host     model.HostID
}

func (t Target) key() string {
	if t.Endpoint != "" {
		return "endpoint/" + string(t.Endpoint)
	}
	return "host/" + string(t.Host)
}

// OperatorKey is the item key of an operator's drain of a target; the object API
// keeps it under the same name.
func OperatorKey(t Target) string { return "operator/" + t.key() }

// Evidence returns the item that says that a witness saw an incarnation leaving.
func Evidence(t Target, incarnation model.Incarnation, source model.DrainSource) items.Item {
	return items.Item{
		Kind:    items.Drain,
		Key:     t.key(),
		Version: uint64(incarnation),
		Drain:   &items.DrainFact{Endpoint: t.Endpoint, Host: t.Host, Incarnation: incarnation, Source: source},
	}
}

// Operator returns the item of an operator's drain, or of its end. version is that
// of the stored object. An incarnation of 0 stands for all.
func Operator(t Target, incarnation model.Incarnation, cancelled bool, version uint64) items.Item {
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

// Incarnations tells the highest known incarnation of a target, 0 for unknown.
type Incarnations func(Target) model.Incarnation

// InForce returns the drains in force among the items, in their order, one a target:
// the oldest evidence of each.
func InForce(list []items.Item, known Incarnations) []model.DrainEvidence {
	var out []model.DrainEvidence
	at := map[Target]int{}
	for _, i := range list {
		if i.Drain == nil || !inForce(*i.Drain, known) {
			continue
		}
		e := model.DrainEvidence{
			Endpoint: i.Drain.Endpoint, Host: i.Drain.Host, Incarnation: i.Drain.Incarnation,
			Source: i.Drain.Source, Age: time.Duration(i.AgeMillis) * time.Millisecond,
		}
		t := Target{i.Drain.Endpoint, i.Drain.Host}
		n, seen := at[t]
		switch {
		case !seen:
			at[t] = len(out)
			out = append(out, e)
		case e.Age > out[n].Age:
			out[n] = e
		}
	}
	return out
}

func inForce(d items.DrainFact, known Incarnations) bool {
	if d.Cancelled {
		return false
	}
	return d.Incarnation == 0 || known(Target{d.Endpoint, d.Host}) <= d.Incarnation
}

// Bind returns, for evidence without an incarnation, the same evidence for the
// incarnation that is known by now, so that the next one starts clean.
func Bind(list []items.Item, known Incarnations) []items.Item {
	var out []items.Item
	for _, i := range list {
		if i.Drain == nil || i.Drain.Incarnation != 0 || i.Drain.Source == model.DrainFromOperator {
			continue
		}
		t := Target{i.Drain.Endpoint, i.Drain.Host}
		if inc := known(t); inc != 0 {
			bound := Evidence(t, inc, i.Drain.Source)
			bound.AgeMillis = i.AgeMillis
			out = append(out, bound)
		}
	}
	return out
}
