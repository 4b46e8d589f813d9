package clock

import "golang.org/x/sys/unix"

// boot reads CLOCK_BOOTTIME. The call cannot fail on a supported kernel; if it
// did, every lease would be in doubt, so it panics.
func boot() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: boot clock cannot be read: " + err.Error())
	}
	return Millis(t.Nano() / 1e6)
}
