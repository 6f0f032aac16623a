package pick

import "time"

// TwoChoices is the policy that compares two random candidates and selects the one with
// fewer outstanding requests of this entry.
type TwoChoices struct{}

var _ Policy = (*TwoChoices)(nil)

// NewTwoChoices returns a new TwoChoices.
func NewTwoChoices() *TwoChoices { return &TwoChoices{} }

// Pick returns the better of two random candidates.
func (t *TwoChoices) Pick(_ time.Time, random uint64, candidates []Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	first, second := twoIndices(random, len(candidates))
	if candidates[second].Outstanding < candidates[first].Outstanding {
		return second, true
	}
	return first, true
}
