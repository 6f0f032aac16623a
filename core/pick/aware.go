package pick

import "time"

const (
	// fade is the age at which a report counts half.
	fade = 50 * time.Millisecond
	// reportWeight is the weight of a fresh report in a load. All entries see the
	// same reports, so a full weight would make them choose the same one.
	reportWeight = 0.4
	// ownWeight is the weight of an outstanding request of the entry in a load.
	ownWeight = 2.0
	// overfull is the reported requests over the limit from which a queue has
	// formed, and queueLoad is what is then added to the load.
	overfull  = 1.2
	queueLoad = 0.5
	// busy is the load from which other data centres are considered.
	busy = 0.8
	// distance is the load by which another data centre has to be better.
	distance = 0.2
	// coldLoad is added to the load of a candidate in cold start, since it is slow
	// even within its limit.
	coldLoad = 0.2
	// slow is the latency, in latencies of the fastest candidate, from which a
	// candidate counts as slow; slowLoad is then added to its load. A report older
	// than slowMost no longer makes a candidate slow, so that it is tried again.
	slow     = 3
	slowLoad = 1.0
	slowMost = time.Second
	// avoid is the time for which a candidate is avoided after one failure. It
	// grows by avoidGrowth with each further failure, up to avoidMost.
	avoid       = 10 * time.Millisecond
	avoidGrowth = 8
	avoidMost   = 1280 * time.Millisecond
	// barred is added to the load of a candidate that is to be avoided, once for
	// each failure: of two that fail, the one that fails less goes first.
	barred = 1000.0
)

// Aware is the policy of the project. It draws two candidates of the entry's
// own data centre and takes the one with the lower load: the reported load,
// fading with its age, and the entry's own outstanding requests. The backend
// server beside the entry goes first while it bears the work as well. When the
// data centre is busy, other data centres join by their load. A candidate that
// failed lately, or one in cold start without room, is taken last.
type Aware struct{}

var _ Policy = (*Aware)(nil)

// NewAware returns an Aware.
func NewAware() *Aware { return &Aware{} }

// Pick returns the chosen candidate.
func (a *Aware) Pick(now time.Time, random uint64, candidates []Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	least := fastest(candidates)
	best, load := draw(now, random, candidates, true, least)
	if best < 0 || load > busy {
		far, farLoad := draw(now, random, candidates, false, least)
		if best < 0 || far >= 0 && farLoad+distance < load {
			best, load = far, farLoad
		}
	}
	for i := range candidates {
		c := &candidates[i]
		if c.Beside && c.load(now, least) <= load+1/float64(max(c.Limit, 1)) {
			return i, true
		}
	}
	return best, true
}

// fastest returns the lowest latency among the candidates that have one.
func fastest(candidates []Candidate) time.Duration {
	var least time.Duration
	for i := range candidates {
		l := candidates[i].Latency
		if l > 0 && (least == 0 || l < least) {
			least = l
		}
	}
	return least
}

// draw returns the better of two random candidates that are near, or of two that
// are not, with its load. The index is -1 if there is none.
func draw(now time.Time, random uint64, candidates []Candidate, near bool, least time.Duration) (index int, load float64) {
	count := 0
	for i := range candidates {
		if candidates[i].Near == near {
			count++
		}
	}
	if count == 0 {
		return -1, 0
	}
	first, second := two(random, count)
	index, k := -1, 0
	for i := range candidates {
		if candidates[i].Near != near {
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

// load returns a measure of the load of c: the weighted requests over the limit.
// It is far above 1 when c is to be avoided. The lowest latency of the candidates
// is least.
func (c *Candidate) load(now time.Time, least time.Duration) float64 {
	weight := 0.0
	if !c.Reported.IsZero() {
		age := max(now.Sub(c.Reported), 0)
		weight = float64(fade) / float64(fade+age)
	}
	limit := float64(max(c.Limit, 1))
	reported := weight * float64(c.InFlight+c.Queued)
	load := (reportWeight*reported + ownWeight*float64(c.Outstanding)) / limit
	if reported >= overfull*limit {
		load += queueLoad
	}
	if c.Latency > slow*least && now.Sub(c.Reported) < slowMost {
		load += slowLoad
	}
	if c.Cold {
		load += coldLoad
		if max(reported, float64(c.Outstanding)) >= limit {
			load += barred
		}
	}
	return load + c.bar(now)
}

// bar returns what the failures of c add to its load.
func (c *Candidate) bar(now time.Time) float64 {
	if c.Failures < 1 {
		return 0
	}
	length := avoid
	for k := 1; k < c.Failures && length < avoidMost; k++ {
		length *= avoidGrowth
	}
	if now.Sub(c.Failed) >= min(length, avoidMost) {
		return 0
	}
	return barred * float64(c.Failures)
}
