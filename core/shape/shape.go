// Package shape spaces out the parts of long answers, so that a slow link stays free
// for short ones.
//
// It answers large exports behind links of a few megabits: a few of them at once fill
// the queue of the link for hundreds of milliseconds, and every short answer, question
// and request of the instance waits behind them. Long answers take no longer when they
// are spaced out, as the link is what they wait for in any case.
//
// # Usage
//
//	s := shape.New(10e6)
//	for part := range parts(s.Part()) {
//		time.Sleep(s.Take(time.Now(), len(part)))
//		send(part)
//	}
package shape

import "time"

const (
	// share is the share of the link that long answers use at most. The rest is for
	// short ones and for what the network adds to each part.
	share = 0.85
	// partTime is the time that the link needs for one part, which is how long a short
	// answer waits behind it.
	partTime = 6 * time.Millisecond
	// leastPart and mostPart bound the size of a part in bytes: smaller ones cost more
	// processor time than they save, larger ones more memory.
	leastPart = 4 << 10
	mostPart  = 32 << 10
	// bitsPerByte is the number of bits that the link carries for a byte.
	bitsPerByte = 8
)

// Shape tells when parts may be sent. It is not safe for use by several goroutines at
// once.
type Shape struct {
	// rate is the number of bytes a second of long answers, or 0 for no bound.
	rate float64
	part int
	// free is the time at which the parts so far will have been sent.
	free time.Time
}

// New returns the Shape of a link of the given number of bits a second. At 0 the link
// is not known, and no part has to wait.
func New(bits float64) *Shape {
	s := &Shape{rate: share * max(bits, 0) / bitsPerByte, part: mostPart}
	if s.rate > 0 {
		s.part = min(max(int(s.rate*partTime.Seconds()), leastPart), mostPart)
	}
	return s
}

// Part returns the largest number of bytes to send at once.
func (s *Shape) Part() int { return s.part }

// Take takes the turn of a part of the given number of bytes and returns the time after
// which it may be sent.
func (s *Shape) Take(now time.Time, bytes int) time.Duration {
	if s.rate <= 0 {
		return 0
	}
	if s.free.Before(now) {
		s.free = now
	}
	wait := s.free.Sub(now)
	s.free = s.free.Add(time.Duration(float64(bytes) / s.rate * float64(time.Second)))
	return wait
}
