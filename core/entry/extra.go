package entry

import (
	"bulrushlock/core/budget"
	"bulrushlock/core/rules"
)

// extra holds what an entry may send to one service beyond the first attempts. Each
// service has its own, as the failure of one must not multiply the load of another.
type extra struct {
	retries *budget.Budget
	hedges  *budget.Budget
}

// setShares takes over the shares of a set of rules.
func (e *extra) setShares(s *rules.Set) {
	e.retries.SetShare(s.Budget.Retry)
	e.hedges.SetShare(s.Budget.Hedge)
}

// extraOf returns what may be sent beyond first attempts to a service.
func (n *Entry) extraOf(service string) *extra {
	e, ok := n.extras[service]
	if !ok {
		e = &extra{retries: budget.New(0, n.reserve()), hedges: budget.New(0, 1)}
		e.setShares(n.set)
		n.extras[service] = e
	}
	return e
}

// reserve returns the number of extra attempts that this entry may make at once for
// a service after it was quiet: its share of what the fleet may.
func (n *Entry) reserve() float64 {
	return min(budgetReserve, max(1, fleetReserve/float64(max(len(n.order), 1))))
}
