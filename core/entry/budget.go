package entry

import (
	"bulrushlock/core/budget"
	"bulrushlock/core/rules"
)

// attemptBudget limits the retries and hedges that an entry sends to one service. Each
// service has its own budget, so that the failure of one does not multiply the load of
// another.
type attemptBudget struct {
	retries *budget.Budget
	hedges  *budget.Budget
}

// setShares applies the retry and hedge shares of s.
func (e *attemptBudget) setShares(s *rules.Set) {
	e.retries.SetShare(s.Budget.RetryFraction)
	e.hedges.SetShare(s.Budget.HedgeFraction)
}

// attemptBudgetOf returns the retry and hedge budget of a service.
func (n *Entry) attemptBudgetOf(service string) *attemptBudget {
	e, ok := n.attemptBudgets[service]
	if !ok {
		e = &attemptBudget{retries: budget.New(0, n.extraAttemptReserve()), hedges: budget.New(0, 1)}
		e.setShares(n.rules)
		n.attemptBudgets[service] = e
	}
	return e
}

// extraAttemptReserve returns the number of extra attempts that this entry may make in a
// burst for one service after an idle time: its part of fleetReserve, but at least 1 and
// at most budgetReserve.
func (n *Entry) extraAttemptReserve() float64 {
	return min(budgetReserve, max(1, fleetReserve/float64(max(len(n.peerOrder), 1))))
}
