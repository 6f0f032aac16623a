// Package usual learns how long the work of each class of requests usually takes on
// one backend server, and what it takes at this moment.
//
// It answers machines that slow all their work several times, in stretches that
// are about as long as the work: what is learned in a slow stretch must not be
// taken for the usual.
//
// # Usage
//
//	u := usual.New()
//	u.Learn(class, spent, slow)
//	takes, ok := u.Takes(class, slow)
package usual

import "time"

const (
	// weight is the weight of a new time in the mean of its class.
	weight = 0.1
	// young is the number of times over which a mean is the plain average.
	young = 10
	// usualSlow is the slowness of a backend server that works as usual, in percent.
	usualSlow = 100
	// lasting is the share of a slow stretch's slowness that work has to expect which
	// begins within it: a stretch ends while the work goes on.
	lasting = 0.65
	// shortShare is the time of a class, in times of the longest class, up to which its
	// work is short, and shareOfMean that in times of the mean of all work weighted by
	// time: one rare class of long work does not make all the rest short.
	shortShare  = 0.5
	shareOfMean = 0.75
	// unknownParts is the number of parts of its aim of which work is expected to take one
	// where nothing is known of its class.
	unknownParts = 3
	// mostClasses is the number of classes that are remembered.
	mostClasses = 4096
)

// Usual holds the usual times of classes. It is not safe for use by several
// goroutines at once.
type Usual struct {
	classes map[int]*mean
	all     mean
	// squares is the moving mean of the squares of all times, in seconds squared.
	squares float64
}

// mean is a moving mean of times.
type mean struct {
	time  time.Duration
	count int
}

// add moves the mean towards d.
func (m *mean) add(d time.Duration) {
	m.count++
	w := max(weight, 1/float64(m.count))
	if m.count > young {
		w = weight
	}
	m.time += time.Duration(w * float64(d-m.time))
}

// New returns a Usual that has learned nothing.
func New() *Usual { return &Usual{classes: make(map[int]*mean)} }

// Stretch returns the factor on the time of work that begins while the backend
// server is as slow as given in percent; 0 stands for one that does not tell.
func Stretch(slow int) float64 {
	return 1 + lasting*(float64(max(slow, usualSlow))/usualSlow-1)
}

// Learn takes in that work of a class took the time spent, and began while the
// backend server was as slow as given in percent.
func (u *Usual) Learn(class int, spent time.Duration, slow int) {
	d := time.Duration(float64(spent) / Stretch(slow))
	m, ok := u.classes[class]
	if !ok {
		if len(u.classes) >= mostClasses {
			clear(u.classes)
		}
		m = &mean{}
		u.classes[class] = m
	}
	m.add(d)
	u.all.add(d)
	w := max(weight, 1/float64(u.all.count))
	u.squares += w * (d.Seconds()*d.Seconds() - u.squares)
}

// Takes returns the time that work of a class is expected to take if it begins now.
// It is false where nothing is known of the class.
func (u *Usual) Takes(class, slow int) (time.Duration, bool) {
	m, ok := u.classes[class]
	if !ok {
		return 0, false
	}
	return time.Duration(float64(m.time) * Stretch(slow)), true
}

// Usually returns the time that work of a class takes on a backend server that works as
// usual, or a part of its aim where nothing is known of the class.
func (u *Usual) Usually(class int, aim time.Duration) time.Duration {
	if d, ok := u.Takes(class, 0); ok {
		return d
	}
	return aim / unknownParts
}

// Mean returns the time that work of any class is expected to take if it begins now.
func (u *Usual) Mean(slow int) time.Duration {
	return time.Duration(float64(u.all.time) * Stretch(slow))
}

// IsShort reports whether the work of a class takes much less time than the rest.
func (u *Usual) IsShort(class int) bool {
	m, ok := u.classes[class]
	if !ok || u.all.time <= 0 {
		return false
	}
	longest := time.Duration(0)
	for _, o := range u.classes {
		longest = max(longest, o.time)
	}
	weighted := u.squares / u.all.time.Seconds()
	return float64(m.time) <= shortShare*float64(longest) && m.time.Seconds() <= shareOfMean*weighted
}
