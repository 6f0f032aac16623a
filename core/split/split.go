// Package split distributes requests over the weighted parts of a route.
//
// Each part must get its share within any short window. A random choice would let the
// shares vary, so the requests of one part are spaced evenly among those of the others
// by smooth weighted round robin.
//
// # Usage
//
//	s := split.New([]int{90, 10}, random)
//	part := s.Next()
package split

// Splitter selects positions of a list of weights in proportion. It is not safe for
// concurrent use.
type Splitter struct {
	weights []int
	// credit is the weight that each part has accumulated and not yet used.
	credit []int
	total  int
}

// New returns a Splitter over weights, at least one of which is above 0. The number random
// sets the start position, so that many instances do not all favour the same part.
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

// startSteps is the number of possible start positions per part.
const startSteps = 16

// Next returns the position of the part that gets the next request.
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
