package event

import (
	"net/netip"
	"time"

	"bulrushlock/core/allot"
	"bulrushlock/core/nested"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
)

// Request reports that a caller sent a request to this entry.
type Request struct {
	At time.Time
	// ID is the number of the request at this entry.
	ID uint64
	// Name is the name that the caller gave the request, or empty.
	Name   string
	Method string
	// Host is the host that the request is for, without a port.
	Host string
	Path string
	// Size is the length of the body in bytes, or -1 if it is unknown.
	Size int64
	// SingleUseBody is set if the body cannot be sent a second time.
	SingleUseBody bool
	// Key is the Idempotency-Key of the request, or empty.
	Key string
	// FirstUse is set if the caller states that it has not sent the key before.
	FirstUse bool
	// Credential is the digest of the credential that the caller sent, or empty.
	Credential string
	// Ticket identifies the attempt whose outcome the caller queries, or is nil.
	Ticket *ticket.Ticket
	Call   nested.Limits
	// Waited is the time from the arrival of the head to At: that for which the body was read, or
	// the request waited for those before it on its connection.
	Waited time.Duration
	Random uint64
}

// Time returns the time of the event.
func (e Request) Time() time.Time { return e.At }

// Verdict is the result of an exchange with a guard.
type Verdict uint8

// The results of an exchange with a guard.
const (
	// Ran means that the attempt ran. At the end of an exchange it also means that the guard
	// returned the response of its backend server.
	Ran Verdict = iota
	// NotRun means that the guard reported that the attempt did not run and never will.
	NotRun
	// Unsent means that no byte of the attempt left the entry.
	Unsent
	// Running means that the attempt, or another one with the same idempotency key, is still
	// running.
	Running
	// Unknown means that the guard cannot tell whether the attempt ran.
	Unknown
	// Broken means that the exchange ended without a response of the guard.
	Broken
	// Expired means that the deadline of the request passed before the guard responded.
	Expired
)

// String returns the name of the verdict in lower case.
func (v Verdict) String() string {
	names := [...]string{"ran", "not-run", "unsent", "running", "unknown", "broken", "expired"}
	if int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// AttemptEnded reports how the exchange of an attempt ended.
type AttemptEnded struct {
	At      time.Time
	ID      uint64
	Ticket  ticket.Ticket
	Verdict Verdict
	// Reason is the guard's reason for rejecting the attempt.
	Reason string
	// Guard is the current incarnation of the node that responded; it is zero if none did.
	Guard ticket.NodeID
	// Load is the load that the guard reported, or nil.
	Load *report.Load
	// Status is the HTTP status of the backend server's response.
	Status int
	// Latency is the time from sending the attempt to receiving the response header.
	Latency time.Duration
	// Size is the length in bytes of the body of the response, or -1 if it is unknown.
	Size int64
	// BodyUnread is set if the body can be sent only once, no byte of it was read, and the attempt
	// cannot read it anymore.
	BodyUnread bool
	Random     uint64
}

// Time returns the time of the event.
func (e AttemptEnded) Time() time.Time { return e.At }

// OutcomeReported reports the result of a query to a guard that voids an attempt or looks up its
// outcome.
type OutcomeReported struct {
	At      time.Time
	ID      uint64
	Ticket  ticket.Ticket
	Verdict Verdict
	// ResponseStored is set if the guard still stores the response.
	ResponseStored bool
	Random         uint64
}

// Time returns the time of the event.
func (e OutcomeReported) Time() time.Time { return e.At }

// HedgeDelayPassed reports that the hedge delay of a request has passed.
type HedgeDelayPassed struct {
	At     time.Time
	ID     uint64
	Random uint64
}

// Time returns the time of the event.
func (e HedgeDelayPassed) Time() time.Time { return e.At }

// CandidatesProbed reports the results of the load probes for a request. It omits guards that
// did not respond in time.
type CandidatesProbed struct {
	At     time.Time
	ID     uint64
	Loads  []LoadReported
	Random uint64
}

// Time returns the time of the event.
func (e CandidatesProbed) Time() time.Time { return e.At }

// TokensAsked reports that a peer asks this node for tokens of a customer's limit.
type TokensAsked struct {
	At time.Time
	// Number and ReplyTo identify the ask and its sender for the response.
	Number  uint64
	ReplyTo netip.AddrPort
	// Peer is the name of the instance that asks.
	Peer     string
	Customer string
	Shard    int
	Count    int
	// Centres is the number of data centres that the peer knows.
	Centres int
}

// Time returns the time of the event.
func (e TokensAsked) Time() time.Time { return e.At }

// TokensAnswered reports the response to an AskTokens effect, or that there was none in time.
type TokensAnswered struct {
	At     time.Time
	Answer allot.Answer
	// Centres is the number of data centres that the owner knows.
	Centres int
	Random  uint64
}

// Time returns the time of the event.
func (e TokensAnswered) Time() time.Time { return e.At }

// RequestEnded reports that a request has ended at the entry: its response was sent or its
// caller disconnected.
type RequestEnded struct {
	At time.Time
	ID uint64
}

// Time returns the time of the event.
func (e RequestEnded) Time() time.Time { return e.At }

// LoadReported reports the load that a peer returned to a probe.
type LoadReported struct {
	At    time.Time
	Guard ticket.NodeID
	Load  report.Load
	// Priority is the one whose wait time Load holds, or 0 if it is that of the whole queue.
	Priority int
}

// Time returns the time of the event.
func (e LoadReported) Time() time.Time { return e.At }
