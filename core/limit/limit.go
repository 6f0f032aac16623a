// Package limit adapts the number of requests that a backend server runs at
// once to what it bears now.
//
// A Limit compares the latency of each request with a slow-moving baseline of
// its class, so that routes of different cost do not disturb each other. It
// judges windows of several requests: when the mean of a window lies well above
// the baseline, or more requests fail than usual, the limit falls, as long as that
// makes the latency lower; otherwise it returns to its ceiling.
//
// # Usage
//
//	l := limit.New(10)
//	l.Observe(now, class, latency, inFlight, failed)
//	if inFlight < l.Limit() {
//		forward()
//	}
//
// A Limit is not safe for use by several goroutines at once.
package limit

import "time"

const (
	// window is the number of requests that are judged together.
	window = 20
	// stale is the age at which an unfinished window is dropped.
	stale = 10 * time.Second
	// tolerance is the mean latency, in baselines, from which the limit falls.
	tolerance = 2.0
	// failing is the share of failures above the usual from which the limit falls.
	failing = 0.2
	// shrink is the least factor by which one window lowers the limit.
	shrink = 0.5
	// learning is the number of requests over which a baseline moves.
	learning = 1000
	// relearning is that number while the latency is far above the baseline.
	relearning = 10_000
	// unhelped is that number while the latency is far above the baseline and a
	// lower limit has not helped.
	unhelped = 200
	// helped is the factor on the latency from which a lower limit has helped.
	helped = 0.8
	// worse is the factor on the latency from which a limit falls again after
	// lowering it has not helped.
	worse = 1.5
	// early is that number while the latency is far below the baseline.
	early = 50
	// improved is the mean latency, in baselines, from which a baseline falls early.
	improved = 0.6
	// recent is the number of requests over which a jump is judged.
	recent = 8
	// jump and calm are the latencies, in baselines, at which a jump starts and ends.
	jump = 4.0
	calm = 2.0
)

// Limit is an adaptive bound on concurrent requests, from 1 to a ceiling.
type Limit struct {
	ceiling int
	current float64
	classes map[int]*baseline
	usual   float64 // The usual share of failures.
	latest  float64 // The moving mean of latency over baseline.
	jumped  bool
	lowered float64 // The mean of the window that last lowered the limit, or 0.
	before  float64 // The limit before that.
	futile  bool    // The last lowering has not helped and was taken back.
	settle  int     // Requests to leave out, since they began at a higher limit.

	since    time.Time
	count    int
	failures int
	sum      float64
	most     int
}

// baseline is the usual latency of one class, in seconds.
type baseline struct {
	mean  float64
	count int
}

// New returns a Limit that stands at its ceiling.
func New(ceiling int) *Limit {
	ceiling = max(ceiling, 1)
	return &Limit{
		ceiling: ceiling,
		current: float64(ceiling),
		classes: make(map[int]*baseline),
		latest:  1,
	}
}

// Observe takes in a request that ended at now. The class is that of its route,
// and inFlight is the number of requests that ran when it ended, itself among
// them.
func (l *Limit) Observe(now time.Time, class int, latency time.Duration, inFlight int, failed bool) {
	if l.count == 0 || now.Sub(l.since) > stale {
		l.reset(now)
	}
	l.most = max(l.most, inFlight)
	ratio := 1.0
	if !failed {
		ratio = l.learn(class, latency)
	}
	if l.settle > 0 {
		l.settle--
		return
	}
	l.count++
	if failed {
		l.failures++
	} else {
		l.sum += ratio
	}
	if l.count >= window {
		l.judge()
		l.reset(now)
	}
}

// Limit returns the number of requests that may run at once.
func (l *Limit) Limit() int {
	return min(max(int(l.current), 1), l.ceiling)
}

// Jumped tells whether the latency has jumped as it does in a cold start. It
// stays true until the latency is near its baseline again.
func (l *Limit) Jumped() bool { return l.jumped }

// Resize changes the ceiling. A limit that stood at the old ceiling stands at
// the new one.
func (l *Limit) Resize(ceiling int) {
	ceiling = max(ceiling, 1)
	if l.Limit() >= l.ceiling {
		l.current = float64(ceiling)
	}
	l.ceiling = ceiling
	l.current = min(l.current, float64(ceiling))
}

// reset starts a new window.
func (l *Limit) reset(now time.Time) {
	l.since = now
	l.count = 0
	l.failures = 0
	l.sum = 0
	l.most = 0
}

// learn moves the baseline of class towards latency and takes the latency into
// the judgement of a jump. It returns the latency over the baseline.
func (l *Limit) learn(class int, latency time.Duration) float64 {
	b := l.classes[class]
	if b == nil {
		b = &baseline{mean: latency.Seconds()}
		l.classes[class] = b
	}
	ratio := b.ratio(latency)
	l.latest += (ratio - l.latest) / recent
	switch {
	case l.latest > jump:
		l.jumped = true
	case l.latest < calm:
		l.jumped = false
	}
	b.move(latency, l.speed())
	return ratio
}

// speed returns the number of requests over which a baseline moves now.
func (l *Limit) speed() int {
	switch {
	case l.latest > tolerance && l.futile:
		return unhelped
	case l.latest > tolerance:
		return relearning
	case l.latest < improved:
		return early
	}
	return learning
}

// judge lowers or raises the limit by what the window held.
func (l *Limit) judge() {
	failed := float64(l.failures) / float64(l.count)
	factor := l.slowdown()
	if failed > l.usual+failing {
		factor = min(factor, 1-failed)
	}
	l.usual += (failed - l.usual) * window / learning
	if factor < 1 {
		l.settle = l.most
		l.current = max(l.current*max(factor, shrink), 1)
		return
	}
	if l.futile {
		return
	}
	step := 1.0
	if 2*l.most >= l.Limit() {
		step = max(step, l.current/4)
	}
	l.current = min(l.current+step, float64(l.ceiling))
}

// slowdown returns the factor by which the latency of the window lowers the
// limit. It is 1 if the latency is near its baseline, or if the last lowering has
// not helped: then the latency does not come from the concurrency, and the
// lowering is taken back.
func (l *Limit) slowdown() float64 {
	n := float64(l.count - l.failures)
	if n == 0 || l.sum/n <= tolerance {
		l.lowered = 0
		l.futile = false
		return 1
	}
	mean := l.sum / n
	if l.futile && mean < worse*l.lowered {
		return 1
	}
	l.futile = !l.futile && l.lowered > 0 && mean > helped*l.lowered
	if l.futile {
		l.current = min(l.before, float64(l.ceiling))
		return 1
	}
	l.lowered = mean
	l.before = l.current
	return tolerance / mean
}

// ratio returns latency over the baseline, or 1 while the baseline is young.
func (b *baseline) ratio(latency time.Duration) float64 {
	if b.count < window || b.mean <= 0 {
		return 1
	}
	return latency.Seconds() / b.mean
}

// move moves the baseline towards latency by one part in over. A young baseline
// learns faster.
func (b *baseline) move(latency time.Duration, over int) {
	b.count++
	if over == learning {
		over = min(over, b.count)
	}
	b.mean += (latency.Seconds() - b.mean) / float64(over)
}
