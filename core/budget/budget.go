// Package budget limits retries and hedges to a share of the requests.
//
// Each first attempt of a request deposits a share of a token, and each extra
// attempt spends a whole token. If many requests fail at once, the budget is soon
// exhausted and the extra attempts stop, so that they cannot multiply an overload.
//
// # Usage
//
//	b := budget.New(0.1, 10) // one extra attempt per ten requests, plus ten at the start
//	b.Deposit()
//	if failed && b.Spend() {
//		retry()
//	}
//
// A Budget is not safe for concurrent use.
package budget

// unit is one extra attempt in the fixed-point representation of a balance.
const unit = 1_000_000

// Budget counts the extra attempts that may still be made. Their total never exceeds the
// reserve plus the share of the requests.
type Budget struct {
	share      int64
	maxBalance int64
	balance    int64
}

// New returns a Budget that allows share extra attempts per request, plus reserve of
// them before the first request. The balance never exceeds reserve, or one extra attempt
// if reserve is lower than that.
func New(share, reserve float64) *Budget {
	b := &Budget{balance: toFixed(reserve)}
	b.maxBalance = max(b.balance, unit)
	b.SetShare(share)
	return b
}

// Deposit adds the share of one first attempt to the balance.
func (b *Budget) Deposit() {
	b.balance = min(b.maxBalance, b.balance+b.share)
}

// Spend reports whether an extra attempt may be made. If so, it takes the attempt from
// the balance.
func (b *Budget) Spend() bool {
	if b.balance < unit {
		return false
	}
	b.balance -= unit
	return true
}

// SetShare changes the share that later requests deposit, from 0 to 1.
func (b *Budget) SetShare(share float64) {
	b.share = min(toFixed(share), unit)
}

// SetReserve changes the maximum balance. A balance above it is cut to it.
func (b *Budget) SetReserve(reserve float64) {
	b.maxBalance = max(toFixed(reserve), unit)
	b.balance = min(b.balance, b.maxBalance)
}

// toFixed returns n in millionths, rounded down. Negative values become 0.
func toFixed(n float64) int64 {
	return int64(max(n, 0) * unit)
}
