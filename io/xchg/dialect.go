package xchg

import (
	"net/http"
	"strconv"
	"time"

	"bulrushlock/core/depth"
	"bulrushlock/core/event"
)

// Dialect is how callers and backend servers put into headers what concerns the
// product. Plain is the product's own one.
type Dialect interface {
	// Ask returns what the headers of a caller's request say of it. It fails with a
	// typed error that names the header which cannot be read.
	Ask(h http.Header) (Ask, error)
	// Mark puts the service on whose instance a request began into its headers.
	Mark(h http.Header, service string)
	// Bind puts the bounds of a request into the headers that its backend server gets.
	Bind(h http.Header, b Bound)
	// Said returns what a backend server's answer says beside its content.
	Said(status int, h http.Header) Said
	// Belongs reports whether an answer belongs to a request, by the headers of both.
	Belongs(request, answer http.Header) bool
	// Retry returns the value of a Retry-After header.
	Retry(after time.Duration) string
}

// Ask is what a caller says of its request.
type Ask struct {
	// Name is the name that the caller gave the request, or empty.
	Name string
	Call depth.Call
}

// Bound limits what a backend server does for a request.
type Bound struct {
	Call depth.Call
	// Left is the time that the caller still waits.
	Left time.Duration
	// Life names the only life of the backend server that may run the request, or is empty.
	Life string
}

// Said is what a backend server says with an answer.
type Said struct {
	// Declined tells that it did not run the request.
	Declined bool
	// Moved tells that it did not run the request as it is another life than the one named.
	Moved bool
	// Sight is the load that it told, or nil.
	Sight *event.Sight
}

// Plain is the product's own dialect.
type Plain struct{}

var _ Dialect = Plain{}

// Ask reads the call that rides on the request of a backend server.
func (Plain) Ask(h http.Header) (Ask, error) {
	call, err := depth.Parse(h.Get(HeaderCall))
	return Ask{Call: call}, err
}

// Mark does nothing: backend servers are not told.
func (Plain) Mark(http.Header, string) {}

// Bind sets the call.
func (Plain) Bind(h http.Header, b Bound) { h.Set(HeaderCall, b.Call.NoRetry().String()) }

// Said returns nothing: a status tells all there is.
func (Plain) Said(int, http.Header) Said { return Said{} }

// Belongs takes every answer for the answer to the request before it.
func (Plain) Belongs(_, _ http.Header) bool { return true }

// Retry returns a time in whole seconds.
func (Plain) Retry(after time.Duration) string {
	return strconv.Itoa(int((after + time.Second - 1) / time.Second))
}
