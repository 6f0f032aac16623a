package pick

import "time"

const (
	// drawn is the number of candidates that Probing compares.
	drawn = 3
	// fresh is the age from which Probing leaves a report aside.
	fresh = time.Second
	// hot is the share of the reports from which a load counts as hot.
	hot = 0.84
)

// Probing is the policy that compares fresh probes. Among candidates whose load
// is not hot it takes the one with the lowest latency; if all are hot, it takes
// the one with the lowest load.
type Probing struct{}

var _ Policy = (*Probing)(nil)

// NewProbing returns a Probing.
func NewProbing() *Probing { return &Probing{} }

// Pick returns the best of three random candidates with a fresh report, or a
// random one if there is none.
func (p *Probing) Pick(now time.Time, random uint64, candidates []Candidate) (int, bool) {
	n := len(candidates)
	if n == 0 {
		return 0, false
	}
	start := below(uint32(random), n)
	draws := [drawn]int{start, below(uint32(random>>16), n), below(uint32(random>>32), n)}
	best, bestHot := -1, false
	for _, i := range draws {
		if now.Sub(candidates[i].Reported) > fresh {
			continue
		}
		isHot := isHot(now, candidates, i)
		if best < 0 || better(&candidates[i], isHot, &candidates[best], bestHot) {
			best, bestHot = i, isHot
		}
	}
	if best < 0 {
		return start, true
	}
	return best, true
}

// isHot tells whether the load of candidate i is above most fresh loads.
func isHot(now time.Time, candidates []Candidate, i int) bool {
	lower, count := 0, 0
	for j := range candidates {
		if now.Sub(candidates[j].Reported) > fresh {
			continue
		}
		count++
		if candidates[j].InFlight < candidates[i].InFlight {
			lower++
		}
	}
	return float64(lower) >= hot*float64(count-1) && lower > 0
}

// better tells whether a goes before b.
func better(a *Candidate, aHot bool, b *Candidate, bHot bool) bool {
	if aHot != bHot {
		return bHot
	}
	if aHot {
		return a.InFlight < b.InFlight
	}
	return a.Latency < b.Latency
}
