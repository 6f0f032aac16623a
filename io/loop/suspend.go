package loop

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the smallest difference between the two clocks that counts as a
// suspension. The clocks are not read at the same moment.
const minSuspension = 200 * time.Millisecond

// suspendDetector detects that the machine was suspended: the runtime's monotonic clock
// stops during a suspension, while CLOCK_BOOTTIME continues.
type suspendDetector struct {
	lastTick time.Time
	lastBoot time.Duration
}

// suspended returns the time for which the machine was suspended since the last call.
func (s *suspendDetector) suspended(now time.Time) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without the clock no suspension can be detected.
		return 0
	}
	boot := time.Duration(t.Nano())
	suspended := boot - s.lastBoot - now.Sub(s.lastTick)
	first := s.lastTick.IsZero()
	s.lastTick, s.lastBoot = now, boot
	if first || suspended < minSuspension {
		return 0
	}
	return suspended
}
