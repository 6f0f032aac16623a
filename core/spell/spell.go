// Package spell tells whether work should wait for the end of a slow spell of its
// machine.
//
// It answers neighbours that slow a machine several times over for a few hundred
// milliseconds, again and again. Work that begins within such a spell stays slow to its
// end and holds its slot all that time, while work that waits for the end of the spell
// is often answered sooner and leaves the slot to others. A machine that stays slow is
// not waited for: the longer a spell has lasted, the longer it is expected to last.
//
// # Usage
//
//	s := spell.New()
//	s.Observe(now, 400)
//	if s.IsWorthWaiting(now, usual) {
//		wait(s.Left(now))
//	}
package spell

import "time"

const (
	// usual is the slowness outside of spells, in percent, that is assumed until a
	// period of observations is over.
	usual = 100
	// slowest is the factor on the time of work from which a machine is in a slow spell.
	// Below it a wait gains little, and a cold start, which lasts longer than spells, is
	// not taken for one.
	slowest = 2.5
	// firstLength is the length of a spell that is expected before one was seen: speeds
	// of shared machines change several times a second.
	firstLength = 250 * time.Millisecond
	// lengthWeight is the weight of the last spell in the mean length.
	lengthWeight = 0.2
	// agedShare is the share of its age that a spell is expected to go on at least.
	agedShare = 0.5
	// period is the time over which the best speed is remembered, once or twice: many
	// times the length of a spell.
	period = 2 * time.Second
)

// Spell follows the slowness that a backend server tells. It is not safe for use by
// several goroutines at once.
type Spell struct {
	slow int
	// lowest and lowestBefore are the lowest slowness of this period and the last one.
	lowest, lowestBefore int
	periodBegan          time.Time
	// began is the time at which the present spell was noticed, or zero.
	began  time.Time
	length time.Duration
}

// New returns a Spell that has observed nothing.
func New() *Spell {
	s := &Spell{length: firstLength}
	s.Reset(time.Time{})
	return s
}

// Reset forgets the slowness outside of spells, as after a cold start, which is slow
// throughout.
func (s *Spell) Reset(now time.Time) {
	s.lowest, s.lowestBefore, s.periodBegan = usual, usual, now
}

// Observe takes in the slowness of the machine at a time, in percent of its usual time
// of work. A slowness of 0 stands for one that was not told.
func (s *Spell) Observe(now time.Time, slow int) {
	if slow <= 0 {
		return
	}
	if s.periodBegan.IsZero() {
		s.periodBegan = now
	}
	if now.Sub(s.periodBegan) > period {
		s.lowestBefore, s.lowest, s.periodBegan = s.lowest, slow, now
	}
	s.lowest = min(s.lowest, slow)
	s.slow = slow
	isSlow := s.factor() >= slowest
	switch {
	case isSlow && s.began.IsZero():
		s.began = now
	case !isSlow && !s.began.IsZero():
		s.length += time.Duration(lengthWeight * float64(now.Sub(s.began)-s.length))
		s.began = time.Time{}
	}
}

// Base returns the slowness outside of spells in percent.
func (s *Spell) Base() int { return min(s.lowest, s.lowestBefore) }

// factor returns how many times as long work takes now as outside of spells.
func (s *Spell) factor() float64 { return float64(s.slow) / float64(s.Base()) }

// Left returns the time for which the present spell is expected to last, or 0 outside
// of spells.
func (s *Spell) Left(now time.Time) time.Duration {
	if s.began.IsZero() {
		return 0
	}
	return max(s.length, time.Duration(agedShare*float64(now.Sub(s.began))))
}

// IsWorthWaiting reports whether work that takes the given time outside of spells is
// expected to end sooner if it waits for the end of the present spell.
func (s *Spell) IsWorthWaiting(now time.Time, takes time.Duration) bool {
	left := s.Left(now)
	return left > 0 && time.Duration((s.factor()-1)*float64(takes)) > left
}
