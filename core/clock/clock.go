// Package clock implements a hybrid logical clock. Its stamps stay close to physical time and
// increase from each message to every message that it causes, even between instances with clock
// skew.
//
// A Clock takes the physical time as an argument and is not safe for concurrent use.
//
// # Usage
//
//	c := clock.New()
//	message.Stamp = c.Now(time.Now())
//	// at the receiver
//	stamp := c.Merge(time.Now(), message.Stamp)
package clock

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxSkew is the largest lead over physical time that is accepted in a stamp from a peer.
const MaxSkew = time.Minute

// Stamp is a timestamp of the clock. Stamps are totally ordered by Compare.
type Stamp struct {
	// Wall is the time in nanoseconds since the Unix epoch.
	Wall int64
	// Count orders stamps with the same wall time.
	Count uint32
}

// ParseError reports a malformed stamp.
type ParseError struct {
	Text string
}

// Error returns a message that quotes the malformed text.
func (e *ParseError) Error() string {
	return fmt.Sprintf("stamp %q is not of the form wall.count", e.Text)
}

// String returns the stamp in the form wall.count, which is sent in messages.
func (s Stamp) String() string {
	return strconv.FormatInt(s.Wall, 10) + "." + strconv.FormatUint(uint64(s.Count), 10)
}

// Compare returns a negative number if s is before o, zero if they are equal and a positive
// number if s is after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Count, o.Count))
}

// Time returns the wall time of the stamp.
func (s Stamp) Time() time.Time {
	return time.Unix(0, s.Wall)
}

// Parse parses a stamp in the form that String returns. The error wraps a *ParseError.
func Parse(text string) (Stamp, error) {
	wall, count, _ := strings.Cut(text, ".")
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return Stamp{}, fmt.Errorf("wall time: %w", &ParseError{Text: text})
	}
	n, err := strconv.ParseUint(count, 10, 32)
	if err != nil {
		return Stamp{}, fmt.Errorf("count: %w", &ParseError{Text: text})
	}
	return Stamp{Wall: w, Count: uint32(n)}, nil
}

// Clock issues strictly increasing stamps.
type Clock struct {
	last    Stamp
	skewed  uint64
	started bool
}

// New returns a clock that has issued no stamp.
func New() *Clock {
	return &Clock{}
}

// Now returns a stamp after all stamps that the clock has issued or merged. The argument is
// the current physical time.
func (c *Clock) Now(physical time.Time) Stamp {
	wall := physical.UnixNano()
	if !c.started || wall > c.last.Wall {
		c.started = true
		c.last = Stamp{Wall: wall}
		return c.last
	}
	if c.last.Count == math.MaxUint32 {
		c.last = Stamp{Wall: c.last.Wall + 1}
		return c.last
	}
	c.last.Count++
	return c.last
}

// Merge returns a stamp after the received stamp and all earlier ones. A received stamp more
// than MaxSkew ahead of physical time is counted and not merged.
func (c *Clock) Merge(physical time.Time, seen Stamp) Stamp {
	if c.started && seen.Compare(c.last) <= 0 {
		return c.Now(physical)
	}
	if seen.Wall > physical.Add(MaxSkew).UnixNano() {
		c.skewed++
		return c.Now(physical)
	}
	c.started = true
	c.last = seen
	return c.Now(physical)
}

// Skewed returns the number of received stamps that were too far ahead to be merged.
func (c *Clock) Skewed() uint64 {
	return c.skewed
}
