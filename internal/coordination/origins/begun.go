package origins

import (
	"maps"
	"slices"
	"time"
)

// Begun lists the services and software versions at which streams may have begun within Retention.
// It is stored outside the hosts, so it outlives all of them. A version is added before the first
// stream begins at it.
//
// Invariant: while Verified is false, streams may have begun at versions that are not listed.
type Begun struct {
	Origins []Origin `cbor:"1,keyasint"`
	// Verified is set once no version can be missing: the list was created before the fleet began
	// its first stream, or it has been kept for Retention.
	Verified bool `cbor:"2,keyasint"`
}

// Has reports whether an origin is listed.
func (b *Begun) Has(o Origin) bool { return slices.Contains(b.Origins, o) }

// With returns the list with the origins that it lacks.
func (b *Begun) With(added ...Origin) Begun {
	out := Begun{Origins: slices.Clone(b.Origins), Verified: b.Verified}
	for _, o := range added {
		if !out.Has(o) {
			out.Origins = append(out.Origins, o)
		}
	}
	return out
}

// Only returns the origin of every stream whose origin nobody remembers; ok is false if there may be
// several.
func (b *Begun) Only() (o Origin, ok bool) {
	if !b.Verified || len(b.Origins) != 1 {
		return Origin{}, false
	}
	return b.Origins[0], true
}

// Keeper decides how the list is kept up to date by the one host that watches the endpoints for it.
// All times are on that host's monotonic clock: a host that has just started waits for Retention
// before it removes a version or verifies the list. The same holds for a version that other hosts add
// to the list while this host's list of endpoints does not show it.
type Keeper struct {
	since time.Time
	// seen is the time up to which streams may have begun at an origin, as far as the keeper knows.
	seen map[Origin]time.Time
	// inService are the origins in service at the last update. Each of them may have served until
	// the next one.
	inService []Origin
}

// NewKeeper returns a keeper that begins to watch now.
func NewKeeper(now time.Time) *Keeper { return &Keeper{since: now, seen: map[Origin]time.Time{}} }

// Update returns the list that replaces b, given the origins in service now, and whether it differs.
func (k *Keeper) Update(now time.Time, b Begun, inService []Origin) (next Begun, changed bool) {
	for _, o := range slices.Concat(k.inService, inService) {
		k.seen[o] = now
	}
	k.inService = slices.Clone(inService)
	next = b.With(inService...)
	for _, o := range next.Origins {
		if _, ok := k.seen[o]; !ok {
			k.seen[o] = now // another host has added it since the last update
		}
	}
	if now.Sub(k.since) > Retention {
		next.Verified = true
		next.Origins = slices.DeleteFunc(next.Origins, func(o Origin) bool { return now.Sub(k.seen[o]) > Retention })
	}
	// An origin that is listed again later is a new one.
	maps.DeleteFunc(k.seen, func(o Origin, _ time.Time) bool { return !next.Has(o) })
	return next, next.Verified != b.Verified || !slices.Equal(next.Origins, b.Origins)
}
