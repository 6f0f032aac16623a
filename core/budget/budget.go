// Package budget bounds retries and hedges to a share of the requests.
//
// Each first attempt of a request pays a share of a token into the Budget, and
// each extra attempt spends a whole one. When many requests fail at once, the
// Budget runs dry and the extra attempts stop, so they cannot multiply an
// overload.
//
// # Usage
//
//	b := budget.New(0.1, 10) // one extra attempt for ten requests, and ten at the start
//	b.Deposit()
//	if failed && b.Spend() {
//		retry()
//	}
//
// A Budget is not safe for use by several goroutines at once.
package budget

// unit is one extra attempt in the fixed-point numbers of a balance.
const unit = 1_000_000

// Budget holds the extra attempts that may still be made. There are never more
// of them than the share of the requests and the reserve.
type Budget struct {
	share   int64
	most    int64
	balance int64
}

// New returns a Budget that allows share extra attempts for each request, and
// reserve of them before the first request. The balance never exceeds reserve,
// or one extra attempt where reserve is lower.
func New(share, reserve float64) *Budget {
	b := &Budget{balance: fixed(reserve)}
	b.most = max(b.balance, unit)
	b.SetShare(share)
	return b
}

// Deposit counts the first attempt of a request.
func (b *Budget) Deposit() {
	b.balance = min(b.most, b.balance+b.share)
}

// Spend tells whether an extra attempt may be made, and counts it if so.
func (b *Budget) Spend() bool {
	if b.balance < unit {
		return false
	}
	b.balance -= unit
	return true
}

// SetShare changes the share that later requests pay. It lies from 0 to 1.
func (b *Budget) SetShare(share float64) {
	b.share = min(fixed(share), unit)
}

// SetReserve changes the most that the balance may hold. What it holds above is lost.
func (b *Budget) SetReserve(reserve float64) {
	b.most = max(fixed(reserve), unit)
	b.balance = min(b.balance, b.most)
}

// fixed returns n in millionths, rounded down, and no less than 0.
func fixed(n float64) int64 {
	return int64(max(n, 0) * unit)
}
