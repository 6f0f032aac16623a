package simul

import "time"

// faultWindow returns the times at which the faults begin and end.
func (sm *simulation) faultWindow() (from, to time.Duration) {
	return sm.options.Length / 4, sm.options.Length * 5 / 8
}

// scheduleFaults schedules the faults of the scenario.
func (sm *simulation) scheduleFaults() {
	from, to := sm.faultWindow()
	first := sm.guards[0]
	if sm.scenario.SlowServer {
		sm.scheduleWindow(from, to,
			func() { first[slowServer].server.slowdown = slowFactor },
			func() { first[slowServer].server.slowdown = 1 })
	}
	if sm.scenario.SlowDependency {
		sm.scheduleWindow(from, to, func() { sm.slowAll(slowDependencyFactor) }, func() { sm.slowAll(1) })
	}
	if sm.scenario.FailingServer {
		sm.scheduleWindow(from, to,
			func() { first[failServer].server.failing = true },
			func() { first[failServer].server.failing = false })
	}
	if sm.scenario.ColdStarts {
		for at := from; at < sm.options.Length; at += coldInterval {
			sm.clock.after(at, first[coldServer].server.startCold)
		}
	}
	if sm.scenario.CentreOutage {
		sm.takeCentreOut(from, to)
	}
	if sm.scenario.SlowCentre {
		sm.scheduleSlowCentre(from, to)
	}
	if sm.scenario.NoisyNeighbours {
		sm.scheduleNoise()
	}
}

// slowAll sets the factor on the service time of all backend servers.
func (sm *simulation) slowAll(factor float64) {
	for _, guards := range sm.guards {
		for _, g := range guards {
			g.server.slowdown = factor
		}
	}
}

// scheduleWindow schedules begin to run at from and end to run at to.
func (sm *simulation) scheduleWindow(from, to time.Duration, begin, end func()) {
	sm.clock.after(from, begin)
	sm.clock.after(to, end)
}

// takeCentreOut takes the first data centre out of service at from and brings it back at
// to.
func (sm *simulation) takeCentreOut(from, to time.Duration) {
	sm.scheduleWindow(from+callerDelay, to, func() { sm.centreOut = 0 }, func() { sm.centreOut = -1 })
	for service, guards := range sm.guards {
		for i, g := range guards {
			if sm.size.centreOf(service, i) != 0 {
				continue
			}
			lag := time.Duration(sm.faultRandom.Int64N(int64(maxDrainDelay)))
			sm.scheduleWindow(from+lag, to, g.drain, func() {
				g.returnToService()
				for _, e := range sm.entries {
					e.scheduleReturn(e.servers[service][i])
				}
			})
		}
	}
}

// scheduleNoise schedules short slowdowns of random backend servers at regular intervals.
func (sm *simulation) scheduleNoise() {
	for at := noiseInterval; at < sm.options.Length; at += noiseInterval {
		guards := sm.guards[sm.faultRandom.IntN(len(sm.guards))]
		s := guards[sm.faultRandom.IntN(len(guards))].server
		sm.scheduleWindow(at, at+noiseDuration, func() { s.noise = noiseFactor }, func() { s.noise = 1 })
	}
}
