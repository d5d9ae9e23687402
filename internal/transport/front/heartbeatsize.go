package front

import (
	"cmp"
	"fmt"
	"maps"
	"math/bits"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
)

// A heartbeat is one datagram, and a host counts as alive by it, so its size must not grow with what its
// sender knows. The record of the sender and the hosts that it relays, which are bounded, are always sent.
// The rest gives way by these rules:
//
//   - Tables that the receiver replaces as a whole are sent whole or not at all. Those that do not fit
//     beside a minimum of each list are left out, the least useful first.
//   - Lists, whose entries the receiver adds to what it knows, are cut, always the longest one. Half of what
//     is left of a list are its first entries, the most useful ones where the order says so, and half are
//     others in turn, so that all arrive with later heartbeats.

const (
	// maxHeartbeatBytes bounds a datagram. Larger ones would be fragmented.
	maxHeartbeatBytes = 1400
	// maxListEntries exceeds the number of entries of any list that fit: the shortest ones are keys of
	// four bytes.
	maxListEntries = maxHeartbeatBytes / 4
	// minListBytes is the part of a list that fits before a table does.
	minListBytes = 48
)

// heartbeatList is a list in a heartbeat.
type heartbeatList struct {
	name string
	// value is a pointer to the list, entries is its length, and bytes its encoded length.
	value          any
	entries, bytes int
	// shorten keeps the first n entries in the order of selection, which starts with the first call.
	shorten func(n int)
}

// newSliceList returns the list in a field of the heartbeat with a sequence number.
func newSliceList[T any](name string, field *[]T, sequence uint64) *heartbeatList {
	l := &heartbeatList{name: name, value: field, entries: len(*field)}
	var selected []T
	l.shorten = func(n int) {
		if selected == nil {
			selected = selection(*field, sequence)
		}
		*field, l.entries = selected[:n:n], n
	}
	return l
}

// newMapList is newSliceList for a list with keys, which has no most useful entries.
func newMapList[V any](name string, field *map[uint32]V, sequence uint64) *heartbeatList {
	l := &heartbeatList{name: name, value: field, entries: len(*field)}
	all := *field
	var selected []uint32
	l.shorten = func(n int) {
		if selected == nil {
			selected = selection(slices.Sorted(maps.Keys(all)), sequence)
		}
		*field, l.entries = make(map[uint32]V, n), n
		for _, key := range selected[:n] {
			(*field)[key] = all[key]
		}
	}
	return l
}

// selection returns up to maxListEntries entries of a list: alternately the first one that is left, and the next
// one that is left from a place on that depends on the sequence number of the heartbeat.
func selection[T any](list []T, sequence uint64) []T {
	taken := make([]bool, len(list))
	out := make([]T, 0, min(len(list), maxListEntries))
	first, next := 0, turn(sequence, len(list))
	for len(out) < cap(out) {
		at := &first
		if len(out)%2 == 1 {
			at = &next
		}
		for taken[*at] {
			*at = (*at + 1) % len(list)
		}
		taken[*at] = true
		out = append(out, list[*at])
	}
	return out
}

// turn returns the index in a list of n entries at which the heartbeat with a sequence number continues. The
// multiples of the golden ratio spread evenly, also for a receiver of each second or third heartbeat.
func turn(sequence uint64, n int) int {
	const goldenRatio64 = 0x9e3779b97f4a7c15 // its fraction, times 1<<64
	place, _ := bits.Mul64(sequence*goldenRatio64, uint64(n))
	return int(place)
}

// encodeHeartbeat returns the encoded form of a heartbeat, which has at most maxHeartbeatBytes, and the
// number of entries that were left out by the name of their list or table.
func encodeHeartbeat(h presence.Heartbeat) (b []byte, cut map[string]int, err error) {
	lists := []*heartbeatList{
		newSliceList("quarantine", &h.Quarantine, h.Sequence), newSliceList("batches", &h.Batches, h.Sequence),
		newSliceList("limits", &h.Limits, h.Sequence), newSliceList("leaving", &h.Leaving, h.Sequence),
		newSliceList("unreachable", &h.Unreachable, h.Sequence), newSliceList("slow", &h.Slow, h.Sequence),
		newMapList("loading", &h.LoadingMs, h.Sequence), newSliceList("changed", &h.Changed, h.Sequence),
		newSliceList("left", &h.Left, h.Sequence), newSliceList("peers", &h.Peers, h.Sequence),
	}
	cut = map[string]int{}
	for _, l := range lists {
		if n := l.entries; n > maxListEntries {
			l.shorten(maxListEntries)
			cut[l.name] = n - maxListEntries
		}
	}
	if b, err = cbor.Marshal(h); err != nil || len(b) <= maxHeartbeatBytes {
		return b, cut, err
	}
	for _, l := range lists {
		if l.bytes, err = encodedBytes(l.value); err != nil {
			return nil, nil, err
		}
	}
	total, err := dropTables(&h, len(b), lists, cut)
	if err != nil {
		return nil, nil, err
	}
	if err := shortenLists(total, lists, cut); err != nil {
		return nil, nil, err
	}
	b, err = cbor.Marshal(h)
	return b, cut, err
}

// dropTables leaves tables out of a heartbeat of total bytes, the least useful first, until the others fit beside a
// minimum of each list. It returns the bytes that are left.
func dropTables(h *presence.Heartbeat, total int, lists []*heartbeatList, cut map[string]int) (int, error) {
	excess := 0 // the bytes of the lists above their minimums
	for _, l := range lists {
		excess += max(0, l.bytes-minListBytes)
	}
	for _, table := range []struct {
		name    string
		entries int
		value   any
		drop    func()
	}{
		{"unread", len(h.Unread), h.Unread, func() { h.Unread = nil }},
		{"work", len(h.Work), h.Work, func() { h.Work = nil }},
		{"loads", len(h.Loads), h.Loads, func() { h.Loads = nil }},
	} {
		if total-excess <= maxHeartbeatBytes {
			break
		}
		bytes, err := encodedBytes(table.value)
		if err != nil {
			return 0, err
		}
		if table.entries > 0 {
			table.drop()
			total -= bytes
			cut[table.name] = table.entries
		}
	}
	return total, nil
}

// shortenLists cuts the longest list of a heartbeat of total bytes until all fit.
func shortenLists(total int, lists []*heartbeatList, cut map[string]int) error {
	for total > maxHeartbeatBytes {
		longest := slices.MaxFunc(lists, func(a, b *heartbeatList) int { return cmp.Compare(a.bytes, b.bytes) })
		if longest.entries == 0 {
			return fmt.Errorf("heartbeat of %d bytes without its lists, at most %d fit", total, maxHeartbeatBytes)
		}
		entries, bytes := longest.entries, longest.bytes
		longest.shorten(entries * 3 / 4)
		cut[longest.name] += entries - longest.entries
		var err error
		if longest.bytes, err = encodedBytes(longest.value); err != nil {
			return err
		}
		total -= bytes - longest.bytes
	}
	return nil
}

func encodedBytes(v any) (int, error) {
	b, err := cbor.Marshal(v)
	return len(b), err
}
