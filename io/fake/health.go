package fake

import (
	"net/http"
	"sync"
	"time"
)

// States reported by the health endpoint.
const (
	stateWarm     = "warm"
	stateCold     = "cold"
	stateDraining = "draining"
)

// healthReport is the health and load that a backend server reports.
type healthReport struct {
	state string
	busy  int
}

// reportCache holds the last report, so that health and load can lag behind.
type reportCache struct {
	mu     sync.Mutex
	readAt time.Time
	last   healthReport
}

// get returns the cached report, or calls fresh if that is at least lag old.
func (s *reportCache) get(now time.Time, lag time.Duration, fresh func() healthReport) healthReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readAt.IsZero() || now.Sub(s.readAt) >= lag {
		s.readAt = now
		s.last = fresh()
	}
	return s.last
}

// actualHealth returns the actual state and number of running requests.
func (s *Server) actualHealth(f fault) healthReport {
	c := s.counter.stats()
	v := healthReport{state: stateWarm, busy: c.Busy}
	switch {
	case f.drain:
		v.state = stateDraining
	case c.Cold:
		v.state = stateCold
	}
	return v
}

// reportedHealth returns the health that the server reports, which the faults lie and lag
// alter.
func (s *Server) reportedHealth(f fault) healthReport {
	if f.falseHealth {
		return healthReport{state: stateWarm}
	}
	return s.reports.get(time.Now(), f.healthLag, func() healthReport { return s.actualHealth(f) })
}

// health responds with the state, and with status 503 if that is draining.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	f := s.faults.snapshot()
	if f.crash {
		resetConnection(w)
		return
	}
	if f.flood != "" {
		_ = Flood(w, f.flood)
		return
	}
	v := s.reportedHealth(f)
	status := http.StatusOK
	if v.state == stateDraining {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, struct {
		State string `json:"state"`
	}{State: v.state})
}

// load responds with the number of running requests and the number of slots.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	f := s.faults.snapshot()
	if f.crash {
		resetConnection(w)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Busy  int `json:"busy"`
		Slots int `json:"slots"`
	}{Busy: s.reportedHealth(f).busy, Slots: s.options.Slots})
}
