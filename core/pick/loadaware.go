package pick

import "time"

const (
	// halfWeightAge is the age at which a load report has half the weight of a new one.
	halfWeightAge = 50 * time.Millisecond
	// reportWeight is the weight of a new load report in the load of a candidate. All
	// entries see the same reports, so with full weight they would all select the same
	// candidate.
	reportWeight = 0.4
	// outstandingWeight is the weight of an outstanding request of the entry in the
	// load.
	outstandingWeight = 2.0
	// queueThreshold is the ratio of reported requests to the concurrency limit from
	// which a queue has formed. queuePenalty is then added to the load.
	queueThreshold = 1.2
	queuePenalty   = 0.5
	// spillThreshold is the load above which other data centres are considered.
	spillThreshold = 0.8
	// spillMargin is the difference in load by which another data centre must be better.
	spillMargin = 0.2
	// coldPenalty is added to the load of a candidate in cold start, since it is slow
	// even below its concurrency limit.
	coldPenalty = 0.2
	// slowLatencyRatio is the ratio to the lowest latency of all candidates above which
	// a candidate counts as slow. slowPenalty is then added to its load. It no longer
	// applies if the last load report is older than maxSlowReportAge, so that the
	// candidate is tried again.
	slowLatencyRatio = 3
	slowPenalty      = 1.0
	maxSlowReportAge = time.Second
	// baseAvoidTime is the time for which a candidate is avoided after one failure. Each
	// further failure multiplies it by avoidGrowth, up to maxAvoidTime.
	baseAvoidTime = 10 * time.Millisecond
	avoidGrowth   = 8
	maxAvoidTime  = 1280 * time.Millisecond
	// avoidPenalty is added to the load of a candidate that is avoided, once for each
	// failure: of two failing candidates, the one with fewer failures is selected.
	avoidPenalty = 1000.0
)

// LoadAware is the default policy for candidates with load reports of any age. It compares
// two random candidates of the entry's own data centre and selects the one with the
// lower load, which combines the reported load, weighted by its age, with the entry's
// own outstanding requests. The backend server on the entry's own instance is preferred
// if its load is higher by no more than one request's share of its concurrency limit. If
// the data centre is busy, candidates of other data centres are considered by their
// load. A candidate that failed recently, or one in cold start without a free slot, is
// selected last.
type LoadAware struct{}

var _ Policy = (*LoadAware)(nil)

// NewLoadAware returns a new LoadAware.
func NewLoadAware() *LoadAware { return &LoadAware{} }

// Pick returns the index of the selected candidate. The result is false if there are no
// candidates.
func (l *LoadAware) Pick(now time.Time, random uint64, candidates []Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	least := minLatency(candidates)
	best, load := bestOfTwo(now, random, candidates, true, least)
	if best < 0 || load > spillThreshold {
		remote, remoteLoad := bestOfTwo(now, random, candidates, false, least)
		if best < 0 || remote >= 0 && remoteLoad+spillMargin < load {
			best, load = remote, remoteLoad
		}
	}
	for i := range candidates {
		c := &candidates[i]
		if c.SameInstance && c.load(now, least) <= load+1/float64(max(c.Limit, 1)) {
			return i, true
		}
	}
	return best, true
}

// minLatency returns the lowest known latency of the candidates, or 0 if none is known.
func minLatency(candidates []Candidate) time.Duration {
	var least time.Duration
	for i := range candidates {
		l := candidates[i].Latency
		if l > 0 && (least == 0 || l < least) {
			least = l
		}
	}
	return least
}

// bestOfTwo selects the one with the lower load of two random candidates, drawn from the
// entry's data centre if ownCentre is set and from the others if not. The index is -1 if
// there is none.
func bestOfTwo(now time.Time, random uint64, candidates []Candidate, ownCentre bool, least time.Duration) (index int, load float64) {
	count := 0
	for i := range candidates {
		if candidates[i].SameCentre == ownCentre {
			count++
		}
	}
	if count == 0 {
		return -1, 0
	}
	first, second := twoIndices(random, count)
	index, k := -1, 0
	for i := range candidates {
		if candidates[i].SameCentre != ownCentre {
			continue
		}
		if k == first || k == second {
			l := candidates[i].load(now, least)
			if index < 0 || l < load || l == load && k == first {
				index, load = i, l
			}
		}
		k++
	}
	return index, load
}

// load returns the load of c: its weighted requests divided by its concurrency limit.
// The load of a candidate that is avoided is far above 1. least is the lowest latency of
// all candidates.
func (c *Candidate) load(now time.Time, least time.Duration) float64 {
	weight := 0.0
	if !c.ReportedAt.IsZero() {
		age := max(now.Sub(c.ReportedAt), 0)
		weight = float64(halfWeightAge) / float64(halfWeightAge+age)
	}
	limit := float64(max(c.Limit, 1))
	reported := weight * float64(c.InFlight+c.Queued)
	load := (reportWeight*reported + outstandingWeight*float64(c.Outstanding)) / limit
	if reported >= queueThreshold*limit {
		load += queuePenalty
	}
	if c.Latency > slowLatencyRatio*least && now.Sub(c.ReportedAt) < maxSlowReportAge {
		load += slowPenalty
	}
	if c.Cold {
		load += coldPenalty
		if max(reported, float64(c.Outstanding)) >= limit {
			load += avoidPenalty
		}
	}
	return load + c.failurePenalty(now)
}

// failurePenalty returns the load that is added for recent failures of c.
func (c *Candidate) failurePenalty(now time.Time) float64 {
	if c.Failures < 1 {
		return 0
	}
	length := baseAvoidTime
	for k := 1; k < c.Failures && length < maxAvoidTime; k++ {
		length *= avoidGrowth
	}
	if now.Sub(c.FailedAt) >= min(length, maxAvoidTime) {
		return 0
	}
	return avoidPenalty * float64(c.Failures)
}
