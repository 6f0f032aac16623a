package stand

import (
	"net/http"
	"sync"
	"time"
)

// States that the health endpoint tells.
const (
	stateWarm     = "warm"
	stateCold     = "cold"
	stateDraining = "draining"
)

// view is what a backend server tells of itself.
type view struct {
	state string
	busy  int
}

// sight keeps the last view, so that health and load can lag.
type sight struct {
	mu    sync.Mutex
	taken time.Time
	last  view
}

// get returns the last view, or a fresh one when the last is older than lag.
func (s *sight) get(now time.Time, lag time.Duration, fresh func() view) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.taken.IsZero() || now.Sub(s.taken) >= lag {
		s.taken = now
		s.last = fresh()
	}
	return s.last
}

// truth returns the view as it is.
func (s *Server) truth(f fault) view {
	c := s.record.stats()
	v := view{state: stateWarm, busy: c.Busy}
	switch {
	case f.drain:
		v.state = stateDraining
	case c.Cold:
		v.state = stateCold
	}
	return v
}

// view returns what the server tells under its faults.
func (s *Server) view(f fault) view {
	if f.lie {
		return view{state: stateWarm}
	}
	return s.sight.get(time.Now(), f.lag, func() view { return s.truth(f) })
}

// health answers with the state, with status 503 while the server drains.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	f := s.faults.now()
	if f.crash {
		reset(w)
		return
	}
	v := s.view(f)
	status := http.StatusOK
	if v.state == stateDraining {
		status = http.StatusServiceUnavailable
	}
	answerJSON(w, status, struct {
		State string `json:"state"`
	}{State: v.state})
}

// load answers with the number of requests that run and the number of slots.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	f := s.faults.now()
	if f.crash {
		reset(w)
		return
	}
	answerJSON(w, http.StatusOK, struct {
		Busy  int `json:"busy"`
		Slots int `json:"slots"`
	}{Busy: s.view(f).busy, Slots: s.options.Slots})
}
