// Package split distributes the requests of a route over its weighted services.
//
// Each service must get the fraction of the requests that its weight sets, within any
// short window. With a random choice these fractions would vary, so smooth weighted round
// robin spaces the requests of one service evenly among those of the others.
//
// # Usage
//
//	s := split.New([]int{90, 10}, random)
//	service := services[s.Next()]
package split

// Splitter selects positions of a list of weights in proportion to the weights. It is
// not safe for concurrent use.
type Splitter struct {
	weights []int
	// credit is the weight that each service has accumulated and not yet used.
	credit []int
	total  int
}

// New returns a Splitter over weights, at least one of which is above 0. The number
// random sets the start position, so that many instances do not all start with the same
// service.
func New(weights []int, random uint64) *Splitter {
	s := &Splitter{weights: weights, credit: make([]int, len(weights))}
	for _, w := range weights {
		s.total += w
	}
	for range random % uint64(max(len(weights)*startSteps, 1)) {
		s.Next()
	}
	return s
}

// startSteps is the number of possible start positions per service.
const startSteps = 16

// Next returns the position of the service that gets the next request.
func (s *Splitter) Next() int {
	best := -1
	for i, w := range s.weights {
		s.credit[i] += w
		if w > 0 && (best < 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
	}
	s.credit[best] -= s.total
	return best
}
