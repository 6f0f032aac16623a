// Package noisy decides whether work should wait for the end of a slow period of its
// instance.
//
// Other workloads on the same host (noisy neighbours) can repeatedly make an instance
// several times slower for a few hundred milliseconds. Work that begins in such a slow
// period stays slow to its end and holds its slot all that time. Work that waits for the
// end of the period often ends sooner and leaves the slot to others. If an instance
// stays slow, work does not wait: the longer a slow period has lasted, the longer it is
// expected to last.
//
// # Usage
//
//	d := noisy.New()
//	d.Observe(now, 400) // service times are at 400 % of the typical ones
//	if d.ShouldWait(now, typical) {
//		wait(d.Remaining(now))
//	}
package noisy

import "time"

const (
	// normalSlowness is the slowness outside of slow periods, in percent, that is
	// assumed until one observation period has ended.
	normalSlowness = 100
	// slowFactor is the factor on the service time from which an instance is in a slow
	// period. Below it a wait gains little. It also keeps a cold start, which lasts
	// longer than slow periods, from counting as one.
	slowFactor = 2.5
	// initialLength is the expected length of a slow period before one was observed.
	// The speed of instances on a shared host changes several times a second.
	initialLength = 250 * time.Millisecond
	// lengthWeight is the weight of the last slow period in the mean length.
	lengthWeight = 0.2
	// remainingShare is the minimum remaining length of a slow period, as a share of
	// the time that it has lasted.
	remainingShare = 0.5
	// period is the length of an observation period. The lowest slowness is remembered
	// for one to two of them, which is many times the length of a slow period.
	period = 2 * time.Second
)

// Detector tracks the slowness that a backend server reports. It is not safe for
// concurrent use.
type Detector struct {
	// slownessPercent is the current service time in percent of the typical one.
	slownessPercent int
	// lowest and lowestBefore are the lowest slowness of the current observation period
	// and the previous one.
	lowest, lowestBefore int
	periodBegan          time.Time
	// began is the time at which the current slow period was detected, or zero.
	began  time.Time
	length time.Duration
}

// New returns a Detector without observations.
func New() *Detector {
	d := &Detector{length: initialLength}
	d.Reset(time.Time{})
	return d
}

// Reset forgets the slowness outside of slow periods. It is called after a cold start,
// during which all work is slow.
func (d *Detector) Reset(now time.Time) {
	d.lowest, d.lowestBefore, d.periodBegan = normalSlowness, normalSlowness, now
}

// Observe records the slowness of the instance at now, in percent of the typical service
// time. A slowness of 0 means that none was reported.
func (d *Detector) Observe(now time.Time, slownessPercent int) {
	if slownessPercent <= 0 {
		return
	}
	if d.periodBegan.IsZero() {
		d.periodBegan = now
	}
	if now.Sub(d.periodBegan) > period {
		d.lowestBefore, d.lowest, d.periodBegan = d.lowest, slownessPercent, now
	}
	d.lowest = min(d.lowest, slownessPercent)
	d.slownessPercent = slownessPercent
	isSlow := d.relativeSlowdown() >= slowFactor
	switch {
	case isSlow && d.began.IsZero():
		d.began = now
	case !isSlow && !d.began.IsZero():
		d.length += time.Duration(lengthWeight * float64(now.Sub(d.began)-d.length))
		d.began = time.Time{}
	}
}

// BaseSlowness returns the slowness outside of slow periods, in percent.
func (d *Detector) BaseSlowness() int { return min(d.lowest, d.lowestBefore) }

// relativeSlowdown returns the current service time as a multiple of that outside of slow
// periods.
func (d *Detector) relativeSlowdown() float64 {
	return float64(d.slownessPercent) / float64(d.BaseSlowness())
}

// Remaining returns the expected remaining length of the current slow period, or 0
// outside of slow periods.
func (d *Detector) Remaining(now time.Time) time.Duration {
	if d.began.IsZero() {
		return 0
	}
	return max(d.length, time.Duration(remainingShare*float64(now.Sub(d.began))))
}

// ShouldWait reports whether work with the given service time outside of slow periods
// is expected to end sooner if it waits for the end of the current one.
func (d *Detector) ShouldWait(now time.Time, serviceTime time.Duration) bool {
	left := d.Remaining(now)
	return left > 0 && time.Duration((d.relativeSlowdown()-1)*float64(serviceTime)) > left
}
