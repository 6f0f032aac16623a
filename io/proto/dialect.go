package proto

import (
	"net/http"
	"strconv"
	"time"

	"bulrushlock/core/event"
	"bulrushlock/core/nested"
)

// Dialect maps between HTTP headers and the metadata of requests and responses,
// as callers and backend servers send and expect them. Plain is the native
// dialect.
type Dialect interface {
	// ParseRequest parses the headers of a caller's request. It returns a typed error
	// that names the invalid header.
	ParseRequest(h http.Header) (RequestInfo, error)
	// SetCallerHeader adds the name of the calling service to the headers of a request.
	SetCallerHeader(h http.Header, service string)
	// SetCustomerHeader sets the name of the customer that a request is for. An empty name
	// removes the one that a caller may have sent.
	SetCustomerHeader(h http.Header, customer string)
	// SetLimitHeaders adds the limits of a request to the headers sent to the backend
	// server.
	SetLimitHeaders(h http.Header, limits RequestLimits)
	// ParseResponse parses the metadata in the response of a backend server.
	ParseResponse(status int, h http.Header) ResponseInfo
	// Matches reports whether a response belongs to a request, given the
	// headers of both.
	Matches(request, response http.Header) bool
	// Identifies reports whether a response that matches a request certainly belongs to it,
	// so that a refusal in it is a promise about this request.
	Identifies(request, response http.Header) bool
	// FormatRetryAfter formats a delay as the value of a Retry-After header.
	FormatRetryAfter(after time.Duration) string
}

// RequestInfo is the metadata that a caller sends with its request.
type RequestInfo struct {
	// Name is the request name that the caller chose, or empty.
	Name string
	Call nested.Limits
}

// RequestLimits holds the limits that a backend server must observe for a request.
type RequestLimits struct {
	// ID is the request ID.
	ID   string
	Call nested.Limits
	// TimeLeft is the time left until the caller's deadline.
	TimeLeft time.Duration
	// Incarnation is the only incarnation of the backend server that may run the
	// request. Empty allows any incarnation.
	Incarnation string
}

// ResponseInfo is the metadata that a backend server sends with a response.
type ResponseInfo struct {
	// Declined reports that the backend server did not run the request.
	Declined bool
	// WrongIncarnation reports that the backend server did not run the request because its
	// incarnation is not the requested one.
	WrongIncarnation bool
	// ServerLoad is the load that the backend server reported, or nil.
	ServerLoad *event.ServerLoad
	// Announcement is what the backend server announced about itself.
	Announcement event.Announcement
}

// Plain is the native dialect.
type Plain struct{}

var _ Dialect = Plain{}

// maxIDSize is the maximum size in bytes of a request ID that a caller chooses.
const maxIDSize = 128

// ParseRequest parses the request ID and the call header.
func (Plain) ParseRequest(h http.Header) (RequestInfo, error) {
	id := h.Get(HeaderID)
	if len(id) > maxIDSize {
		return RequestInfo{}, &HeaderError{Name: HeaderID, Text: id[:maxIDSize]}
	}
	call, err := nested.Parse(h.Get(HeaderCall))
	return RequestInfo{Name: id, Call: call}, err
}

// SetCallerHeader does nothing: this dialect does not send the calling service.
func (Plain) SetCallerHeader(http.Header, string) {}

// SetCustomerHeader sets HeaderCustomer.
func (Plain) SetCustomerHeader(h http.Header, customer string) {
	if customer == "" {
		h.Del(HeaderCustomer)
		return
	}
	h.Set(HeaderCustomer, customer)
}

// SetLimitHeaders sets the call header and the request ID.
func (Plain) SetLimitHeaders(h http.Header, limits RequestLimits) {
	h.Set(HeaderCall, limits.Call.NoRetry().String())
	h.Set(HeaderID, limits.ID)
}

// ParseResponse returns the zero value: this dialect relies on the HTTP status alone.
func (Plain) ParseResponse(int, http.Header) ResponseInfo { return ResponseInfo{} }

// Matches compares the request IDs of request and response. A response without one, as
// most backend servers send it, matches the request by its order on the connection.
func (Plain) Matches(request, response http.Header) bool {
	id := response.Get(HeaderID)
	return id == "" || id == request.Get(HeaderID)
}

// Identifies trusts the order on the connection, as most backend servers send no request IDs. No
// connection is used again after a refusal, so that none can be sent once more on it.
func (p Plain) Identifies(request, response http.Header) bool { return p.Matches(request, response) }

// FormatRetryAfter formats a delay in seconds, rounded up.
func (Plain) FormatRetryAfter(after time.Duration) string {
	return strconv.Itoa(int((after + time.Second - 1) / time.Second))
}

// MayRefuse reports whether a response may state that its request did not run.
func MayRefuse(d Dialect, a *http.Response) bool {
	if a.StatusCode < http.StatusBadRequest {
		return false
	}
	info := d.ParseResponse(a.StatusCode, a.Header)
	return info.Declined || info.WrongIncarnation || a.StatusCode == http.StatusServiceUnavailable
}
