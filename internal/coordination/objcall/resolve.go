package objcall

// Stamp identifies one write among all writes of all processes.
type Stamp struct {
	Writer   uint64
	Sequence uint64
}

// Replaced is a version that a later write replaced.
type Replaced struct {
	Version uint64
	Stamp   Stamp
}

// MaxReplaced is the number of replaced versions that an object remembers.
const MaxReplaced = 8

// History is what an object carries about the writes of its key.
type History struct {
	// Stamp is that of the present version.
	Stamp Stamp
	// Replaced lists the versions before it, the newest first.
	Replaced []Replaced
	// Whole says that Replaced reaches back to the key's creation.
	Whole bool
}

// Next returns the history of a version that replaces this one, which has the
// given version. A creation starts from nothing: use Created.
func (h History) Next(version uint64, mine Stamp) History {
	replaced := make([]Replaced, 0, MaxReplaced)
	replaced = append(replaced, Replaced{Version: version, Stamp: h.Stamp})
	keep := min(len(h.Replaced), MaxReplaced-1)
	replaced = append(replaced, h.Replaced[:keep]...)
	return History{Stamp: mine, Replaced: replaced, Whole: h.Whole && keep == len(h.Replaced)}
}

// Created returns the history of a key's first version.
func Created(mine Stamp) History { return History{Stamp: mine, Whole: true} }

// Found is what the read after a lost answer showed.
type Found struct {
	Present bool
	Version uint64
	History History
}

// Verdict says what became of a write whose answer was lost.
type Verdict int

// The verdicts.
const (
	// Open: the object does not tell.
	Open Verdict = iota
	// Taken: the write took effect.
	Taken
	// Pending: it has not taken effect so far; sending it again is safe, since both
	// sendings are conditional on the same version.
	Pending
	// Refused: another write came first and this one can no longer take effect.
	Refused
)

// String names the verdict.
func (v Verdict) String() string {
	return [...]string{"open", "taken", "pending", "refused"}[v]
}

// ResolvePut judges a write stamped mine that expected the version expect, 0 for a
// creation. With Taken it returns the version that the write made.
func ResolvePut(mine Stamp, expect uint64, f Found) (Verdict, uint64) {
	switch {
	case !f.Present && expect == 0:
		return Pending, 0
	case !f.Present:
		return Open, 0
	case f.History.Stamp == mine:
		return Taken, f.Version
	case f.Version == expect:
		return Pending, 0
	}
	for _, r := range f.History.Replaced {
		if r.Stamp == mine {
			return Taken, r.Version
		}
	}
	if f.History.reaches(expect) {
		return Refused, 0
	}
	return Open, 0
}

// ResolveDelete judges a removal that expected the version expect. Taken says that
// this version is gone.
func ResolveDelete(expect uint64, f Found) Verdict {
	switch {
	case !f.Present:
		return Taken
	case f.Version == expect:
		return Pending
	}
	for _, r := range f.History.Replaced {
		if r.Version == expect {
			return Refused
		}
	}
	if f.History.Whole {
		return Taken
	}
	return Open
}

// reaches reports whether the history shows every write since version expect.
func (h History) reaches(expect uint64) bool {
	if expect == 0 {
		return h.Whole
	}
	for _, r := range h.Replaced {
		if r.Version == expect {
			return true
		}
	}
	return false
}
