package simul

import (
	"math"
	"time"
)

// wavePeriod is the time in which a wave of load passes through the data centres once.
const wavePeriod = 5 * time.Second

// slowCentreFactor is the factor on the service times in a slow data centre.
const slowCentreFactor = 4

// CrossingScenarios returns the scenarios for policies for leaving a data centre.
func CrossingScenarios() []Scenario {
	return []Scenario{
		{Name: "even", Load: 0.5},
		{Name: "waves", Load: 0.7, Wave: 0.55},
		{Name: "late-waves", Load: 0.7, Wave: 0.55, ReportDelay: 40 * time.Millisecond},
		{Name: "centre", Load: 0.6, CentreOutage: true},
		{Name: "slow-centre", Load: 0.4, SlowCentre: true},
	}
}

// CrossingPolicies returns the names of the policies for leaving a data centre: never, by a
// constant cost, by the least time alone, and by core/cross.
func CrossingPolicies() []string {
	return []string{stayHome, constantCost, leastTime, decideCrossing}
}

// CrossingSize returns a fleet whose data centres are far apart and have uneven numbers of
// backend servers.
func CrossingSize() Size {
	return Size{
		Name: "uneven", Centres: 4, Delay: 4400 * time.Microsecond, Services: []int{26, 28, 26}, Slots: 6, Stretch: 20,
		Placed: [][]int{{8, 5, 6, 7}, {6, 8, 7, 7}, {5, 8, 8, 5}},
	}
}

// stretch returns the factor on all service times.
func (s Size) stretch() float64 {
	if s.Stretch == 0 {
		return 1
	}
	return s.Stretch
}

// centreOf returns the data centre of backend server i of a service.
func (s Size) centreOf(service, i int) int {
	if s.Placed == nil {
		return i % s.Centres
	}
	for centre, count := range s.Placed[service] {
		if i < count {
			return centre
		}
		i -= count
	}
	return s.Centres - 1
}

// waveFactor returns the ratio of the load of a data centre at a time to its mean load.
func (sm *simulation) waveFactor(centre int, at time.Duration) float64 {
	turns := float64(at)/float64(wavePeriod) + float64(centre)/float64(sm.size.Centres)
	return 1 + sm.scenario.Wave*math.Sin(2*math.Pi*turns)
}

// drawEntry draws the entry of the next request.
func (sm *simulation) drawEntry() int {
	for {
		e := sm.arrivalRandom.IntN(len(sm.entries))
		if sm.centres[e] == sm.centreOut {
			continue
		}
		if sm.scenario.Wave == 0 || sm.arrivalRandom.Float64()*(1+sm.scenario.Wave) < sm.waveFactor(sm.centres[e], sm.clock.now) {
			return e
		}
	}
}

// scheduleSlowCentre slows the first data centre down from one time to another.
func (sm *simulation) scheduleSlowCentre(from, to time.Duration) {
	set := func(factor float64) {
		for service, guards := range sm.guards {
			for i, g := range guards {
				if sm.size.centreOf(service, i) == 0 {
					g.server.slowdown = factor
				}
			}
		}
	}
	sm.scheduleWindow(from, to, func() { set(slowCentreFactor) }, func() { set(1) })
}
