package pick

import "time"

const (
	// freshTime is the age up to which a report tells the load of the moment.
	freshTime = 60 * time.Millisecond
	// usualSlow is the reported slowness of a backend server that works as usual, in percent.
	usualSlow = 100
	// farCost is the share of a usual request's time that another data centre has to save.
	farCost = 0.15
	// illCost is the factor on the time of a backend server that calls itself unfit.
	illCost = 4.0
	// slowCost is the share of a slow stretch's slowness that a request has to expect
	// which begins within it.
	slowCost = 0.6
	// loadCost is the further time on a backend server that runs all it may, as a
	// share: what runs there may turn slow together.
	loadCost = 0.5
)

// Fresh is the policy for candidates that were just asked for their load. It takes
// the one on which the request is expected to end first, by what runs there and by
// how slow work is there at this moment.
//
// It answers machines whose speed changes several times within a second, where a
// choice by older reports sends work to those that have just turned slow.
type Fresh struct{}

var _ Policy = (*Fresh)(nil)

// NewFresh returns a Fresh.
func NewFresh() *Fresh { return &Fresh{} }

// Pick returns the chosen candidate. It is false where no candidate has a fresh report.
func (*Fresh) Pick(now time.Time, random uint64, candidates []Candidate) (int, bool) {
	best, least := -1, 0.0
	if len(candidates) == 0 {
		return best, false
	}
	start := int(random % uint64(len(candidates)))
	for k := range candidates {
		i := (start + k) % len(candidates)
		c := &candidates[i]
		if now.Sub(c.Reported) > freshTime {
			continue
		}
		if t := c.expected(now); best < 0 || t < least {
			best, least = i, t
		}
	}
	return best, best >= 0
}

// expected returns the expected time of one more request, in times of a usual
// request on an idle backend server.
func (c *Candidate) expected(now time.Time) float64 {
	slow := float64(max(c.Slow, usualSlow)) / usualSlow
	limit := float64(max(c.Limit, 1))
	running := float64(c.InFlight + c.Sent)
	t := (1 + slowCost*(slow-1)) * (1 + loadCost*running/limit)
	if running >= limit {
		t += (running + 1 - limit) / limit
	}
	if c.Usual > 0 {
		t += float64(c.Wait) / float64(c.Usual)
	}
	if !c.Near && !c.Beside {
		t += farCost
	}
	if c.Ill {
		t *= illCost
	}
	if c.Cold {
		t += coldLoad
	}
	return t + c.bar(now)
}
