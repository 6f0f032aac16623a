// Package serve looks at the health and the load of a backend server.
//
// What a look tells may lag or mislead, so it is a hint and never a promise.
//
// # Usage
//
//	l := serve.NewHTTP(address, http.DefaultClient)
//	s, err := l.Look(ctx)
//	if err == nil && s.State == serve.Draining {
//		return leave()
//	}
package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// largest is the largest answer of a health or load endpoint in bytes.
const largest = 64 << 10

// State is what a backend server says of itself.
type State int

// States of a backend server.
const (
	// Unknown is the state of a backend server that did not tell.
	Unknown State = iota
	// Warm tells that the backend server bears full load.
	Warm
	// Cold tells that the backend server is in cold start.
	Cold
	// Draining tells that the backend server takes no new work.
	Draining
	// Failing tells that the backend server is unfit or leaves, without saying which.
	Failing
)

// states are the words of the health endpoint.
var states = map[string]State{
	"warm":     Warm,
	"cold":     Cold,
	"draining": Draining,
}

// String returns the word of the health endpoint for s.
func (s State) String() string {
	for word, state := range states {
		if state == s {
			return word
		}
	}
	return "unknown"
}

// Sight is what one look at a backend server told.
type Sight struct {
	State State
	// Busy is the number of requests that run; it is 0 when the load was not asked for.
	Busy int
	// Queued is the number of requests that wait in the backend server.
	Queued int
	// Slots is the number of requests that can run at once; it is 0 when the load was not asked for.
	Slots int
	// Slow is the time that work takes now, in percent of the usual, or 0 where it is not told.
	Slow int
	// Life names the life of the backend server, or is empty.
	Life string
	// ColdLeft is the time for which the backend server stays cold, where it tells that.
	ColdLeft time.Duration
}

// Looker looks at one backend server.
type Looker interface {
	// Look returns what the backend server says of itself now at the path of its
	// health endpoint, or at the usual one where path is empty. It fails with an
	// *UnreachableError or an *AnswerError.
	Look(ctx context.Context, path string) (Sight, error)
}

// UnreachableError tells that no whole answer came from the backend server.
type UnreachableError struct {
	Address netip.AddrPort
	Cause   error
}

// Error names the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("backend server at %s cannot be reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// AnswerError tells that the backend server gave an answer that cannot be read.
type AnswerError struct {
	Address netip.AddrPort
	// Status is the status of the answer.
	Status int
	// Problem says what is wrong with the answer.
	Problem string
}

// Error names the address, the status and the problem.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("backend server at %s answered with status %d: %s", e.Address, e.Status, e.Problem)
}

// HTTP looks at a backend server over HTTP.
type HTTP struct {
	address netip.AddrPort
	client  *http.Client
	load    bool
}

var _ Looker = (*HTTP)(nil)

// Option changes what a look reads.
type Option func(*HTTP)

// WithLoad makes each look read the load endpoint too.
func WithLoad() Option {
	return func(h *HTTP) { h.load = true }
}

// NewHTTP returns a looker at the backend server at address that sends through c.
// Its looks read the health endpoint alone unless an option says more.
func NewHTTP(address netip.AddrPort, c *http.Client, options ...Option) *HTTP {
	h := &HTTP{address: address, client: c}
	for _, o := range options {
		o(h)
	}
	return h
}

// usualPath is the path of the health endpoint where the rules name none.
const usualPath = "/health"

// Look returns what the backend server says of itself now.
func (h *HTTP) Look(ctx context.Context, path string) (Sight, error) {
	if path == "" {
		path = usualPath
	}
	state, err := h.health(ctx, path)
	if err != nil {
		return Sight{}, fmt.Errorf("look at health: %w", err)
	}
	s := Sight{State: state}
	if !h.load {
		return s, nil
	}
	l, err := h.busy(ctx)
	if err != nil {
		return Sight{}, fmt.Errorf("look at load: %w", err)
	}
	s.Busy, s.Slots = *l.Busy, *l.Slots
	return s, nil
}

// health reads the health endpoint, which answers 503 while it drains.
func (h *HTTP) health(ctx context.Context, path string) (State, error) {
	var answer struct {
		State string `json:"state"`
	}
	status, err := h.read(ctx, path, &answer)
	if err != nil {
		return Unknown, err
	}
	if status != http.StatusOK && status != http.StatusServiceUnavailable {
		return Unknown, h.bad(status, "the status is not expected")
	}
	state, ok := states[answer.State]
	if !ok {
		return Unknown, h.bad(status, fmt.Sprintf("state %q is not known", answer.State))
	}
	return state, nil
}

// load is the answer of the load endpoint.
type load struct {
	Busy  *int `json:"busy"`
	Slots *int `json:"slots"`
}

// busy reads the load endpoint.
func (h *HTTP) busy(ctx context.Context) (load, error) {
	var l load
	status, err := h.read(ctx, "/load", &l)
	if err != nil {
		return load{}, err
	}
	if status != http.StatusOK {
		return load{}, h.bad(status, "the status is not expected")
	}
	if l.Busy == nil || l.Slots == nil || *l.Busy < 0 || *l.Slots < 0 {
		return load{}, h.bad(status, "busy and slots must be numbers from 0")
	}
	return l, nil
}

// read sends one request and decodes its answer into v.
func (h *HTTP) read(ctx context.Context, path string, v any) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.address.String()+path, http.NoBody)
	if err != nil {
		return 0, &UnreachableError{Address: h.address, Cause: err}
	}
	a, err := h.client.Do(r)
	if err != nil {
		return 0, &UnreachableError{Address: h.address, Cause: err}
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(a.Body, largest+1))
	if err != nil {
		return 0, &UnreachableError{Address: h.address, Cause: err}
	}
	if len(text) > largest {
		return 0, h.bad(a.StatusCode, fmt.Sprintf("the answer is larger than %d bytes", largest))
	}
	if err := json.Unmarshal(text, v); err != nil {
		return 0, h.bad(a.StatusCode, err.Error())
	}
	return a.StatusCode, nil
}

// bad returns the error of an answer that cannot be read.
func (h *HTTP) bad(status int, problem string) error {
	return &AnswerError{Address: h.address, Status: status, Problem: problem}
}
