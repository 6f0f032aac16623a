// Package timing learns the typical service time of each class of requests on one backend
// server, and estimates the current one.
//
// An instance can run all its work several times slower than normal, in periods about as
// long as the work. Service times that are observed in a slow period are corrected for
// it, so that they do not raise the typical service time.
//
// # Usage
//
//	e := timing.New()
//	e.Observe(class, spent, slownessPercent)
//	expected, ok := e.ExpectedTime(class, slownessPercent)
package timing

import "time"

const (
	// weight is the weight of a new sample in the mean of its class.
	weight = 0.1
	// averageCount is the number of samples up to which a mean is the plain average.
	averageCount = 10
	// normalSlowness is the slowness of a backend server at normal speed, in percent.
	normalSlowness = 100
	// slowShare is the share of the excess slowness of a slow period that applies to
	// work which begins in it, since the period may end before the work does.
	slowShare = 0.65
	// shortShare is the service time of a class, as a multiple of that of the slowest
	// class, up to which its work is short. shortMeanShare is the same limit as a
	// multiple of the time-weighted mean of all work, so that one rare class of long
	// work does not make all others short.
	shortShare     = 0.5
	shortMeanShare = 0.75
	// unknownTargetParts is the divisor of the latency target that estimates the service
	// time of an unknown class.
	unknownTargetParts = 3
	// maxClasses is the maximum number of remembered classes.
	maxClasses = 4096
)

// Estimator holds the typical service times of classes. It is not safe for concurrent use.
type Estimator struct {
	classes map[int]*mean
	all     mean
	// meanSquare is the moving mean of the squared service times, in seconds squared.
	meanSquare float64
}

// mean is a moving mean of service times.
type mean struct {
	time  time.Duration
	count int
}

// add moves the mean towards d.
func (m *mean) add(d time.Duration) {
	m.count++
	w := max(weight, 1/float64(m.count))
	if m.count > averageCount {
		w = weight
	}
	m.time += time.Duration(w * float64(d-m.time))
}

// New returns an Estimator without samples.
func New() *Estimator { return &Estimator{classes: make(map[int]*mean)} }

// Slowdown returns the factor on the service time of work that begins at the given
// slowness in percent. A slowness of 0 means that none was reported.
func Slowdown(slownessPercent int) float64 {
	return 1 + slowShare*(float64(max(slownessPercent, normalSlowness))/normalSlowness-1)
}

// Observe records that work of a class took the time spent, and began at the given
// slowness in percent.
func (e *Estimator) Observe(class int, spent time.Duration, slownessPercent int) {
	d := time.Duration(float64(spent) / Slowdown(slownessPercent))
	m, ok := e.classes[class]
	if !ok {
		if len(e.classes) >= maxClasses {
			clear(e.classes)
		}
		m = &mean{}
		e.classes[class] = m
	}
	m.add(d)
	e.all.add(d)
	w := max(weight, 1/float64(e.all.count))
	e.meanSquare += w * (d.Seconds()*d.Seconds() - e.meanSquare)
}

// ExpectedTime returns the expected service time of a class for work that begins at the
// given slowness in percent. It reports false if the class is unknown.
func (e *Estimator) ExpectedTime(class, slownessPercent int) (time.Duration, bool) {
	m, ok := e.classes[class]
	if !ok {
		return 0, false
	}
	return time.Duration(float64(m.time) * Slowdown(slownessPercent)), true
}

// TypicalTime returns the service time of a class at normal speed. For an unknown class
// it is a fixed share of the latency target.
func (e *Estimator) TypicalTime(class int, target time.Duration) time.Duration {
	if d, ok := e.ExpectedTime(class, 0); ok {
		return d
	}
	return target / unknownTargetParts
}

// Mean returns the expected service time over all classes for work that begins at the
// given slowness in percent.
func (e *Estimator) Mean(slownessPercent int) time.Duration {
	return time.Duration(float64(e.all.time) * Slowdown(slownessPercent))
}

// IsShort reports whether the work of a class takes much less time than that of others.
func (e *Estimator) IsShort(class int) bool {
	m, ok := e.classes[class]
	if !ok || e.all.time <= 0 {
		return false
	}
	longest := time.Duration(0)
	for _, o := range e.classes {
		longest = max(longest, o.time)
	}
	weighted := e.meanSquare / e.all.time.Seconds()
	return float64(m.time) <= shortShare*float64(longest) && m.time.Seconds() <= shortMeanShare*weighted
}
