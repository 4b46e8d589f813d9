package clock

import "golang.org/x/sys/unix"

// readBootClock reads CLOCK_BOOTTIME. The call cannot fail on a supported kernel. If it did,
// no lease could be trusted, so readBootClock panics then.
func readBootClock() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return Millis(t.Nano() / 1e6)
}
