// Package stride visits the elements of a list in an order that a random number selects.
//
// It takes steps of a fixed length around the list, so that it needs neither memory nor more
// than one random number. Each element is equally likely at each place of the order, and each
// element is visited once.
//
// # Usage
//
//	o := stride.New(random, len(peers))
//	for i := range min(count, len(peers)) {
//		send(peers[o.At(i)])
//	}
package stride

// Order is an order of the elements of a list. The zero value is the order of an empty list.
type Order struct {
	start, step, total uint64
}

// New returns the order of a list of total elements that random selects.
func New(random uint64, total int) Order {
	if total <= 0 {
		return Order{}
	}
	n := uint64(total)
	o := Order{start: random & lowBits % n, step: 1 + (random>>halfBits)%n, total: n}
	for hasCommonFactor(o.step, n) {
		o.step++
	}
	return o
}

const (
	// halfBits is half of the bits of a random number. One half selects the start and the
	// other one the step.
	halfBits = 32
	lowBits  = 1<<halfBits - 1
)

// At returns the index of the element at place i, which must be below the length of the list.
func (o Order) At(i int) int { return int((o.start + uint64(i)*o.step) % o.total) }

// hasCommonFactor reports whether a and b have a common factor, in which case steps of a
// visit only some of b elements.
func hasCommonFactor(a, b uint64) bool {
	for b != 0 {
		a, b = b, a%b
	}
	return a != 1
}
