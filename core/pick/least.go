package pick

import "time"

// LeastOutstanding is the policy that selects the candidate with the fewest outstanding
// requests of this entry.
type LeastOutstanding struct{}

var _ Policy = (*LeastOutstanding)(nil)

// NewLeastOutstanding returns a new LeastOutstanding.
func NewLeastOutstanding() *LeastOutstanding { return &LeastOutstanding{} }

// Pick returns the candidate with the fewest outstanding requests. The search starts at
// a random index, so that equal candidates share the load.
func (l *LeastOutstanding) Pick(_ time.Time, random uint64, candidates []Candidate) (int, bool) {
	n := len(candidates)
	if n == 0 {
		return 0, false
	}
	start := indexBelow(uint32(random), n)
	best := start
	for k := 1; k < n; k++ {
		i := (start + k) % n
		if candidates[i].Outstanding < candidates[best].Outstanding {
			best = i
		}
	}
	return best, true
}
