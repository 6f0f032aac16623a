package loop

import (
	"time"

	"golang.org/x/sys/unix"
)

// sleepLeast is the least difference of two clocks that counts as a suspension. They
// are not read at the same moment.
const sleepLeast = 200 * time.Millisecond

// sleepClock notices that the machine was suspended: the clock of the runtime stands
// still meanwhile, and the time since the boot goes on.
type sleepClock struct {
	at   time.Time
	boot time.Duration
}

// since returns the time for which the machine was suspended since the last call.
func (s *sleepClock) since(now time.Time) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without the clock a suspension shows as nothing at all.
		return 0
	}
	boot := time.Duration(t.Nano())
	slept := boot - s.boot - now.Sub(s.at)
	first := s.at.IsZero()
	s.at, s.boot = now, boot
	if first || slept < sleepLeast {
		return 0
	}
	return slept
}
