package stand

import (
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// defaultSlow is the factor of the fault slow when the query gives none.
const defaultSlow = 10

// fault is the state of all faults of a backend server at one moment.
type fault struct {
	slow  int
	crash bool
	fail  bool
	half  bool
	lost  bool
	drain bool
	lie   bool
	extra bool
	late  time.Duration
	lag   time.Duration
	// crashed is closed when the server crashes.
	crashed chan struct{}
}

// faults guards the faults of a backend server.
type faults struct {
	mu      sync.Mutex
	current fault
}

// newFaults returns faults of which none is set.
func newFaults() *faults {
	return &faults{current: noFault()}
}

// noFault returns the state without any fault.
func noFault() fault {
	return fault{slow: 1, crashed: make(chan struct{})}
}

// now returns the state of the faults.
func (f *faults) now() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// change changes the state of the faults.
func (f *faults) change(by func(*fault)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	by(&f.current)
}

// SetCold puts the server into a cold start without a warning.
func (s *Server) SetCold() { s.record.chill() }

// SetSlow makes all work take factor times as long; 1 ends the fault.
func (s *Server) SetSlow(factor int) {
	s.faults.change(func(f *fault) { f.slow = max(factor, 1) })
}

// SetCrash resets every connection that has a request, and each new one, until
// it is switched off. The server then starts cold.
func (s *Server) SetCrash(on bool) {
	s.faults.change(func(f *fault) {
		if on == f.crash {
			return
		}
		f.crash = on
		if on {
			close(f.crashed)
			return
		}
		f.crashed = make(chan struct{})
		s.record.chill()
	})
}

// SetFail makes every request fail at once with status 500, before it runs.
func (s *Server) SetFail(on bool) {
	s.faults.change(func(f *fault) { f.fail = on })
}

// SetHalf cuts every answer in its middle, after the request ran.
func (s *Server) SetHalf(on bool) {
	s.faults.change(func(f *fault) { f.half = on })
}

// SetLost resets the connection of every request after the request ran.
func (s *Server) SetLost(on bool) {
	s.faults.change(func(f *fault) { f.lost = on })
}

// SetDrain makes the server say that it drains. It still runs what it gets, and
// its statistics count what arrives.
func (s *Server) SetDrain(on bool) {
	s.faults.change(func(f *fault) { f.drain = on })
	s.record.drain(on)
}

// SetLie makes the health say warm and the load say idle, whatever is true.
func (s *Server) SetLie(on bool) {
	s.faults.change(func(f *fault) { f.lie = on })
}

// SetExtra sends a second answer, which nobody asked for, right after every answer.
func (s *Server) SetExtra(on bool) {
	s.faults.change(func(f *fault) { f.extra = on })
}

// SetLate holds every answer back by d after its request ran.
func (s *Server) SetLate(d time.Duration) {
	s.faults.change(func(f *fault) { f.late = d })
}

// SetLag makes the health and the load up to d old.
func (s *Server) SetLag(d time.Duration) {
	s.faults.change(func(f *fault) { f.lag = d })
}

// Clear ends all faults; a cold start goes on.
func (s *Server) Clear() {
	s.SetCrash(false)
	s.faults.change(func(f *fault) {
		// Requests in flight wait for the channel that a later crash closes.
		crashed := f.crashed
		*f = noFault()
		f.crashed = crashed
	})
	s.record.drain(false)
}

// control changes a fault: POST /control?fault=slow&factor=10, fault=late&time=50ms,
// fault=drain&on=0. The fault none ends all of them.
func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	if err := s.setFault(r.URL.Query()); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// setFault changes the fault that a query names.
func (s *Server) setFault(q url.Values) error {
	on, err := readOn(q)
	if err != nil {
		return err
	}
	switches := map[string]func(bool){
		"crash": s.SetCrash,
		"fail":  s.SetFail,
		"half":  s.SetHalf,
		"lost":  s.SetLost,
		"drain": s.SetDrain,
		"lie":   s.SetLie,
		"extra": s.SetExtra,
	}
	name := q.Get("fault")
	if set, ok := switches[name]; ok {
		set(on)
		return nil
	}
	switch name {
	case "none":
		s.Clear()
		return nil
	case "cold":
		s.SetCold()
		return nil
	case "slow":
		return s.controlSlow(q, on)
	case "late":
		return controlTime(q, on, s.SetLate)
	case "lag":
		return controlTime(q, on, s.SetLag)
	}
	return &ControlError{Key: "fault", Text: name}
}

// readOn returns whether a query switches its fault on, which is the default.
func readOn(q url.Values) (bool, error) {
	return readBool(q, "on", true)
}

// readBool reads a truth value of a query.
func readBool(q url.Values, key string, missing bool) (bool, error) {
	text := q.Get(key)
	if text == "" {
		return missing, nil
	}
	on, err := strconv.ParseBool(text)
	if err != nil {
		return false, &ControlError{Key: key, Text: text}
	}
	return on, nil
}

// controlSlow sets the factor of the fault slow.
func (s *Server) controlSlow(q url.Values, on bool) error {
	if !on {
		s.SetSlow(1)
		return nil
	}
	text := q.Get("factor")
	if text == "" {
		s.SetSlow(defaultSlow)
		return nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return &ControlError{Key: "factor", Text: text}
	}
	s.SetSlow(n)
	return nil
}

// controlTime sets the time of a fault.
func controlTime(q url.Values, on bool, set func(time.Duration)) error {
	if !on {
		set(0)
		return nil
	}
	text := q.Get("time")
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return &ControlError{Key: "time", Text: text}
	}
	set(d)
	return nil
}

// controlRuns answers how often a request ran.
func (s *Server) controlRuns(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	answerJSON(w, http.StatusOK, struct {
		ID   string `json:"id"`
		Runs int    `json:"runs"`
	}{ID: id, Runs: s.Runs(id)})
}

// controlStats answers with the counts.
func (s *Server) controlStats(w http.ResponseWriter, _ *http.Request) {
	answerJSON(w, http.StatusOK, s.Stats())
}
