package stand

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// defaultSlots is the number of slots when the options give none.
	defaultSlots = 10
	// defaultWarm is the number of completed requests that end a cold start.
	defaultWarm = 20
	// overload is the factor by which work slows down under too much load in cold start.
	overload = 10
)

// ServerOptions describe a backend server. The zero value is a warm server with
// ten slots that works without delay.
type ServerOptions struct {
	// Name is the name that the answers carry.
	Name string
	// Slots is the number of requests that run at once.
	Slots int
	// Queue is the number of requests that wait for a slot before more are shed.
	Queue int
	// Cold is the number of requests that a cold server bears at once; 0 means
	// that the server is never cold.
	Cold int
	// Warm is the number of completed requests that end a cold start.
	Warm int
	// Time is the service time of a request without the header Work.
	Time time.Duration
}

// Echo is the body of an answer. It repeats the request, so that an answer that
// reached another caller is detected.
type Echo struct {
	// Server is the name of the backend server that ran the request.
	Server string `json:"server"`
	// Method is the method of the request.
	Method string `json:"method"`
	// Path is the path of the request with its query.
	Path string `json:"path"`
	// ID is the identity of the request.
	ID string `json:"id"`
	// Length is the length of the request body in bytes.
	Length int64 `json:"length"`
	// Sum is the SHA-256 of the request body in hexadecimal.
	Sum string `json:"sum"`
}

// Server is a stand-in for a backend server.
type Server struct {
	options ServerOptions
	slots   chan struct{}
	record  *record
	faults  *faults
	sight   *sight
	mux     *http.ServeMux
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a backend server, which is cold when o.Cold is not 0.
func NewServer(o ServerOptions) *Server {
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.Warm <= 0 {
		o.Warm = defaultWarm
	}
	s := &Server{
		options: o,
		slots:   make(chan struct{}, o.Slots),
		record:  newRecord(o.Cold, o.Warm),
		faults:  newFaults(),
		sight:   &sight{},
		mux:     http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /health", s.health)
	s.mux.HandleFunc("GET /load", s.load)
	s.mux.HandleFunc("POST /control", s.control)
	s.mux.HandleFunc("GET /control/runs", s.controlRuns)
	s.mux.HandleFunc("GET /control/stats", s.controlStats)
	s.mux.HandleFunc("/", s.work)
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Runs returns how often the request with this identity ran.
func (s *Server) Runs(id string) int { return s.record.runsOf(id) }

// Total returns how many requests ran.
func (s *Server) Total() int { return s.record.stats().Total }

// Peak returns the most requests that ran at once.
func (s *Server) Peak() int { return s.record.stats().Peak }

// PeakCold returns the most requests that ran at once in a cold start.
func (s *Server) PeakCold() int { return s.record.stats().PeakCold }

// Stats returns the counts of the server.
func (s *Server) Stats() Stats { return s.record.stats() }

// identity returns the identity that a request carries.
func identity(r *http.Request) string {
	if id := r.Header.Get("Id"); id != "" {
		return id
	}
	return r.Header.Get("X-Request-Id")
}

// work sheds a request, or runs it when a slot is free.
func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	f := s.faults.now()
	s.record.arrive()
	if f.crash {
		reset(w)
		return
	}
	if f.fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if !s.record.enter(s.options.Slots + s.options.Queue) {
		w.Header().Set("Shed", "yes")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer s.record.leave()
	// Only a request whose body was read whole runs, and net/http notices that a
	// caller is gone only after that.
	e, err := s.echo(r)
	if err != nil {
		http.Error(w, "body cannot be read", http.StatusBadRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-f.crashed:
		reset(w)
		return
	}
	defer func() { <-s.slots }()
	s.run(w, r, e)
}

// echo reads the body of a request and returns what the answer repeats.
func (s *Server) echo(r *http.Request) (Echo, error) {
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	return Echo{
		Server: s.options.Name,
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		ID:     identity(r),
		Length: n,
		Sum:    hex.EncodeToString(h.Sum(nil)),
	}, err
}

// run runs a request that has a slot and answers it.
func (s *Server) run(w http.ResponseWriter, r *http.Request, e Echo) {
	f := s.faults.now()
	overloaded := s.record.begin(e.ID)
	completed := false
	defer func() { s.record.end(completed) }()
	if !s.wait(w, r, f, s.serviceTime(r, f, overloaded)) {
		return
	}
	if f.lost {
		reset(w)
		return
	}
	if !s.wait(w, r, f, f.late) {
		return
	}
	completed = true
	s.answer(w, r, f, e)
}

// serviceTime returns how long a request runs.
func (s *Server) serviceTime(r *http.Request, f fault, overloaded bool) time.Duration {
	t := s.options.Time
	if d, err := time.ParseDuration(r.Header.Get("Work")); err == nil && d >= 0 {
		t = d
	}
	if overloaded {
		t *= overload
	}
	return t * time.Duration(f.slow)
}

// wait passes d. It returns false when the caller is gone or the server crashed.
func (s *Server) wait(w http.ResponseWriter, r *http.Request, f fault, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	case <-f.crashed:
		reset(w)
		return false
	}
}

// answer writes the export or the echo that a request asked for.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, f fault, e Echo) {
	w.Header().Set("Server-Name", s.options.Name)
	if r.Method == http.MethodGet && strings.Contains(r.URL.Path, "/export") {
		s.export(w, r, f, e.ID)
		return
	}
	if f.half {
		cut(w)
	}
	if f.extra {
		s.answerTwice(w, e)
		return
	}
	answerJSON(w, http.StatusOK, e)
}

// cut sends the first part of a chunked answer and breaks off.
func cut(w http.ResponseWriter) {
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, `{"server":`)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
