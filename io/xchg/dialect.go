package xchg

import (
	"net/http"
	"strconv"
	"time"

	"bulrushlock/core/depth"
	"bulrushlock/core/event"
)

// Dialect maps between HTTP headers and the metadata of requests and responses,
// as callers and backend servers send and expect them. Plain is the native
// dialect.
type Dialect interface {
	// Ask parses the headers of a caller's request. It returns a typed error
	// that names the invalid header.
	Ask(h http.Header) (Ask, error)
	// Mark adds the name of the calling service to the headers of a request.
	Mark(h http.Header, service string)
	// Bind adds the limits of a request to the headers sent to the backend
	// server.
	Bind(h http.Header, b Bound)
	// Said parses the metadata in the response of a backend server.
	Said(status int, h http.Header) Said
	// Belongs reports whether a response belongs to a request, given the
	// headers of both.
	Belongs(request, answer http.Header) bool
	// Retry formats a delay as the value of a Retry-After header.
	Retry(after time.Duration) string
}

// Ask is the metadata that a caller sends with its request.
type Ask struct {
	// Name is the request name that the caller chose, or empty.
	Name string
	Call depth.Limits
}

// Bound holds the limits that a backend server must observe for a request.
type Bound struct {
	Call depth.Limits
	// Left is the time left until the caller's deadline.
	Left time.Duration
	// Life is the only incarnation of the backend server that may run the
	// request. Empty allows any incarnation.
	Life string
}

// Said is the metadata that a backend server sends with a response.
type Said struct {
	// Declined reports that the backend server did not run the request.
	Declined bool
	// Moved reports that the backend server did not run the request because its
	// incarnation is not the requested one.
	Moved bool
	// Sight is the load that the backend server reported, or nil.
	Sight *event.ServerLoad
}

// Plain is the native dialect.
type Plain struct{}

var _ Dialect = Plain{}

// Ask parses the call header.
func (Plain) Ask(h http.Header) (Ask, error) {
	call, err := depth.Parse(h.Get(HeaderCall))
	return Ask{Call: call}, err
}

// Mark does nothing: this dialect does not send the calling service.
func (Plain) Mark(http.Header, string) {}

// Bind sets the call header.
func (Plain) Bind(h http.Header, b Bound) { h.Set(HeaderCall, b.Call.NoRetry().String()) }

// Said returns the zero value: this dialect relies on the HTTP status alone.
func (Plain) Said(int, http.Header) Said { return Said{} }

// Belongs always returns true: responses match requests by their order on the
// connection.
func (Plain) Belongs(_, _ http.Header) bool { return true }

// Retry formats a delay in seconds, rounded up.
func (Plain) Retry(after time.Duration) string {
	return strconv.Itoa(int((after + time.Second - 1) / time.Second))
}
