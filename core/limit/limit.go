// Package limit adapts a backend server's concurrency limit to its current capacity.
//
// A Limit compares the latency of each request with a slow-moving baseline of
// its class, so that routes of different cost do not affect each other. It
// evaluates windows of several requests. The limit falls if more requests fail
// than normal, or if the mean latency of a window is far above the baseline. If
// lowering it for latency does not reduce the latency, the lowering is undone. In
// normal windows it rises towards its ceiling.
//
// # Usage
//
//	l := limit.New(10)
//	l.Observe(now, class, latency, inFlight, failed)
//	if inFlight < l.Limit() {
//		forward()
//	}
//
// A Limit is not safe for concurrent use.
package limit

import "time"

const (
	// windowSize is the number of requests that are evaluated together.
	windowSize = 20
	// windowMaxAge is the age above which an unfinished window is discarded.
	windowMaxAge = 10 * time.Second
	// tolerance is the mean latency, as a multiple of the baseline, above which the limit
	// falls.
	tolerance = 2.0
	// failureTolerance is the difference from the normal failure rate above which the
	// limit falls.
	failureTolerance = 0.2
	// minFactor is the smallest factor by which one window multiplies the limit.
	minFactor = 0.5
	// baselineSpan is the number of requests over which a baseline moves.
	baselineSpan = 1000
	// elevatedSpan replaces baselineSpan while the latency is far above the baseline.
	elevatedSpan = 10_000
	// ineffectiveSpan replaces baselineSpan while the latency is far above the baseline
	// and a lower limit has not reduced it.
	ineffectiveSpan = 200
	// effectiveFactor is the factor on the latency up to which a lower limit counts
	// as effective.
	effectiveFactor = 0.8
	// worseFactor is the factor on the latency from which the limit falls again after
	// a lower limit was ineffective.
	worseFactor = 1.5
	// improvedSpan replaces baselineSpan while the latency is far below the baseline.
	improvedSpan = 50
	// improvedFactor is the mean latency, as a multiple of the baseline, below which the
	// baseline moves over improvedSpan requests.
	improvedFactor = 0.6
	// jumpSpan is the number of requests over which the moving mean that detects a jump
	// moves.
	jumpSpan = 8
	// jumpStart and jumpEnd are the latencies, as multiples of the baseline, at which a
	// jump starts and ends.
	jumpStart = 4.0
	jumpEnd   = 2.0
)

// Limit is an adaptive concurrency limit, from 1 to a ceiling.
type Limit struct {
	ceiling     int
	current     float64
	classes     map[int]*baseline
	failureRate float64 // The normal failure rate.
	recentRatio float64 // The moving mean of the ratio of latency to baseline.
	jumped      bool
	loweredMean float64 // The mean ratio of the window that last lowered the limit, or 0.
	limitBefore float64 // The limit before it was last lowered.
	ineffective bool    // The last lowering was ineffective and was undone.
	skip        int     // The number of requests to skip because they began at a higher limit.

	windowStart time.Time
	count       int
	failures    int
	ratioSum    float64
	maxInFlight int
}

// baseline is the typical latency of one class, in seconds.
type baseline struct {
	mean  float64
	count int
}

// New returns a Limit at its ceiling. A ceiling below 1 counts as 1.
func New(ceiling int) *Limit {
	ceiling = max(ceiling, 1)
	return &Limit{
		ceiling:     ceiling,
		current:     float64(ceiling),
		classes:     make(map[int]*baseline),
		recentRatio: 1,
	}
}

// Observe records a request that ended at now. The class is that of its route, and
// inFlight is the number of requests in flight when it ended, including itself.
func (l *Limit) Observe(now time.Time, class int, latency time.Duration, inFlight int, failed bool) {
	if l.count == 0 || now.Sub(l.windowStart) > windowMaxAge {
		l.reset(now)
	}
	l.maxInFlight = max(l.maxInFlight, inFlight)
	ratio := 1.0
	if !failed {
		ratio = l.updateBaseline(class, latency)
	}
	if l.skip > 0 {
		l.skip--
		return
	}
	l.count++
	if failed {
		l.failures++
	} else {
		l.ratioSum += ratio
	}
	if l.count >= windowSize {
		l.adjust()
		l.reset(now)
	}
}

// Limit returns the current concurrency limit.
func (l *Limit) Limit() int {
	return min(max(int(l.current), 1), l.ceiling)
}

// LatencyJumped reports whether the latency has jumped, as in a cold start. It stays true
// until the latency is near its baseline again.
func (l *Limit) LatencyJumped() bool { return l.jumped }

// Resize changes the ceiling. A limit at the old ceiling moves to the new one.
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
	l.windowStart = now
	l.count = 0
	l.failures = 0
	l.ratioSum = 0
	l.maxInFlight = 0
}

// updateBaseline moves the baseline of class towards latency and updates the jump
// detection. It returns the ratio of latency to baseline.
func (l *Limit) updateBaseline(class int, latency time.Duration) float64 {
	b := l.classes[class]
	if b == nil {
		b = &baseline{mean: latency.Seconds()}
		l.classes[class] = b
	}
	ratio := b.ratio(latency)
	l.recentRatio += (ratio - l.recentRatio) / jumpSpan
	switch {
	case l.recentRatio > jumpStart:
		l.jumped = true
	case l.recentRatio < jumpEnd:
		l.jumped = false
	}
	b.update(latency, l.smoothingRequests())
	return ratio
}

// smoothingRequests returns the number of requests over which a baseline is currently
// smoothed.
func (l *Limit) smoothingRequests() int {
	switch {
	case l.recentRatio > tolerance && l.ineffective:
		return ineffectiveSpan
	case l.recentRatio > tolerance:
		return elevatedSpan
	case l.recentRatio < improvedFactor:
		return improvedSpan
	}
	return baselineSpan
}

// adjust lowers or raises the limit after a full window.
func (l *Limit) adjust() {
	failed := float64(l.failures) / float64(l.count)
	factor := l.latencyFactor()
	if failed > l.failureRate+failureTolerance {
		factor = min(factor, 1-failed)
	}
	l.failureRate += (failed - l.failureRate) * windowSize / baselineSpan
	if factor < 1 {
		l.skip = l.maxInFlight
		l.current = max(l.current*max(factor, minFactor), 1)
		return
	}
	if l.ineffective {
		return
	}
	step := 1.0
	if 2*l.maxInFlight >= l.Limit() {
		step = max(step, l.current/4)
	}
	l.current = min(l.current+step, float64(l.ceiling))
}

// latencyFactor returns the factor by which the latency of the window multiplies the
// limit. It is 1 if the latency is near its baseline. It is also 1 if the last lowering
// was ineffective: the latency then does not depend on the concurrency, and the lowering
// is undone.
func (l *Limit) latencyFactor() float64 {
	n := float64(l.count - l.failures)
	if n == 0 || l.ratioSum/n <= tolerance {
		l.loweredMean = 0
		l.ineffective = false
		return 1
	}
	mean := l.ratioSum / n
	if l.ineffective && mean < worseFactor*l.loweredMean {
		return 1
	}
	l.ineffective = !l.ineffective && l.loweredMean > 0 && mean > effectiveFactor*l.loweredMean
	if l.ineffective {
		l.current = min(l.limitBefore, float64(l.ceiling))
		return 1
	}
	l.loweredMean = mean
	l.limitBefore = l.current
	return tolerance / mean
}

// ratio returns latency as a multiple of the baseline, or 1 while the baseline has
// fewer than windowSize samples.
func (b *baseline) ratio(latency time.Duration) float64 {
	if b.count < windowSize || b.mean <= 0 {
		return 1
	}
	return latency.Seconds() / b.mean
}

// update moves the baseline towards latency by 1/requests of the difference. While the
// baseline has few samples, it moves faster.
func (b *baseline) update(latency time.Duration, requests int) {
	b.count++
	if requests == baselineSpan {
		requests = min(requests, b.count)
	}
	b.mean += (latency.Seconds() - b.mean) / float64(requests)
}
