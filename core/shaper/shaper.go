// Package shaper paces the parts of long responses, so that a slow link stays free for
// short ones.
//
// A few large exports at once fill the queue of a link of a few megabits for hundreds of
// milliseconds, and every short response, RPC and request of the instance waits behind
// them. Pacing does not make long responses slower, as the link limits them anyway.
//
// # Usage
//
//	s := shaper.New(10e6)
//	for part := range parts(s.PartSize()) {
//		time.Sleep(s.Reserve(time.Now(), len(part)))
//		send(part)
//	}
package shaper

import "time"

const (
	// linkShare is the maximum share of the link for long responses. The rest is for
	// short ones and for the network overhead of each part.
	linkShare = 0.85
	// partTime is the time that the link needs for one part, which is how long a short
	// response waits behind it.
	partTime = 6 * time.Millisecond
	// minPart and maxPart bound the size of a part in bytes. Smaller parts cost more
	// processor time than they save, and larger ones more memory.
	minPart = 4 << 10
	maxPart = 32 << 10
	// bitsPerByte is the number of bits that the link carries for a byte.
	bitsPerByte = 8
)

// Shaper computes when parts may be sent. It is not safe for concurrent use.
type Shaper struct {
	// rate is the rate of long responses in bytes per second, or 0 for no limit.
	rate     float64
	partSize int
	// freeAt is the time at which all parts with reserved time will have been sent.
	freeAt time.Time
}

// New returns a Shaper for a link with the given rate in bits per second. A rate of 0
// means that the link is unknown, and no part has to wait.
func New(bits float64) *Shaper {
	s := &Shaper{rate: linkShare * max(bits, 0) / bitsPerByte, partSize: maxPart}
	if s.rate > 0 {
		s.partSize = min(max(int(s.rate*partTime.Seconds()), minPart), maxPart)
	}
	return s
}

// PartSize returns the maximum number of bytes to send at once.
func (s *Shaper) PartSize() int { return s.partSize }

// Reserve reserves link time for a part of the given number of bytes and returns the
// delay before it may be sent.
func (s *Shaper) Reserve(now time.Time, bytes int) time.Duration {
	if s.rate <= 0 {
		return 0
	}
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	wait := s.freeAt.Sub(now)
	s.freeAt = s.freeAt.Add(time.Duration(float64(bytes) / s.rate * float64(time.Second)))
	return wait
}
