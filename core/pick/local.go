package pick

import "time"

// TwoLocal is the policy that compares two random candidates and selects the one with
// fewer outstanding requests of this entry.
type TwoLocal struct{}

var _ Policy = (*TwoLocal)(nil)

// NewTwoLocal returns a new TwoLocal.
func NewTwoLocal() *TwoLocal { return &TwoLocal{} }

// Pick returns the better of two random candidates.
func (t *TwoLocal) Pick(_ time.Time, random uint64, candidates []Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	first, second := twoIndices(random, len(candidates))
	if candidates[second].Outstanding < candidates[first].Outstanding {
		return second, true
	}
	return first, true
}
