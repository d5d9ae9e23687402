package shards

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Plan returns the shards that this host should now try to take.
func (t *Table) Plan(now time.Time) []Take {
	var takes []Take
	for _, id := range t.wanted {
		if t.due(now, id) {
			takes = append(takes, t.take(id))
		}
	}
	return takes
}

func (t *Table) take(id string) Take {
	k := t.shards[id]
	r := t.self
	r.Epoch = k.record.Epoch + 1
	r.Released = false
	return Take{ID: id, Record: r, Expect: k.version}
}

// due reads as the rule: a shard is taken when it is free and this host's turn has
// come, or when this host is preferred and the present holder had its time.
func (t *Table) due(now time.Time, id string) bool {
	k := t.shards[id]
	if k == nil || t.Mine(id) || now.Before(k.coolUntil) {
		return false
	}
	rank, ok := t.rank(id)
	if !ok {
		return false
	}
	if !t.free(now, k) {
		k.freeSince = time.Time{}
		return rank == 0 && t.mayMove(now, k)
	}
	if k.freeSince.IsZero() {
		k.freeSince = now
	}
	wait := time.Duration(rank)*t.timing.RankDelay + t.jitter(id, k.record.Epoch)
	return now.Sub(t.fleetSince) >= t.timing.Settle && now.Sub(k.freeSince) >= wait
}

// free reports whether the shard has no living holder.
func (t *Table) free(now time.Time, k *known) bool {
	r := k.record
	if k.version == 0 || r.Released {
		return true
	}
	if r.Host == t.self.Host {
		return r.Incarnation <= t.self.Incarnation
	}
	return t.unreachable(now, k) || t.lost(now, k)
}

// lost reports whether the fleet view lost the holder of a shard.
func (t *Table) lost(now time.Time, k *known) bool {
	c, listed := t.candidates[k.record.Host]
	if !listed {
		return now.Sub(t.fleetSince) >= t.timing.Missing && t.silent(now, k, t.fleetSince)
	}
	return c.Gone && t.silent(now, k, t.goneSince[k.record.Host])
}

// silent reports whether the holder took the shard before the fleet view lost it.
// One that took it later is alive whatever the view says, and keeps it for MinHold:
// two hosts that call each other dead do not take a shard from each other in turn.
func (t *Table) silent(now time.Time, k *known, lostAt time.Time) bool {
	return !k.since.After(lostAt) || now.Sub(k.since) >= t.timing.MinHold
}

func (t *Table) unreachable(now time.Time, k *known) bool {
	return !k.failingSince.IsZero() &&
		k.failedAt.Sub(k.failingSince) >= t.timing.Unreachable &&
		now.Sub(k.failedAt) < t.timing.Unreachable
}

func (t *Table) mayMove(now time.Time, k *known) bool {
	return now.Sub(k.since) >= t.timing.MinHold && now.Sub(t.fleetSince) >= t.timing.Stable
}

// rank is this host's place in the order of preference of a shard. A host that
// released the shard has no place: nobody waits for it.
func (t *Table) rank(id string) (int, bool) {
	place := 0
	released, _ := t.Record(id)
	for _, host := range t.order[id] {
		if host == t.self.Host {
			return place, true
		}
		if !released.Released || host != released.Host {
			place++
		}
	}
	return 0, false
}

func (t *Table) jitter(id string, epoch model.Epoch) time.Duration {
	if t.timing.Jitter <= 0 {
		return 0
	}
	return time.Duration(score(id, t.self.Host, uint64(epoch)) % uint64(t.timing.Jitter))
}
