package event

import (
	"time"

	"bulrushlock/core/ticket"
	"bulrushlock/core/view"
)

// Attempt reports that an attempt arrived at this guard.
type Attempt struct {
	At     time.Time
	Ticket ticket.Ticket
	// Arrival is the number of this arrival at the guard; an attempt that arrives twice has two numbers.
	Arrival    uint64
	Idempotent bool
	Priority   int
	// Class groups attempts of similar cost, so that their latencies are comparable.
	Class int
	// TimeLeft is the time left until the deadline of the caller.
	TimeLeft time.Duration
	// TargetLeft is the time left until the latency target; 0 if the route sets none.
	TargetLeft time.Duration
	// Nested is set if a running request depends on this one.
	Nested bool
	// Name is the name that the caller gave the request, or empty.
	Name string
	// Customer is the name of the customer that the request is for, or empty.
	Customer string
	// Key is the Idempotency-Key that this guard must own, or empty.
	Key string
	// FirstUse is set if the caller states that it has not sent the key before.
	FirstUse bool
	// Rules is the version of the rules that the entry used for the attempt.
	Rules view.Version
	// RateLimit is the limit of the backend server in requests per second that the entry knows
	// from earlier responses, or 0.
	RateLimit float64
}

// Time returns the time of the event.
func (e Attempt) Time() time.Time { return e.At }

// SenderDisconnected reports that the sender of an attempt queued at this guard has disconnected.
type SenderDisconnected struct {
	At      time.Time
	Arrival uint64
}

// Time returns the time of the event.
func (e SenderDisconnected) Time() time.Time { return e.At }

// QueueTimedOut reports that the Timeout of the StartQueueTimer effect of an attempt has passed.
type QueueTimedOut struct {
	At      time.Time
	Arrival uint64
}

// Time returns the time of the event.
func (e QueueTimedOut) Time() time.Time { return e.At }

// Failure is the way in which an exchange with the backend server failed, or None.
type Failure uint8

// The ways in which an exchange with the backend server ends.
const (
	// None means that the backend server sent its full response.
	None Failure = iota
	// Refused means that no connection was established, so nothing ran.
	Refused
	// Shed means that the backend server rejected the request before it ran.
	Shed
	// Declined means that the backend server reported that it did not run the request.
	Declined
	// Reset means that the connection broke after bytes were written.
	Reset
	// WrongIncarnation means that another incarnation of the backend server was at the address, so nothing ran.
	WrongIncarnation
	// Cancelled means that the sender disconnected while the request was running.
	Cancelled
)

// String returns the name of the failure as logs show it.
func (f Failure) String() string {
	names := [...]string{"none", "refused", "shed", "declined", "reset", "moved", "cancelled"}
	if int(f) >= len(names) {
		return "invalid"
	}
	return names[f]
}

// ExchangeEnded reports that the exchange of an admitted attempt with the backend server has ended.
type ExchangeEnded struct {
	At      time.Time
	Arrival uint64
	Failure Failure
	// Status is the HTTP status of the response.
	Status int
	// Latency is the time from sending the request to receiving the response header.
	Latency time.Duration
	// Response is the full response if it is small enough to be stored, or nil.
	Response *StoredResponse
	// ServerLoad is the load report in the response, or nil.
	ServerLoad *ServerLoad
}

// Time returns the time of the event.
func (e ExchangeEnded) Time() time.Time { return e.At }

// StoredResponse is a full response of a backend server that is stored for replay to a caller
// that sends its request again or queries its outcome.
type StoredResponse struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// OutcomeQueried reports that an entry queries the outcome of an attempt.
type OutcomeQueried struct {
	At     time.Time
	Ticket ticket.Ticket
	// Query is the number of the query at this guard.
	Query uint64
	// Key is the idempotency key of the attempt, or empty. If another attempt with
	// the key is running or has run, the response is about that one.
	Key string
	// Void is set if the query also voids the attempt: if it has not run yet, it must never run.
	Void bool
}

// Time returns the time of the event.
func (e OutcomeQueried) Time() time.Time { return e.At }

// ServerState is the state that a backend server reports.
type ServerState uint8

// The states of a backend server.
const (
	Warm ServerState = iota
	Cold
	Draining
	Unreachable
	// Failing is a backend server that reports itself unhealthy or leaving, without saying which.
	Failing
)

// ServerLoad is the load that a backend server reports.
type ServerLoad struct {
	// Busy is the number of running requests.
	Busy int
	// Queued is the number of requests queued in the backend server.
	Queued int
	// Slots is the number of requests that can run concurrently.
	Slots int
	// Slow is the current service time in percent of the typical one, or 0 if it is not reported.
	Slow int
}

// Announcement is what a backend server announces about itself in a response.
type Announcement struct {
	// RateLimit is the number of requests per second that it takes, if IsLimited is set.
	RateLimit float64
	IsLimited bool
	// Leaving means that it is about to end and takes no new requests.
	Leaving bool
	// Malformed is the text of an announcement that cannot be parsed, or empty. IsLimitMalformed
	// means that it is that of a limit.
	Malformed        string
	IsLimitMalformed bool
}

// ServerAnnounced reports the announcement in the header of a response of the local backend
// server.
type ServerAnnounced struct {
	At time.Time
	// SentAt is the time at which the request was sent.
	SentAt       time.Time
	Announcement Announcement
}

// Time returns the time of the event.
func (e ServerAnnounced) Time() time.Time { return e.At }

// HealthChecked reports the result of a health check of the local backend server.
type HealthChecked struct {
	At    time.Time
	State ServerState
	// Refused means that nothing listens at the address of the backend server.
	Refused bool
	// Incarnation is the incarnation of the backend server that responded, or empty.
	Incarnation string
	// ColdLeft is the time that the backend server stays cold, if it reports one.
	ColdLeft time.Duration
	// ServerLoad is the load report in the health check, or nil.
	ServerLoad *ServerLoad
	// Announcement is what the backend server announced in the response.
	Announcement Announcement
}

// Time returns the time of the event.
func (e HealthChecked) Time() time.Time { return e.At }

// LoadRequested reports that a peer requests the load of this guard.
type LoadRequested struct {
	At    time.Time
	Query uint64
}

// Time returns the time of the event.
func (e LoadRequested) Time() time.Time { return e.At }
