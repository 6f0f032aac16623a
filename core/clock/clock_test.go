package clock_test

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushlock/core/clock"
)

func ExampleClock() {
	c := clock.New()
	fmt.Println(c.Now(time.Unix(0, 5)), c.Now(time.Unix(0, 4)))
	fmt.Println(c.Merge(time.Unix(0, 6), clock.Stamp{Wall: 9, Count: 2}))
	// Output:
	// 5.0 5.1
	// 9.3
}

// TestStampsIncrease exchanges messages between two clocks, one of them skewed, and checks
// that stamps increase.
func TestStampsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocks := []*clock.Clock{clock.New(), clock.New()}
		last := make([]clock.Stamp, 2)
		for range 50 {
			i := rapid.IntRange(0, 1).Draw(t, "clock")
			now := time.Unix(1000, rapid.Int64Range(0, 20).Draw(t, "now")).Add(time.Duration(i) * clock.MaxSkew / 2)
			seen := last[1-i]
			far := rapid.Bool().Draw(t, "far")
			if far {
				seen.Wall = now.Add(2 * clock.MaxSkew).UnixNano()
			}
			if rapid.Bool().Draw(t, "full") {
				seen.Count = math.MaxUint32
			}
			before := clocks[i].Skewed()
			s := clocks[i].Merge(now, seen)
			if far != (clocks[i].Skewed() > before) || s.Compare(last[i]) <= 0 || far == (s.Compare(seen) > 0) {
				t.Fatalf("Merge returned %v after own stamp %v and received stamp %v", s, last[i], seen)
			}
			last[i] = s
			if p, err := clock.Parse(s.String()); err != nil || p != s {
				t.Fatalf("%v: %v", p, err)
			}
		}
	})
}

func TestParseFails(t *testing.T) {
	for _, text := range []string{"", "1", "x.1", "1.x", "1.4294967296"} {
		_, err := clock.Parse(text)
		if fault := new(clock.ParseError); !errors.As(err, &fault) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
