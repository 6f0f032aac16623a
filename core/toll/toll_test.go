package toll

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Classes of requests of the tests.
const (
	lookup = 1
	export = 2
)

// newMeasured returns a Toll at a second per megabyte for data centres that are 9 ms apart.
func newMeasured() *Toll {
	t := New(time.Second)
	t.ObserveRoundTrip("north", time.Millisecond)
	t.ObserveRoundTrip("south", 10*time.Millisecond)
	return t
}

func TestCostIsLinkTimeAndPriceOfBytes(t *testing.T) {
	c := qt.New(t)
	m := newMeasured()
	m.ObserveResponse(export, 1e6)
	heads := headBytes * time.Microsecond
	c.Check(m.Cost(lookup, 0, "north", "south"), qt.Equals, 9*time.Millisecond+heads)
	c.Check(m.Cost(lookup, 500, "north", "south"), qt.Equals, 9*time.Millisecond+heads+500*time.Microsecond)
	c.Check(m.Cost(export, -1, "north", "south"), qt.Equals, time.Second+9*time.Millisecond+heads)
}

func TestUnmeasuredLinkCostsTheDefault(t *testing.T) {
	c := qt.New(t)
	c.Check(New(0).Cost(lookup, 1e9, "north", "south"), qt.Equals, unknownTime)
	m := newMeasured()
	m.Retain(func(centre string) bool { return centre == "north" })
	c.Check(m.Time("north", "south"), qt.Equals, unknownTime)
}

func TestLinkTimeIsNeverNegative(t *testing.T) {
	m := New(0)
	m.ObserveRoundTrip("north", 10*time.Millisecond)
	m.ObserveRoundTrip("south", time.Millisecond)
	qt.Check(t, m.Cost(lookup, 0, "north", "south"), qt.Equals, time.Duration(0))
}

func TestLinkTimeFollowsASlowerLink(t *testing.T) {
	m := newMeasured()
	for range 60 {
		m.ObserveRoundTrip("south", 31*time.Millisecond)
	}
	got := m.Time("north", "south")
	qt.Check(t, got > 29*time.Millisecond && got < 31*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
}

func TestMemoryIsBounded(t *testing.T) {
	m := New(time.Second)
	for class := range 3 * maxClasses {
		m.ObserveResponse(class, 1)
	}
	qt.Check(t, len(m.responses) <= maxClasses, qt.IsTrue)
}

func TestCostGrowsWithBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.Int64Range(0, 1<<30)
		small, more := sizes.Draw(t, "size"), sizes.Draw(t, "more")
		m := newMeasured()
		if m.Cost(lookup, small, "north", "south") > m.Cost(lookup, small+more, "north", "south") {
			t.Fatalf("a body of %d bytes costs more than one of %d", small, small+more)
		}
	})
}
