package origins

import "time"

// maxListAge is the age of a list of endpoints that is current while nothing is wrong: the store is read
// twice a second, by another host after a second if the first one does not.
const maxListAge = 2 * time.Second

// View is what a host knows of the age of its list of endpoints.
type View struct {
	// ListAge is the time since the list was read from the store.
	ListAge time.Duration
	// NewerKnown is set if another host has reported a newer list.
	NewerKnown bool
	// KnownHosts is the number of hosts that may be running, AliveHosts that of those which this host
	// hears from. Both include this host.
	KnownHosts, AliveHosts int
}

// OutOfStep reports whether other hosts may know a newer list than this one, which was cut off or stood still.
// An endpoint may then have left, and another software version may run under its ID. If nobody can read the store,
// the list is the newest that there is.
func (v View) OutOfStep() bool {
	return v.ListAge > maxListAge && (v.NewerKnown || v.KnownHosts > 1 && v.AliveHosts <= 1)
}
