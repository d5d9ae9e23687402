package shards

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Plan returns the ownership writes that this host should attempt now.
func (t *Table) Plan(now time.Time) []Acquisition {
	var planned []Acquisition
	for _, id := range t.configured {
		if t.shouldAcquire(now, id) {
			planned = append(planned, t.acquisition(id))
		}
	}
	return planned
}

func (t *Table) acquisition(id string) Acquisition {
	s := t.shards[id]
	r := t.self
	r.Epoch = s.record.Epoch + 1
	r.Released = false
	return Acquisition{ID: id, Record: r, Expect: s.version}
}

// shouldAcquire reports whether this host should try to acquire a shard now. That is the
// case if the shard has no live owner and this host's rank delay has passed, or if this
// host is the most preferred and the current owner has held the shard for MinHold. Both
// also need a fleet view that is unchanged for SettleTime or StablePeriod, respectively.
func (t *Table) shouldAcquire(now time.Time, id string) bool {
	s := t.shards[id]
	if s == nil || t.Owns(id) || now.Before(s.cooldownUntil) {
		return false
	}
	rank, ok := t.rank(id)
	if !ok {
		return false
	}
	if !t.unowned(now, s) {
		s.unownedSince = time.Time{}
		return rank == 0 && t.mayRebalance(now, s)
	}
	if s.unownedSince.IsZero() {
		s.unownedSince = now
	}
	wait := time.Duration(rank)*t.timing.RankDelay + t.jitter(id, s.record.Epoch)
	return now.Sub(t.fleetChanged) >= t.timing.SettleTime && now.Sub(s.unownedSince) >= wait
}

// unowned reports whether the shard has no live owner.
func (t *Table) unowned(now time.Time, s *shardState) bool {
	r := s.record
	if s.version == 0 || r.Released {
		return true
	}
	if r.Host == t.self.Host {
		// A record from before this process started is that of a former one, also if the wall clock
		// stepped back in between and made its incarnation the higher one.
		return r.Incarnation <= t.self.Incarnation || s.epochSince.IsZero()
	}
	return t.ownerUnreachable(now, s) || t.ownerLost(now, s)
}

// ownerLost reports whether the fleet view shows the owner of a shard as dead or missing.
func (t *Table) ownerLost(now time.Time, s *shardState) bool {
	c, listed := t.candidates[s.record.Host]
	if !listed {
		return now.Sub(t.fleetChanged) >= t.timing.MissingTimeout && t.mayReplaceLost(now, s, t.fleetChanged)
	}
	return c.Dead && t.mayReplaceLost(now, s, t.deadSince[s.record.Host])
}

// mayReplaceLost reports whether an owner that disappeared from the fleet view at lostAt
// may be replaced: it acquired the shard before that, or has held it for MinHold. An owner
// that acquired it later was alive despite the view. MinHold then keeps two hosts that
// consider each other dead from taking the shard from each other in every round.
func (t *Table) mayReplaceLost(now time.Time, s *shardState, lostAt time.Time) bool {
	return !s.epochSince.After(lostAt) || now.Sub(s.epochSince) >= t.timing.MinHold
}

func (t *Table) ownerUnreachable(now time.Time, s *shardState) bool {
	return !s.failingSince.IsZero() &&
		s.lastFailure.Sub(s.failingSince) >= t.timing.UnreachableTimeout &&
		now.Sub(s.lastFailure) < t.timing.UnreachableTimeout
}

func (t *Table) mayRebalance(now time.Time, s *shardState) bool {
	return now.Sub(s.epochSince) >= t.timing.MinHold && now.Sub(t.fleetChanged) >= t.timing.StablePeriod
}

// rank returns this host's position in the preference order of a shard, false if it is
// not in the order. A host that released the shard is not counted, so that no other host
// waits for it.
func (t *Table) rank(id string) (int, bool) {
	position := 0
	record, _ := t.Record(id)
	for _, host := range t.preference[id] {
		if host == t.self.Host {
			return position, true
		}
		if !record.Released || host != record.Host {
			position++
		}
	}
	return 0, false
}

// jitter returns a delay below Timing.Jitter that differs between hosts and epochs.
func (t *Table) jitter(id string, epoch model.Epoch) time.Duration {
	if t.timing.Jitter <= 0 {
		return 0
	}
	return time.Duration(score(id, t.self.Host, uint64(epoch)) % uint64(t.timing.Jitter))
}
