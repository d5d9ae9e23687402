package scaling

import (
	"math"
	"time"
)

const (
	// plannedShare is the share of the remaining time in which samples are planned to end. The
	// callers' estimates of their lengths are inaccurate, and engines that load weights start none.
	plannedShare = 0.4
	// minPlannedTime is the time in which samples that are late are planned to end.
	minPlannedTime = time.Second
)

// SlotsInTime returns the number of slots with which samples of the given remaining lengths end
// within the remaining time. Lengths that are not positive are unknown.
func SlotsInTime(lengths []time.Duration, remaining time.Duration) int {
	planned := max(time.Duration(plannedShare*float64(remaining)), minPlannedTime)
	long, short := 0, time.Duration(0)
	for _, l := range lengths {
		if l <= 0 || l > planned/2 {
			long++ // no two of these fit into the planned time of a slot
		} else {
			short += l
		}
	}
	return min(long+int(math.Ceil(short.Seconds()/planned.Seconds())), len(lengths))
}
