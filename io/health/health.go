// Package health checks the health of a backend server and reads its load.
//
// The result may be out of date or wrong, so users of this package must treat it as a hint.
//
// # Usage
//
//	c := health.NewHTTP(address, http.DefaultClient)
//	r, err := c.Check(ctx, "")
//	if err == nil && r.State == health.Draining {
//		return drain()
//	}
package health

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"bulrushlock/core/event"
)

// maxResponseSize is the size in bytes of the largest response of a health or load endpoint.
const maxResponseSize = 64 << 10

// State is the state that a backend server reports.
type State int

// The states of a backend server.
const (
	// Unknown means that the backend server did not report a state.
	Unknown State = iota
	// Warm means that the backend server can take full load.
	Warm
	// Cold means that the backend server is in cold start.
	Cold
	// Draining means that the backend server accepts no new work.
	Draining
	// Failing means that the backend server is unhealthy or leaving; which one is not reported.
	Failing
)

// stateNames maps the state names of the health endpoint to states.
var stateNames = map[string]State{
	"warm":     Warm,
	"cold":     Cold,
	"draining": Draining,
}

// String returns the name of s at the health endpoint, or "unknown".
func (s State) String() string {
	for word, state := range stateNames {
		if state == s {
			return word
		}
	}
	return "unknown"
}

// Result is the result of one health check.
type Result struct {
	State State
	// Running is the number of running requests; it is 0 if the load was not read.
	Running int
	// Queued is the number of requests that are queued in the backend server.
	Queued int
	// Slots is the number of requests that can run at once; it is 0 if the load was not read.
	Slots int
	// SlowPercent is the present service time in percent of the typical service time, or 0 if not
	// reported.
	SlowPercent int
	// Incarnation identifies the incarnation of the backend server, or is empty.
	Incarnation string
	// ColdLeft is the remaining time of the cold start, if reported.
	ColdLeft time.Duration
	// Announcement is what the backend server announced about itself.
	Announcement event.Announcement
}

// Checker checks the health of one backend server.
type Checker interface {
	// Check reads the state that the backend server reports at the health endpoint path, or at
	// the default path if path is empty. It fails with an *UnreachableError or a
	// *ResponseError.
	Check(ctx context.Context, path string) (Result, error)
}

// UnreachableError reports that the backend server sent no complete response.
type UnreachableError struct {
	Address netip.AddrPort
	Cause   error
}

// Error returns a message that names the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("backend server at %s cannot be reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// ResponseError reports an invalid response of the backend server.
type ResponseError struct {
	Address netip.AddrPort
	// Status is the HTTP status of the response.
	Status int
	// Problem describes what is wrong with the response.
	Problem string
}

// Error returns a message that names the address, the status and the problem.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("backend server at %s returned status %d: %s", e.Address, e.Status, e.Problem)
}

// HTTP checks the health of a backend server over HTTP.
type HTTP struct {
	address   netip.AddrPort
	client    *http.Client
	readsLoad bool
}

var _ Checker = (*HTTP)(nil)

// Option configures an HTTP.
type Option func(*HTTP)

// WithLoad makes each health check read the load endpoint too.
func WithLoad() Option {
	return func(h *HTTP) { h.readsLoad = true }
}

// NewHTTP returns a health checker for the backend server at address that sends its
// requests through c. Without options it reads only the health endpoint.
func NewHTTP(address netip.AddrPort, c *http.Client, options ...Option) *HTTP {
	h := &HTTP{address: address, client: c}
	for _, o := range options {
		o(h)
	}
	return h
}

// defaultHealthPath is the path of the health endpoint if the rules set none.
const defaultHealthPath = "/health"

// Check reads the health endpoint at path, and the load endpoint if WithLoad was given. It
// fails with an *UnreachableError or a *ResponseError.
func (h *HTTP) Check(ctx context.Context, path string) (Result, error) {
	if path == "" {
		path = defaultHealthPath
	}
	state, err := h.readHealth(ctx, path)
	if err != nil {
		return Result{}, fmt.Errorf("read health: %w", err)
	}
	result := Result{State: state}
	if !h.readsLoad {
		return result, nil
	}
	l, err := h.readLoad(ctx)
	if err != nil {
		return Result{}, fmt.Errorf("read load: %w", err)
	}
	result.Running, result.Slots = *l.Busy, *l.Slots
	return result, nil
}

// readHealth reads the health endpoint, which responds with status 503 while the backend
// server drains.
func (h *HTTP) readHealth(ctx context.Context, path string) (State, error) {
	var response struct {
		State string `json:"state"`
	}
	status, err := h.read(ctx, path, &response)
	if err != nil {
		return Unknown, err
	}
	if status != http.StatusOK && status != http.StatusServiceUnavailable {
		return Unknown, h.responseError(status, "unexpected status")
	}
	state, ok := stateNames[response.State]
	if !ok {
		return Unknown, h.responseError(status, fmt.Sprintf("unknown state %q", response.State))
	}
	return state, nil
}

// loadResponse is the response of the load endpoint.
type loadResponse struct {
	Busy  *int `json:"busy"`
	Slots *int `json:"slots"`
}

// readLoad reads the load endpoint.
func (h *HTTP) readLoad(ctx context.Context) (loadResponse, error) {
	var l loadResponse
	status, err := h.read(ctx, "/load", &l)
	if err != nil {
		return loadResponse{}, err
	}
	if status != http.StatusOK {
		return loadResponse{}, h.responseError(status, "unexpected status")
	}
	if l.Busy == nil || l.Slots == nil || *l.Busy < 0 || *l.Slots < 0 {
		return loadResponse{}, h.responseError(status, "busy and slots must be non-negative numbers")
	}
	return l, nil
}

// read sends one request and decodes its response into v. It returns the HTTP status.
func (h *HTTP) read(ctx context.Context, path string, v any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.address.String()+path, http.NoBody)
	if err != nil {
		return 0, &UnreachableError{Address: h.address, Cause: err}
	}
	response, err := h.client.Do(request)
	if err != nil {
		return 0, &UnreachableError{Address: h.address, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1))
	if err != nil {
		return 0, &UnreachableError{Address: h.address, Cause: err}
	}
	if len(text) > maxResponseSize {
		return 0, h.responseError(response.StatusCode, fmt.Sprintf("response is larger than %d bytes", maxResponseSize))
	}
	if err := json.Unmarshal(text, v); err != nil {
		return 0, h.responseError(response.StatusCode, err.Error())
	}
	return response.StatusCode, nil
}

// responseError returns the error for an invalid response.
func (h *HTTP) responseError(status int, problem string) error {
	return &ResponseError{Address: h.address, Status: status, Problem: problem}
}
