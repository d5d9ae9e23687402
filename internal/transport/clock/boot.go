package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since boot. It includes the time for which the machine was suspended,
// which time.Since leaves out, and does not step with the wall clock.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}
