package pick

import "time"

const (
	// sampleSize is the number of candidates that HotCold compares.
	sampleSize = 3
	// maxProbeAge is the age above which HotCold ignores a load report.
	maxProbeAge = time.Second
	// hotQuantile is the quantile of the recent load reports from which a load counts as
	// hot.
	hotQuantile = 0.84
)

// HotCold is the policy that compares recent load reports. Among the candidates whose
// load is not hot, it selects the one with the lowest latency. If all are hot, it
// selects the one with the lowest load.
type HotCold struct{}

var _ Policy = (*HotCold)(nil)

// NewHotCold returns a new HotCold.
func NewHotCold() *HotCold { return &HotCold{} }

// Pick returns the best of three random candidates with a recent load report, or a
// random candidate if none of them has one.
func (h *HotCold) Pick(now time.Time, random uint64, candidates []Candidate) (int, bool) {
	n := len(candidates)
	if n == 0 {
		return 0, false
	}
	start := indexBelow(uint32(random), n)
	draws := [sampleSize]int{start, indexBelow(uint32(random>>16), n), indexBelow(uint32(random>>32), n)}
	best, bestHot := -1, false
	for _, i := range draws {
		if now.Sub(candidates[i].ReportedAt) > maxProbeAge {
			continue
		}
		isHot := isHot(now, candidates, i)
		if best < 0 || isBetter(&candidates[i], isHot, &candidates[best], bestHot) {
			best, bestHot = i, isHot
		}
	}
	if best < 0 {
		return start, true
	}
	return best, true
}

// isHot reports whether the load of candidate i is higher than most recently reported
// loads.
func isHot(now time.Time, candidates []Candidate, i int) bool {
	lower, count := 0, 0
	for j := range candidates {
		if now.Sub(candidates[j].ReportedAt) > maxProbeAge {
			continue
		}
		count++
		if candidates[j].InFlight < candidates[i].InFlight {
			lower++
		}
	}
	return float64(lower) >= hotQuantile*float64(count-1) && lower > 0
}

// isBetter reports whether a is preferred to b.
func isBetter(a *Candidate, aHot bool, b *Candidate, bHot bool) bool {
	if aHot != bHot {
		return bHot
	}
	if aHot {
		return a.InFlight < b.InFlight
	}
	return a.Latency < b.Latency
}
