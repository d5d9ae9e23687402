// Package origins remembers which software version of which service began each stream of a caller,
// so that the stream is continued there and nowhere else when the caller takes it up again at any
// host.
//
// Invariant: at most maxRecords streams are remembered, each for Retention after its last use; when
// there are more, the one that was used first is forgotten. A stream that is not remembered has no
// known origin, and no host guesses one.
package origins

import (
	"container/list"
	"time"
)

const (
	// Retention is how long a stream is remembered after it began or was taken up, which is
	// longer than callers wait for an answer.
	Retention = 2 * time.Minute
	// maxRecords bounds the streams that a host remembers, to a few megabytes.
	maxRecords = 20_000
	// MaxIDBytes bounds the id of a stream that is remembered.
	MaxIDBytes = 128
)

// Origin is what a stream is bound to.
type Origin struct {
	Service string `cbor:"1,keyasint"`
	// Software is the version of the software of the endpoint that sent the first event.
	Software string `cbor:"2,keyasint"`
}

// Record is the origin of the stream whose first event answered the request ID.
type Record struct {
	ID     string `cbor:"1,keyasint"`
	Origin Origin `cbor:"2,keyasint"`
}

type entry struct {
	Record
	usedAt time.Time
}

// Table holds the origins that a host knows. It is not safe for concurrent use.
type Table struct {
	byID map[string]*list.Element
	// byUse holds the entries in the order of their last use, the oldest first.
	byUse *list.List
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{byID: map[string]*list.Element{}, byUse: list.New()} }

// Add remembers the origin of a stream. The first origin of an id stays.
func (t *Table) Add(now time.Time, r Record) {
	if r.ID == "" || len(r.ID) > MaxIDBytes {
		return
	}
	if e, ok := t.byID[r.ID]; ok {
		t.touch(now, e)
		return
	}
	t.byID[r.ID] = t.byUse.PushBack(&entry{Record: r, usedAt: now})
	for oldest := t.byUse.Front(); oldest != nil; oldest = t.byUse.Front() {
		e := oldest.Value.(*entry)
		if t.byUse.Len() <= maxRecords && now.Sub(e.usedAt) <= Retention {
			break
		}
		t.byUse.Remove(oldest)
		delete(t.byID, e.ID)
	}
}

// Get returns the origin of a stream; ok is false if it is not remembered.
func (t *Table) Get(now time.Time, id string) (o Origin, ok bool) {
	e, ok := t.byID[id]
	if !ok || now.Sub(e.Value.(*entry).usedAt) > Retention {
		return Origin{}, false
	}
	t.touch(now, e)
	return e.Value.(*entry).Origin, true
}

func (t *Table) touch(now time.Time, e *list.Element) {
	e.Value.(*entry).usedAt = now
	t.byUse.MoveToBack(e)
}
