package fake

import (
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// defaultSlowFactor is the factor of the fault slow if the query has none.
const defaultSlowFactor = 10

// fault is a snapshot of all faults of a backend server.
type fault struct {
	slow             int
	crash            bool
	fail             bool
	truncateResponse bool
	dropResponse     bool
	drain            bool
	falseHealth      bool
	extraResponse    bool
	// flood is the kind of endless bytes sent in place of responses, or empty.
	flood         string
	responseDelay time.Duration
	healthLag     time.Duration
	// crashed is closed when the server crashes.
	crashed chan struct{}
}

// faults holds the faults of a backend server for concurrent access.
type faults struct {
	mu      sync.Mutex
	current fault
}

// newFaults returns faults with none set.
func newFaults() *faults {
	return &faults{current: noFault()}
}

// noFault returns the state with no fault set.
func noFault() fault {
	return fault{slow: 1, crashed: make(chan struct{})}
}

// snapshot returns the current faults.
func (f *faults) snapshot() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// update applies a change to the current faults.
func (f *faults) update(change func(*fault)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.current)
}

// SetCold puts the server into a cold start without notice.
func (s *Server) SetCold() { s.counter.startCold() }

// SetSlow multiplies all service times by factor; 1 ends the fault.
func (s *Server) SetSlow(factor int) {
	s.faults.update(func(f *fault) { f.slow = max(factor, 1) })
}

// SetCrash resets the connection of every request in progress and of every new request
// until it is switched off. The server then starts cold, if it has a cold limit.
func (s *Server) SetCrash(on bool) {
	s.faults.update(func(f *fault) {
		if on == f.crash {
			return
		}
		f.crash = on
		if on {
			close(f.crashed)
			return
		}
		f.crashed = make(chan struct{})
		s.counter.startCold()
	})
}

// SetFail makes every request fail immediately with status 500, without running it.
func (s *Server) SetFail(on bool) {
	s.faults.update(func(f *fault) { f.fail = on })
}

// SetTruncateResponse aborts every response halfway, after the request has run.
func (s *Server) SetTruncateResponse(on bool) {
	s.faults.update(func(f *fault) { f.truncateResponse = on })
}

// SetDropResponse resets the connection of every request after the request has run.
func (s *Server) SetDropResponse(on bool) {
	s.faults.update(func(f *fault) { f.dropResponse = on })
}

// SetDrain makes the server report that it is draining. It still runs the requests
// it receives, and its statistics count those that arrive.
func (s *Server) SetDrain(on bool) {
	s.faults.update(func(f *fault) { f.drain = on })
	s.counter.setDraining(on)
}

// SetFalseHealth makes the server report itself warm and idle, regardless of its state.
func (s *Server) SetFalseHealth(on bool) {
	s.faults.update(func(f *fault) { f.falseHealth = on })
}

// SetExtraResponse sends a second, unsolicited response right after every response.
func (s *Server) SetExtraResponse(on bool) {
	s.faults.update(func(f *fault) { f.extraResponse = on })
}

// SetResponseDelay delays every response by d after its request has run.
func (s *Server) SetResponseDelay(d time.Duration) {
	s.faults.update(func(f *fault) { f.responseDelay = d })
}

// SetHealthLag makes the reported health and load up to d old.
func (s *Server) SetHealthLag(d time.Duration) {
	s.faults.update(func(f *fault) { f.healthLag = d })
}

// ClearFaults ends all faults. A cold start continues.
func (s *Server) ClearFaults() {
	s.SetCrash(false)
	s.faults.update(func(f *fault) {
		// Keep the channel: requests in flight wait on it and must see a later crash.
		crashed := f.crashed
		*f = noFault()
		f.crashed = crashed
	})
	s.counter.setDraining(false)
}

// control sets or clears a fault, for example POST /control?fault=slow&factor=10,
// fault=late&time=50ms, fault=flood&kind=head or fault=drain&on=0. The fault none clears all faults.
func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	if err := s.setFault(r.URL.Query()); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// setFault sets or clears the fault that the query names.
func (s *Server) setFault(q url.Values) error {
	on, err := parseOn(q)
	if err != nil {
		return err
	}
	switches := map[string]func(bool){
		"crash": s.SetCrash,
		"fail":  s.SetFail,
		"half":  s.SetTruncateResponse,
		"lost":  s.SetDropResponse,
		"drain": s.SetDrain,
		"lie":   s.SetFalseHealth,
		"extra": s.SetExtraResponse,
	}
	name := q.Get("fault")
	if set, ok := switches[name]; ok {
		set(on)
		return nil
	}
	switch name {
	case "none":
		s.ClearFaults()
		return nil
	case "cold":
		s.SetCold()
		return nil
	case "slow":
		return s.setSlowFactor(q, on)
	case "flood":
		return s.setFlood(q, on)
	case "late":
		return setDuration(q, on, s.SetResponseDelay)
	case "lag":
		return setDuration(q, on, s.SetHealthLag)
	}
	return &ParameterError{Key: "fault", Text: name}
}

// parseOn returns whether the query sets its fault (the default) or clears it.
func parseOn(q url.Values) (bool, error) {
	return parseBool(q, "on", true)
}

// parseBool returns the boolean parameter key of a query, or defaultValue if it is
// absent.
func parseBool(q url.Values, key string, defaultValue bool) (bool, error) {
	text := q.Get(key)
	if text == "" {
		return defaultValue, nil
	}
	on, err := strconv.ParseBool(text)
	if err != nil {
		return false, &ParameterError{Key: key, Text: text}
	}
	return on, nil
}

// setSlowFactor sets the factor of the fault slow.
func (s *Server) setSlowFactor(q url.Values, on bool) error {
	if !on {
		s.SetSlow(1)
		return nil
	}
	text := q.Get("factor")
	if text == "" {
		s.SetSlow(defaultSlowFactor)
		return nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return &ParameterError{Key: "factor", Text: text}
	}
	s.SetSlow(n)
	return nil
}

// setDuration sets the duration of a fault from the parameter time, or 0 if on is false.
func setDuration(q url.Values, on bool, set func(time.Duration)) error {
	if !on {
		set(0)
		return nil
	}
	text := q.Get("time")
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return &ParameterError{Key: "time", Text: text}
	}
	set(d)
	return nil
}

// controlRuns responds with the number of runs of a request.
func (s *Server) controlRuns(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	writeJSON(w, http.StatusOK, struct {
		ID   string `json:"id"`
		Runs int    `json:"runs"`
	}{ID: id, Runs: s.Runs(id)})
}

// controlStats responds with the statistics of the server.
func (s *Server) controlStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}
