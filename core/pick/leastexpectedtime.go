package pick

import "time"

const (
	// maxReportAge is the age up to which a load report describes the current load.
	maxReportAge = 60 * time.Millisecond
	// normalSlowness is the reported slowness of a backend server at normal speed, in
	// percent.
	normalSlowness = 100
	// remoteCost is the time that a candidate in another data centre must save to be
	// preferred, as a share of the typical service time. A known CrossCost is added to it.
	remoteCost = 0.15
	// unhealthyFactor multiplies the expected time on a backend server that reports
	// itself unhealthy.
	unhealthyFactor = 4.0
	// slowPeriodShare is the share of the slowdown in a slow period that a request which
	// begins within it is expected to see.
	slowPeriodShare = 0.6
	// fullLoadCost is the additional time expected on a backend server at its
	// concurrency limit, as a share of the service time: the requests running there may
	// all become slow at the same time.
	fullLoadCost = 0.5
)

// LeastExpectedTime is the policy for candidates whose load was just probed. It selects
// the candidate with the lowest expected completion time, based on its running requests
// and its current slowness.
//
// It is meant for instances whose speed changes several times within a second. There, a
// selection by older reports sends requests to instances that have just become slow.
type LeastExpectedTime struct{}

var _ Policy = (*LeastExpectedTime)(nil)

// NewLeastExpectedTime returns a new LeastExpectedTime.
func NewLeastExpectedTime() *LeastExpectedTime { return &LeastExpectedTime{} }

// Pick returns the index of the selected candidate. The result is false if no candidate
// has a recent load report.
func (*LeastExpectedTime) Pick(now time.Time, random uint64, candidates []Candidate) (int, bool) {
	best, least := -1, 0.0
	if len(candidates) == 0 {
		return best, false
	}
	start := int(random % uint64(len(candidates)))
	for k := range candidates {
		i := (start + k) % len(candidates)
		c := &candidates[i]
		if !c.HasRecentReport(now) {
			continue
		}
		if t := c.expectedTime(now, c.RemoteCost()); best < 0 || t < least {
			best, least = i, t
		}
	}
	return best, best >= 0
}

// HasRecentReport reports whether the load report of c describes the current load.
func (c *Candidate) HasRecentReport(now time.Time) bool { return now.Sub(c.ReportedAt) <= maxReportAge }

// RemoteCost returns the time that c must save since it is in another data centre, in the
// unit of ExpectedTime. It is 0 for a candidate of the entry's own data centre.
func (c *Candidate) RemoteCost() float64 {
	if c.SameCentre || c.SameInstance {
		return 0
	}
	if c.TypicalTime <= 0 {
		return remoteCost
	}
	return remoteCost + float64(c.CrossCost)/float64(c.TypicalTime)
}

// ExpectedTime returns the expected completion time of one more request, in multiples of
// the typical service time on an idle backend server. It leaves out RemoteCost.
func (c *Candidate) ExpectedTime(now time.Time) float64 { return c.expectedTime(now, 0) }

// expectedTime returns the expected completion time with the given remote cost.
func (c *Candidate) expectedTime(now time.Time, remote float64) float64 {
	slow := float64(max(c.SlowPercent, normalSlowness)) / normalSlowness
	limit := float64(max(c.Limit, 1))
	running := float64(c.InFlight + c.Sent)
	t := (1 + slowPeriodShare*(slow-1)) * (1 + fullLoadCost*running/limit)
	if running >= limit {
		t += (running + 1 - limit) / limit
	}
	if c.TypicalTime > 0 {
		t += float64(c.Wait) / float64(c.TypicalTime)
	}
	t += remote
	if c.Unhealthy {
		t *= unhealthyFactor
	}
	if c.Cold {
		t += coldPenalty
	}
	return t + c.failurePenalty(now)
}
