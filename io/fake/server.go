package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// defaultSlots is the number of slots if the options have none.
	defaultSlots = 10
	// defaultWarmupRequests is the number of completed requests that end a cold start
	// if the options have none.
	defaultWarmupRequests = 20
	// overloadFactor multiplies the service time while a server is overloaded in a cold
	// start.
	overloadFactor = 10
)

// ServerOptions configure a backend server. The zero value is a warm server with
// ten slots that responds without delay.
type ServerOptions struct {
	// Name is the server name in the responses.
	Name string
	// Slots is the maximum number of requests that run at once.
	Slots int
	// Queue is the maximum number of requests that wait for a slot; further ones are shed.
	Queue int
	// ColdLimit is the number of requests that a cold server can run at once; 0 means
	// that the server is never cold.
	ColdLimit int
	// WarmupRequests is the number of completed requests that end a cold start.
	WarmupRequests int
	// ServiceTime is the service time of a request without the header Work.
	ServiceTime time.Duration
}

// Echo is the JSON body of a response. It repeats the request, so that a response
// delivered to the wrong caller is detected.
type Echo struct {
	// Server is the name of the backend server that ran the request.
	Server string `json:"server"`
	// Method is the method of the request.
	Method string `json:"method"`
	// Path is the path of the request including its query.
	Path string `json:"path"`
	// ID is the request ID.
	ID string `json:"id"`
	// Length is the length of the request body in bytes.
	Length int64 `json:"length"`
	// Sum is the SHA-256 hash of the request body in hexadecimal.
	Sum string `json:"sum"`
	// Customer is the name of the customer that the request is for.
	Customer string `json:"customer,omitempty"`
	// HasCredential reports that the request bears a credential.
	HasCredential bool `json:"credential,omitempty"`
}

// Server is a fake of a backend server.
type Server struct {
	options ServerOptions
	slots   chan struct{}
	counter *requestCounter
	faults  *faults
	reports *reportCache
	mux     *http.ServeMux
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a backend server. It starts cold if o.ColdLimit is above 0.
func NewServer(o ServerOptions) *Server {
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.WarmupRequests <= 0 {
		o.WarmupRequests = defaultWarmupRequests
	}
	s := &Server{
		options: o,
		slots:   make(chan struct{}, o.Slots),
		counter: newRequestCounter(o.ColdLimit, o.WarmupRequests),
		faults:  newFaults(),
		reports: &reportCache{},
		mux:     http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /health", s.health)
	s.mux.HandleFunc("GET /load", s.load)
	s.mux.HandleFunc("POST /control", s.control)
	s.mux.HandleFunc("GET /control/runs", s.controlRuns)
	s.mux.HandleFunc("GET /control/stats", s.controlStats)
	s.mux.HandleFunc("/", s.handleWork)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Runs returns the number of runs of the request with the given ID.
func (s *Server) Runs(id string) int { return s.counter.runCount(id) }

// TotalRuns returns the number of requests that ran.
func (s *Server) TotalRuns() int { return s.counter.stats().Total }

// Peak returns the maximum number of requests that ran at once.
func (s *Server) Peak() int { return s.counter.stats().Peak }

// PeakCold returns the maximum number of requests that ran at once in a cold start.
func (s *Server) PeakCold() int { return s.counter.stats().PeakCold }

// Stats returns the statistics of the server.
func (s *Server) Stats() Stats { return s.counter.stats() }

// requestID returns the ID of a request from the header Id or X-Request-Id.
func requestID(r *http.Request) string {
	if id := r.Header.Get("Id"); id != "" {
		return id
	}
	return r.Header.Get("X-Request-Id")
}

// handleWork runs a request once a slot is free, or sheds it if the queue is full.
func (s *Server) handleWork(w http.ResponseWriter, r *http.Request) {
	f := s.faults.snapshot()
	s.counter.arrive()
	if f.crash {
		resetConnection(w)
		return
	}
	if f.fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if !s.counter.admit(s.options.Slots + s.options.Queue) {
		w.Header().Set("Shed", "yes")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer s.counter.release()
	// A request runs only after its whole body was read. Only from then on does
	// net/http detect that the caller has disconnected.
	e, err := s.echo(r)
	if err != nil {
		http.Error(w, "cannot read request body", http.StatusBadRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-f.crashed:
		resetConnection(w)
		return
	}
	defer func() { <-s.slots }()
	s.run(w, r, e)
}

// echo reads the body of a request and returns the echo of the request.
func (s *Server) echo(r *http.Request) (Echo, error) {
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	return Echo{
		Server: s.options.Name,
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		ID:     requestID(r),
		Length: n,
		Sum:    hex.EncodeToString(h.Sum(nil)),

		Customer:      r.Header.Get("Bulrushlock-Customer"),
		HasCredential: r.Header.Get("Authorization") != "",
	}, err
}

// run runs a request that holds a slot and responds to it.
func (s *Server) run(w http.ResponseWriter, r *http.Request, e Echo) {
	f := s.faults.snapshot()
	overloaded := s.counter.begin(e.ID)
	completed := false
	defer func() { s.counter.end(completed) }()
	if !s.wait(w, r, f, s.serviceTime(r, f, overloaded)) {
		return
	}
	if f.dropResponse {
		resetConnection(w)
		return
	}
	if !s.wait(w, r, f, f.responseDelay) {
		return
	}
	completed = true
	s.respond(w, r, f, e)
}

// serviceTime returns the time that a request takes to run.
func (s *Server) serviceTime(r *http.Request, f fault, overloaded bool) time.Duration {
	t := s.options.ServiceTime
	if d, err := time.ParseDuration(r.Header.Get("Work")); err == nil && d >= 0 {
		t = d
	}
	if overloaded {
		t *= overloadFactor
	}
	return t * time.Duration(f.slow)
}

// wait waits for d. It returns false if the caller disconnects or the server crashes
// first.
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
		resetConnection(w)
		return false
	}
}

// respond writes the export or the echo that the request asks for.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, f fault, e Echo) {
	w.Header().Set("Server-Name", s.options.Name)
	if r.Method == http.MethodGet && strings.Contains(r.URL.Path, "/export") && f.flood == "" {
		s.export(w, r, f, e.ID)
		return
	}
	if f.flood != "" {
		// The kind was checked when the fault was set.
		_ = Flood(w, f.flood)
		return
	}
	if f.truncateResponse {
		truncateResponse(w)
	}
	if f.extraResponse {
		s.respondTwice(w, e)
		return
	}
	writeJSON(w, http.StatusOK, e)
}

// truncateResponse sends the first part of a chunked response and aborts it.
func truncateResponse(w http.ResponseWriter) {
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, `{"server":`)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
