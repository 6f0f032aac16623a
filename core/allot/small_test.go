package allot_test

import (
	"testing"
	"time"

	"bulrushlock/core/allot"
)

// TestSmallFleetUsesWholeLimit checks that a customer that asks for twice its limit gets what the limit
// allows, also where there are more parts than nodes and where the limit has no burst.
func TestSmallFleetUsesWholeLimit(t *testing.T) {
	const least = 0.95
	for _, count := range []int{1, 3, 13, 78} {
		for _, rate := range []float64{4, 60, 400} {
			for _, burst := range []int{0, int(rate)} {
				l := allot.Limit{Customer: "acme", Rate: rate, Burst: burst}
				f := newSimFleet(count, min(count, 3), []allot.Limit{l}, 1)
				f.advance(5 * time.Second)
				const length = 20
				f.load(l.Customer, 2*rate, f.now.Add(length*time.Second))
				f.advance(length * time.Second)
				if got := float64(len(f.admitted[l.Customer])) / (rate * length); got < least {
					t.Errorf("%d nodes, %+v: %.2f of the limit was used", count, l, got)
				}
			}
		}
	}
}
