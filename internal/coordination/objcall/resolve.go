package objcall

// Stamp identifies one write uniquely among all processes.
type Stamp struct {
	Writer   uint64
	Sequence uint64
}

// Replaced identifies a version that a later write replaced.
type Replaced struct {
	Version uint64
	Stamp   Stamp
}

// MaxReplaced is the maximum number of replaced versions in a History.
const MaxReplaced = 8

// History is the record of the writes to a key, stored with its object.
type History struct {
	// Stamp identifies the write of the current version.
	Stamp Stamp
	// Replaced lists the versions before it, the newest first.
	Replaced []Replaced
	// Complete says that Replaced reaches back to the key's creation.
	Complete bool
}

// Next returns the history after the write identified by stamp has replaced this version,
// whose number is version. For a creation, use Created.
func (h History) Next(version uint64, stamp Stamp) History {
	replaced := make([]Replaced, 0, MaxReplaced)
	replaced = append(replaced, Replaced{Version: version, Stamp: h.Stamp})
	keep := min(len(h.Replaced), MaxReplaced-1)
	replaced = append(replaced, h.Replaced[:keep]...)
	return History{Stamp: stamp, Replaced: replaced, Complete: h.Complete && keep == len(h.Replaced)}
}

// Created returns the history of a key whose first version is the write identified by stamp.
func Created(stamp Stamp) History { return History{Stamp: stamp, Complete: true} }

// Found is the result of the read that follows a lost answer.
type Found struct {
	Present bool
	Version uint64
	History History
}

// Verdict is the effect of a write whose answer was lost.
type Verdict int

// The verdicts.
const (
	// Undetermined: the effect cannot be determined from the object.
	Undetermined Verdict = iota
	// Applied: the write took effect.
	Applied
	// Pending: the write has not taken effect so far. A retry is safe, since both attempts
	// are conditional on the same version.
	Pending
	// Refused: another write took effect first, so this one no longer can.
	Refused
)

// String returns the metric label of the verdict. The labels "open" and "taken" stand for
// Undetermined and Applied.
func (v Verdict) String() string {
	return [...]string{"open", "taken", "pending", "refused"}[v]
}

// ResolvePut determines the effect of the write identified by stamp, which was conditional
// on version expect, 0 for a creation. With Applied it also returns the version that the
// write created.
func ResolvePut(stamp Stamp, expect uint64, f Found) (Verdict, uint64) {
	switch {
	case !f.Present && expect == 0:
		return Pending, 0
	case !f.Present:
		return Undetermined, 0
	case f.History.Stamp == stamp:
		return Applied, f.Version
	case f.Version == expect:
		return Pending, 0
	}
	for _, r := range f.History.Replaced {
		if r.Stamp == stamp {
			return Applied, r.Version
		}
	}
	if f.History.covers(expect) {
		return Refused, 0
	}
	return Undetermined, 0
}

// ResolveDelete determines the effect of a delete that was conditional on version expect.
// Applied means that this version no longer exists.
func ResolveDelete(expect uint64, f Found) Verdict {
	switch {
	case !f.Present:
		return Applied
	case f.Version == expect:
		return Pending
	}
	for _, r := range f.History.Replaced {
		if r.Version == expect {
			return Refused
		}
	}
	if f.History.Complete {
		return Applied
	}
	return Undetermined
}

// covers reports whether the history contains every write since version expect.
func (h History) covers(expect uint64) bool {
	if expect == 0 {
		return h.Complete
	}
	for _, r := range h.Replaced {
		if r.Version == expect {
			return true
		}
	}
	return false
}
