package simul

import "time"

const (
	// coldSlots is the capacity, in concurrent requests, of a backend server at a cold
	// start.
	coldSlots = 2
	// warmupRequests is the number of completed requests after which a backend server is
	// warm.
	warmupRequests = 50
	// coldSlowdown is the factor on the service time during a cold start.
	coldSlowdown = 3
	// failureTime is the time after which a failing backend server fails a request.
	failureTime = 200 * time.Microsecond
)

// server simulates a backend server.
type server struct {
	clock   *clock
	slots   int
	running int
	// slowdown is the factor that a fault applies to the service time.
	slowdown float64
	// noise is the factor that a neighbour applies to the service time.
	noise float64
	// failing reports whether the server fails every request.
	failing bool
	// coldAt is the time of the last cold start.
	coldAt time.Duration
	// warmupLeft is the number of requests to complete until the server is warm.
	warmupLeft int
	// peakLoad is the highest ratio of running requests to capacity.
	peakLoad float64
}

// newServer returns a warm server.
func newServer(c *clock, slots int) *server {
	return &server{clock: c, slots: slots, slowdown: 1, noise: 1}
}

// startCold begins a cold start.
func (s *server) startCold() {
	s.warmupLeft = warmupRequests
	s.coldAt = s.clock.now
}

// capacity returns the number of requests that the server can now run concurrently
// without slowing down.
func (s *server) capacity() int {
	return coldSlots + (s.slots-coldSlots)*(warmupRequests-s.warmupLeft)/warmupRequests
}

// start runs a request whose service time on an idle warm server is work. Above its
// capacity the server slows down by the square of the ratio of running requests to
// capacity.
func (s *server) start(work time.Duration, done func(failed bool)) {
	s.running++
	excess := float64(s.running) / float64(s.capacity())
	s.peakLoad = max(s.peakLoad, excess)
	if s.failing {
		s.clock.after(failureTime, func() {
			s.running--
			done(true)
		})
		return
	}
	factor := s.slowdown * s.noise
	if s.warmupLeft > 0 {
		factor *= coldSlowdown
	}
	if excess > 1 {
		factor *= excess * excess
	}
	s.clock.after(time.Duration(float64(work)*factor), func() {
		s.running--
		s.warmupLeft = max(s.warmupLeft-1, 0)
		done(false)
	})
}
