// Package clock is a hybrid logical clock: its stamps stay close to physical time
// and grow along every chain of messages, also between skewed instances.
//
// A Clock reads no time of its own and is not safe for concurrent use.
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

// MaxSkew is the farthest that a stamp of a peer may be ahead of physical time.
const MaxSkew = time.Minute

// Stamp is a point in the order of events.
type Stamp struct {
	// Wall is the time in nanoseconds since the Unix epoch.
	Wall int64
	// Count orders stamps with the same wall time.
	Count uint32
}

// ParseError is a stamp that cannot be read.
type ParseError struct {
	Text string
}

// Error names the text that cannot be read.
func (e *ParseError) Error() string {
	return fmt.Sprintf("stamp %q is not of the form wall.count", e.Text)
}

// String returns the form of the stamp that travels in a message.
func (s Stamp) String() string {
	return strconv.FormatInt(s.Wall, 10) + "." + strconv.FormatUint(uint64(s.Count), 10)
}

// Compare returns a negative number if s is before o, zero if they are equal and
// a positive number if s is after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Count, o.Count))
}

// Time returns the wall time of the stamp.
func (s Stamp) Time() time.Time {
	return time.Unix(0, s.Wall)
}

// Parse reads a stamp that String made. It fails with a *ParseError.
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

// Clock gives out stamps that strictly grow.
type Clock struct {
	last    Stamp
	skewed  uint64
	started bool
}

// New returns a clock that has given out no stamp.
func New() *Clock {
	return &Clock{}
}

// Now returns a stamp after all stamps that the clock gave out or merged.
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

// Merge returns a stamp after the seen one and after all earlier ones. A seen
// stamp more than MaxSkew ahead of physical time is counted and not merged.
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

// Skewed returns the number of seen stamps that were too far ahead to merge.
func (c *Clock) Skewed() uint64 {
	return c.skewed
}
