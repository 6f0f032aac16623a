package pick

import "time"

// RoundRobin is the policy that selects the candidates in turn.
type RoundRobin struct {
	next uint64
}

var _ Policy = (*RoundRobin)(nil)

// NewRoundRobin returns a RoundRobin that starts with the first candidate.
func NewRoundRobin() *RoundRobin { return &RoundRobin{} }

// Pick returns the candidate after the one of the previous call.
func (r *RoundRobin) Pick(_ time.Time, _ uint64, candidates []Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	i := int(r.next % uint64(len(candidates)))
	r.next++
	return i, true
}
