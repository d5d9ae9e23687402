package storereads

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// maxRecent bounds the reads that a host remembers. A report of a read that it has forgotten comes seconds late.
const maxRecent = 16

// ReadID names a read of the store. Zero stands for reads of older builds, which name none.
type ReadID uint16

// NewReadID returns a name that hardly any other recent read has.
func NewReadID() ReadID { return ReadID(1 + rand.N(1<<16-1)) }

// Read is a read of the store by any host.
type Read struct {
	ID ReadID
	// At is the boot time at which it was sent, as far as this host knows.
	At time.Duration
}

// Reads is what a host knows of the recent reads of one kind. The zero value knows none. It is not safe for concurrent
// use.
//
// A report says how long ago a read was sent. What delays the report makes the read look later than it was, and hosts
// that report what others reported would add their delays up. So the earliest report of each read counts.
type Reads struct {
	// recent has the reads, the latest first.
	recent []knownRead
}

// knownRead is a read, and whether the host's state includes its result or a newer one.
type knownRead struct {
	Read
	included bool
}

// Report records a read that a host has reported, and whether this host's state includes it. Reads at zero are ignored.
func (r *Reads) Report(read Read, included bool) {
	if read.ID == 0 && !included {
		return
	}
	r.record(read, included, func(known time.Duration) time.Duration { return min(known, read.At) })
}

// Include records a read by this host, or the one of a state that it has fetched. The time of a fetched one counts only
// if no report has named it, since an answer that serves many hosts may overstate it.
func (r *Reads) Include(read Read) {
	r.record(read, true, func(known time.Duration) time.Duration { return known })
}

// record adds a read, or merges it with what is known of it.
func (r *Reads) record(read Read, included bool, merge func(known time.Duration) time.Duration) {
	if read.At <= 0 {
		return
	}
	i := slices.IndexFunc(r.recent, func(k knownRead) bool { return k.ID == read.ID })
	switch {
	case i < 0:
		r.recent = append(r.recent, knownRead{read, included})
	case read.ID == 0: // these are different reads
		r.recent[i].At = max(r.recent[i].At, read.At)
	default:
		r.recent[i].At, r.recent[i].included = merge(r.recent[i].At), r.recent[i].included || included
	}
	slices.SortStableFunc(r.recent, func(a, b knownRead) int { return cmp.Compare(b.At, a.At) })
	r.recent = r.recent[:min(len(r.recent), maxRecent)]
}

// Time returns the earliest time that a report has named for a read, or the one given if there is no report.
func (r *Reads) Time(read Read) time.Duration {
	i := slices.IndexFunc(r.recent, func(k knownRead) bool { return read.ID != 0 && k.ID == read.ID })
	if i < 0 {
		return read.At
	}
	return r.recent[i].At
}

// Latest returns the latest read that the host's state includes, a zero one if there is none.
func (r *Reads) Latest() Read {
	i := slices.IndexFunc(r.recent, func(k knownRead) bool { return k.included })
	if i < 0 {
		return Read{}
	}
	return r.recent[i].Read
}
