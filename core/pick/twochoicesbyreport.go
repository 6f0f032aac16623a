package pick

import "time"

// TwoChoicesByReport is the policy that compares two random candidates and selects the
// one with the lower reported load, regardless of the age of the report.
type TwoChoicesByReport struct{}

var _ Policy = (*TwoChoicesByReport)(nil)

// NewTwoChoicesByReport returns a new TwoChoicesByReport.
func NewTwoChoicesByReport() *TwoChoicesByReport { return &TwoChoicesByReport{} }

// Pick returns the better of two random candidates.
func (t *TwoChoicesByReport) Pick(_ time.Time, random uint64, candidates []Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	first, second := twoIndices(random, len(candidates))
	if candidates[second].reportedLoad() < candidates[first].reportedLoad() {
		return second, true
	}
	return first, true
}

// reportedLoad returns the reported number of requests divided by the concurrency limit.
func (c *Candidate) reportedLoad() float64 {
	return float64(c.InFlight+c.Queued) / float64(max(c.Limit, 1))
}
