package pick

import "time"

// TwoReported is the policy that draws two candidates and takes the one with
// the lower reported load, however old the report is.
type TwoReported struct{}

var _ Policy = (*TwoReported)(nil)

// NewTwoReported returns a TwoReported.
func NewTwoReported() *TwoReported { return &TwoReported{} }

// Pick returns the better of two random candidates.
func (t *TwoReported) Pick(_ time.Time, random uint64, candidates []Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	first, second := two(random, len(candidates))
	if candidates[second].reported() < candidates[first].reported() {
		return second, true
	}
	return first, true
}

// reported returns the reported load as a share of the reported limit.
func (c *Candidate) reported() float64 {
	return float64(c.InFlight+c.Queued) / float64(max(c.Limit, 1))
}
