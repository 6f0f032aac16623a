package budget_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/budget"
)

func ExampleBudget() {
	b := budget.New(0.5, 0)
	b.Deposit()
	fmt.Println(b.Spend())
	b.Deposit()
	fmt.Println(b.Spend())
	// Output:
	// false
	// true
}

func TestBalanceIsBounded(t *testing.T) {
	c := qt.New(t)
	b := budget.New(1, 3)
	for range 100 {
		b.Deposit()
	}
	spent := 0
	for b.Spend() {
		spent++
	}
	c.Assert(spent, qt.Equals, 3)
}

func TestSpendStaysWithinShare(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(r, "share")
		reserve := rapid.Float64Range(0, 10).Draw(r, "reserve")
		b := budget.New(share, reserve)
		paid, spent := reserve, 0
		for _, deposit := range rapid.SliceOf(rapid.Bool()).Draw(r, "deposits") {
			if deposit {
				b.Deposit()
				paid += share
			} else if b.Spend() {
				spent++
			}
			if float64(spent) > paid+1e-9 {
				r.Fatalf("spent %d of %v", spent, paid)
			}
		}
	})
}
