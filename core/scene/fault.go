package scene

import "time"

// window returns the times at which faults begin and end.
func (w *world) window() (from, to time.Duration) {
	return w.options.Length / 4, w.options.Length * 5 / 8
}

// schedule adds the faults of the scene.
func (w *world) schedule() {
	from, to := w.window()
	first := w.guards[0]
	if w.scene.Slow {
		w.between(from, to,
			func() { first[slowServer].server.slowdown = slowFactor },
			func() { first[slowServer].server.slowdown = 1 })
	}
	if w.scene.Shared {
		w.between(from, to, func() { w.slowAll(sharedFactor) }, func() { w.slowAll(1) })
	}
	if w.scene.Fail {
		w.between(from, to,
			func() { first[failServer].server.failing = true },
			func() { first[failServer].server.failing = false })
	}
	if w.scene.Cold {
		for at := from; at < w.options.Length; at += coldEvery {
			w.clock.after(at, first[coldServer].server.turnCold)
		}
	}
	if w.scene.Centre {
		w.takeOut(from, to)
	}
	if w.scene.Noise {
		w.makeNoise()
	}
}

// slowAll sets the factor on the service time of all servers.
func (w *world) slowAll(factor float64) {
	for _, guards := range w.guards {
		for _, g := range guards {
			g.server.slowdown = factor
		}
	}
}

// between runs begin at from and end at to.
func (w *world) between(from, to time.Duration, begin, end func()) {
	w.clock.after(from, begin)
	w.clock.after(to, end)
}

// takeOut takes the first data centre out at from and brings it back at to.
func (w *world) takeOut(from, to time.Duration) {
	w.between(from+callerLag, to, func() { w.out = 0 }, func() { w.out = -1 })
	for service, guards := range w.guards {
		for i := 0; i < len(guards); i += w.size.Centres {
			g := guards[i]
			lag := time.Duration(w.faults.Int64N(int64(leaveLag)))
			w.between(from+lag, to, g.leave, func() {
				g.enter()
				for _, e := range w.entries {
					e.readList(e.views[service][i])
				}
			})
		}
	}
}

// makeNoise slows a random server down for a moment, and then another one.
func (w *world) makeNoise() {
	for at := noiseEvery; at < w.options.Length; at += noiseEvery {
		guards := w.guards[w.faults.IntN(len(w.guards))]
		s := guards[w.faults.IntN(len(guards))].server
		w.between(at, at+noiseHold, func() { s.noise = noiseFactor }, func() { s.noise = 1 })
	}
}
