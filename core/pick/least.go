package pick

import "time"

// LeastOutstanding is the policy that takes the candidate with the fewest
// outstanding requests of this entry.
type LeastOutstanding struct{}

var _ Policy = (*LeastOutstanding)(nil)

// NewLeastOutstanding returns a LeastOutstanding.
func NewLeastOutstanding() *LeastOutstanding { return &LeastOutstanding{} }

// Pick returns the candidate with the fewest outstanding requests. It looks
// from a random place on, so that equal candidates share the work.
func (l *LeastOutstanding) Pick(_ time.Time, random uint64, candidates []Candidate) (int, bool) {
	n := len(candidates)
	if n == 0 {
		return 0, false
	}
	start := below(uint32(random), n)
	best := start
	for k := 1; k < n; k++ {
		i := (start + k) % n
		if candidates[i].Outstanding < candidates[best].Outstanding {
			best = i
		}
	}
	return best, true
}
