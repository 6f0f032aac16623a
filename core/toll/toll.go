// Package toll estimates what it costs to send a request to another data centre: the time
// over the link, and its bytes at the price that operators set.
//
// It answers a fleet whose data centres are several milliseconds apart and whose routes
// differ in size by orders of magnitude: a constant share of the service time is too high
// for long work with short responses, and too low for short work with long ones.
//
// Nested calls add nothing. A backend server sends them through the node on its own
// instance, which selects again, and its own data centre first.
//
// # Usage
//
//	t := toll.New(1600 * time.Millisecond) // the waiting that a megabyte is worth
//	t.ObserveRoundTrip("north", roundTrip)
//	t.ObserveResponse(class, responseBytes)
//	cost := t.Cost(class, requestBytes, "north", "south")
//	onTheWay := t.Time("north", "south")
package toll

import (
	"maps"
	"time"
)

const (
	// weight is the weight of a new sample in a mean.
	weight = 0.1
	// averageCount is the number of samples up to which a mean is the plain average.
	averageCount = 10
	// maxClasses is the maximum number of classes whose responses are remembered.
	maxClasses = 4096
	// headBytes is the size of the heads of an attempt and of its response.
	headBytes = 1500
	// unknownTime is the additional time over a link whose round trips were not measured.
	unknownTime = 10 * time.Millisecond
	// megabyte is the unit of the price.
	megabyte = 1e6
)

// Toll holds the price and the measured link times and response sizes. It is not safe for
// concurrent use.
type Toll struct {
	price      time.Duration
	roundTrips map[string]*mean
	responses  map[int]*mean
}

// mean is a moving mean.
type mean struct {
	value float64
	count int
}

// add moves the mean towards x.
func (m *mean) add(x float64) {
	m.count++
	w := weight
	if m.count <= averageCount {
		w = 1 / float64(m.count)
	}
	m.value += w * (x - m.value)
}

// New returns a Toll without measurements. The price is the waiting time that is as bad as
// one megabyte sent to another data centre.
func New(price time.Duration) *Toll {
	return &Toll{price: price, roundTrips: make(map[string]*mean), responses: make(map[int]*mean)}
}

// ObserveRoundTrip records the time from a load probe to the response of a guard in the given
// data centre.
func (t *Toll) ObserveRoundTrip(centre string, spent time.Duration) {
	m, ok := t.roundTrips[centre]
	if !ok {
		m = &mean{}
		t.roundTrips[centre] = m
	}
	m.add(spent.Seconds())
}

// ObserveResponse records the size in bytes of a response to a request of a class.
func (t *Toll) ObserveResponse(class int, size int64) {
	m, ok := t.responses[class]
	if !ok {
		if len(t.responses) >= maxClasses {
			clear(t.responses)
		}
		m = &mean{}
		t.responses[class] = m
	}
	m.add(float64(size))
}

// Retain drops the measurements of data centres for which isListed returns false.
func (t *Toll) Retain(isListed func(centre string) bool) {
	maps.DeleteFunc(t.roundTrips, func(centre string, _ *mean) bool { return !isListed(centre) })
}

// Cost returns the waiting time that must be saved to send a request of a class with a body
// of size bytes from the data centre home to another one.
func (t *Toll) Cost(class int, size int64, home, centre string) time.Duration {
	return t.Time(home, centre) + time.Duration(t.bytes(class, size)/megabyte*float64(t.price))
}

// bytes returns the expected number of bytes of an attempt and its response.
func (t *Toll) bytes(class int, size int64) float64 {
	sum := headBytes + float64(max(size, 0))
	if m, ok := t.responses[class]; ok {
		sum += m.value
	}
	return sum
}

// Time returns by how much a round trip to a data centre takes longer than one within the data
// centre home.
func (t *Toll) Time(home, centre string) time.Duration {
	m, ok := t.roundTrips[centre]
	if !ok {
		return unknownTime
	}
	spent := m.value
	if h, ok := t.roundTrips[home]; ok {
		spent -= h.value
	}
	return max(time.Duration(spent*float64(time.Second)), 0)
}
