package ring_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bulrushlock/core/ring"
)

func ExampleRing() {
	r := ring.New[string](2)
	for _, e := range []string{"start", "cold", "warm"} {
		r.Add(e)
	}
	fmt.Println(r.Since(0, 10))
	// Output: [cold warm] 3 1
}

// TestReaderMissesOnlyDropped interleaves reads and additions: every event is either
// read or counted as dropped.
func TestReaderMissesOnlyDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		r := ring.New[uint64](capacity)
		var added, cursor uint64
		for range 40 {
			if rapid.Bool().Draw(t, "add") {
				if got := r.Add(added); got != added {
					t.Fatalf("sequence %d, want %d", got, added)
				}
				added++
				continue
			}
			events, next, dropped := r.Since(cursor, rapid.IntRange(0, 6).Draw(t, "limit"))
			first := max(cursor, added-min(added, uint64(capacity)))
			if dropped != first-cursor || next != first+uint64(len(events)) {
				t.Fatalf("from %d: %v, next %d, dropped %d", cursor, events, next, dropped)
			}
			for i, e := range events {
				if e != first+uint64(i) {
					t.Fatalf("from %d: %v", first, events)
				}
			}
			cursor = next
		}
	})
}
