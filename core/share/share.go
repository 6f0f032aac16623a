// Package share spreads requests over the parts of a route by weight.
//
// It answers a steady stream of requests of which each part must get its share
// within any short window: drawing at random would let the shares wander. The
// requests of one part are spaced evenly among those of the others.
//
// # Usage
//
//	s := share.New([]int{90, 10}, random)
//	part := s.Next()
package share

// Share gives out the positions of weights in their proportions. It is not safe
// for use by several goroutines at once.
type Share struct {
	weights []int
	// credit is the weight that each part has gathered and not yet used.
	credit []int
	total  int
}

// New returns a Share of weights of which at least one is above 0. It begins at
// a place that random chooses, so that many of them do not favour the same part.
func New(weights []int, random uint64) *Share {
	s := &Share{weights: weights, credit: make([]int, len(weights))}
	for _, w := range weights {
		s.total += w
	}
	for range random % uint64(max(len(weights)*spin, 1)) {
		s.Next()
	}
	return s
}

// spin is the number of steps for each part among which the beginning is chosen.
const spin = 16

// Next returns the position of the part that gets the next request.
func (s *Share) Next() int {
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
