package split_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/split"
)

// In any run of requests, the number of requests of each service must differ from the
// number that its weight sets by at most the number of services.
func TestSharesHoldInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 5).Draw(t, "weights")
		total := 0
		for _, w := range weights {
			total += w
		}
		if total == 0 {
			weights[0], total = 1, 1
		}
		s := split.New(weights, rapid.Uint64().Draw(t, "random"))
		counts := make([]int, len(weights))
		for n := 1; n <= 300; n++ {
			counts[s.Next()]++
			for i, w := range weights {
				want := float64(n) * float64(w) / float64(total)
				if math.Abs(float64(counts[i])-want) > float64(len(weights)) {
					t.Fatalf("part %d has %d of %d, its share is %.1f", i, counts[i], n, want)
				}
			}
		}
	})
}

func TestStartPositionsAreSpread(t *testing.T) {
	c := qt.New(t)
	firsts := 0
	for random := range uint64(64) {
		if split.New([]int{90, 10}, random).Next() == 1 {
			firsts++
		}
	}
	c.Check(firsts > 0 && firsts < 20, qt.IsTrue, qt.Commentf("%d", firsts))
}
