package stride

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestEachElementIsVisitedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 300).Draw(t, "total")
		o := New(rapid.Uint64().Draw(t, "random"), total)
		seen := make([]bool, total)
		for i := range total {
			if at := o.At(i); seen[at] {
				t.Fatalf("%d is visited twice", at)
			} else {
				seen[at] = true
			}
		}
	})
}

// Each element is visited first, second and third equally often, within a fifth.
func TestPlacesAreSpreadEvenly(t *testing.T) {
	c := qt.New(t)
	const places, draws = 3, 3000
	r := rand.New(rand.NewPCG(1, 2))
	for _, total := range []int{3, 4, 30, 31, 154} {
		count := make([][places]int, total)
		for range draws * total {
			o := New(r.Uint64(), total)
			for i := range places {
				count[o.At(i)][i]++
			}
		}
		for at, n := range count {
			for i := range places {
				c.Check(n[i] > draws*4/5 && n[i] < draws*6/5, qt.IsTrue, qt.Commentf("%d of %d at place %d: %d", at, total, i, n[i]))
			}
		}
	}
	c.Check(New(5, 0), qt.Equals, Order{})
}
