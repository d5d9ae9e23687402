package members

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Buckets is the number of buckets in a table's digest.
const Buckets = 64

// Digest summarises the records of hosts that are not dead. If two digests differ in a
// bucket, the tables' live records in that bucket differ.
type Digest [Buckets]uint64

// Table contains one record per host. It is not safe for concurrent use.
type Table struct {
	records map[model.HostID]Record
	digest  Digest
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[model.HostID]Record{}} }

// BucketOf returns the digest bucket of a host.
func BucketOf(host model.HostID) int { return int(xxhash.Sum64String(string(host)) % Buckets) }

// Merge adds a record and reports whether the table changed. A record that does not supersede
// the stored one is ignored.
func (t *Table) Merge(r Record) bool {
	old, known := t.records[r.Host]
	if known && !r.Supersedes(old) {
		return false
	}
	t.toggleDigest(old, known)
	t.records[r.Host] = r
	t.toggleDigest(r, true)
	t.version++
	return true
}

// Remove removes a host's record.
func (t *Table) Remove(host model.HostID) {
	old, known := t.records[host]
	if !known {
		return
	}
	t.toggleDigest(old, true)
	delete(t.records, host)
	t.version++
}

// toggleDigest adds a record to the digest, or removes one that it contains. It does nothing
// if known is false or the record is that of a dead host.
func (t *Table) toggleDigest(r Record, known bool) {
	if known && r.State != Dead {
		t.digest[BucketOf(r.Host)] ^= r.Hash()
	}
}

// Get returns a host's record.
func (t *Table) Get(host model.HostID) (Record, bool) {
	r, ok := t.records[host]
	return r, ok
}

// Len returns the number of records, dead hosts included.
func (t *Table) Len() int { return len(t.records) }

// Version returns a number that increases with every change of the table.
func (t *Table) Version() uint64 { return t.version }

// Digest returns the table's digest.
func (t *Table) Digest() Digest { return t.digest }

// All returns all records, ordered by host.
func (t *Table) All() []Record { return t.filter(func(Record) bool { return true }) }

// Live returns the records of hosts that are not dead, ordered by host.
func (t *Table) Live() []Record {
	return t.filter(func(r Record) bool { return r.State != Dead })
}

// InBuckets returns the records in the marked digest buckets, dead hosts included, ordered by
// host.
func (t *Table) InBuckets(marked func(bucket int) bool) []Record {
	return t.filter(func(r Record) bool { return marked(BucketOf(r.Host)) })
}

func (t *Table) filter(keep func(Record) bool) []Record {
	out := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		if keep(r) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}
