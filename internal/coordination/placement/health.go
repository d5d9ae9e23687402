package placement

import "time"

// suspect reports whether the endpoint was left out and has not answered since.
func (e *entry) suspect(now time.Time) bool {
	return e.ejections > 0 && now.Before(e.ejectedUntil.Add(suspectFor))
}

// Eject leaves an endpoint out at once, when it certainly does not answer.
func (t *Table) Eject(now time.Time, id string) {
	if e, ok := t.entries[id]; ok {
		e.failures = max(e.failures, failuresToEject)
		e.ejectedUntil = now.Add(min(firstEjection<<min(e.ejections, 8), maxEjection))
		e.ejections++
		e.unreachable = true
	}
}

// Unreachable returns some of the endpoints that this host certainly did not reach and
// that have not answered it since, by Key.
func (t *Table) Unreachable(now time.Time) []uint32 {
	var out []uint32
	for _, e := range t.entries {
		if e.unreachable && e.suspect(now) && len(out) < maxNamed {
			out = append(out, e.key)
		}
	}
	return out
}

// Slow returns some of the endpoints that this host found slow within doubtFor, by Key.
func (t *Table) Slow(now time.Time) []uint32 {
	var out []uint32
	for _, e := range t.entries {
		if e.pace > 0 && now.Sub(e.pacedAt) < doubtFor && len(out) < maxNamed && t.IsSlow(now, e.endpoint.ID) {
			out = append(out, e.key)
		}
	}
	return out
}

// IsSlow reports whether an endpoint is much slower than is usual in its service.
func (t *Table) IsSlow(now time.Time, id string) bool {
	own, usual := t.Pace(now, id)
	return own > 0 && float64(own) >= slowFactor*float64(usual)
}

// FoundSlow records that a peer finds an endpoint slow.
func (t *Table) FoundSlow(now time.Time, key uint32) {
	if e, ok := t.byKey[key]; ok {
		e.slowUntil = now.Add(doubtFor)
	}
}

// Doubt records that a peer does not reach an endpoint.
func (t *Table) Doubt(now time.Time, key uint32) {
	if e, ok := t.byKey[key]; ok {
		e.doubtUntil = now.Add(doubtFor)
	}
}
