package scene

import "time"

const (
	// coldSlots is the number of requests that a server in cold start bears.
	coldSlots = 2
	// coldWork is the number of completed requests that make a server warm.
	coldWork = 50
	// coldSlowdown is the factor on the service time in cold start.
	coldSlowdown = 3
	// failureTime is the time in which a failing server fails a request.
	failureTime = 200 * time.Microsecond
)

// server is a stand-in for a backend server.
type server struct {
	clock   *clock
	slots   int
	running int
	// slowdown is the factor on the service time that a fault sets.
	slowdown float64
	// noise is the factor on the service time that a neighbour sets.
	noise float64
	// failing tells that the server fails each request at once.
	failing bool
	// coldAt is the time at which the server last turned cold.
	coldAt time.Duration
	// left is the number of requests to complete until the server is warm.
	left int
	// worst is the largest number of running requests over those it bears.
	worst float64
}

// newServer returns a warm server.
func newServer(c *clock, slots int) *server {
	return &server{clock: c, slots: slots, slowdown: 1, noise: 1}
}

// turnCold puts the server into cold start.
func (s *server) turnCold() {
	s.left = coldWork
	s.coldAt = s.clock.now
}

// bears returns the number of requests that the server bears at once now.
func (s *server) bears() int {
	return coldSlots + (s.slots-coldSlots)*(coldWork-s.left)/coldWork
}

// start runs a request whose service time is work on an idle warm server. A
// server that runs more than it bears gets slower by the square of the excess.
func (s *server) start(work time.Duration, done func(failed bool)) {
	s.running++
	excess := float64(s.running) / float64(s.bears())
	s.worst = max(s.worst, excess)
	if s.failing {
		s.clock.after(failureTime, func() {
			s.running--
			done(true)
		})
		return
	}
	factor := s.slowdown * s.noise
	if s.left > 0 {
		factor *= coldSlowdown
	}
	if excess > 1 {
		factor *= excess * excess
	}
	s.clock.after(time.Duration(float64(work)*factor), func() {
		s.running--
		s.left = max(s.left-1, 0)
		done(false)
	})
}
