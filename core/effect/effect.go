// Package effect defines the effects that the reducer of a node returns. Each
// effect is a message that requests an action from the code around the reducer,
// which performs the I/O.
//
// # Usage
//
//	for _, e := range n.Step(ev, nil) {
//		switch e := e.(type) {
//		case effect.Forward:
//			send(e)
//		}
//	}
package effect

import (
	"net/netip"
	"time"

	"bulrushlock/core/allot"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/nested"
	"bulrushlock/core/report"
	"bulrushlock/core/rules"
	"bulrushlock/core/ticket"
)

// Effect is one of the message types of this package.
type Effect any

// Outcome is the result of a request as reported to the caller.
type Outcome uint8

// The outcomes of a request.
const (
	// Run means that the request ran and that the full response follows.
	Run Outcome = iota
	// NotRun means that the request did not run and never will; it is safe to retry.
	NotRun
	// Unknown means that the request may have run.
	Unknown
	// Running means that the request is still running; query its outcome again later.
	Running
)

// String returns the outcome as it is sent in the HTTP header.
func (o Outcome) String() string {
	switch o {
	case Run:
		return "run"
	case NotRun:
		return "not-run"
	case Running:
		return "running"
	case Unknown:
	}
	return "unknown"
}

// Reason says why a request or an attempt got no response from a backend server.
type Reason string

// The reasons that are reported to callers and entries.
const (
	ReasonRoute        Reason = "route"      // no rule matches the method and path
	ReasonCredential   Reason = "credential" // no customer holds the credential of the request
	ReasonAllotment    Reason = "allotment"  // the customer has used up its limit
	ReasonOwners       Reason = "owners"     // no node that lends tokens of the customer's limit responds
	ReasonBody         Reason = "body"       // the body is larger than its rule allows
	ReasonKind         Reason = "kind"       // the route is of a kind that the node does not know
	ReasonMemory       Reason = "memory"     // the bodies of uploads take all the memory that they may
	ReasonRules        Reason = "rules"      // the node has not loaded any rules yet
	ReasonDepth        Reason = "depth"      // the calls are nested too deeply
	ReasonDeadline     Reason = "deadline"   // the time left is too short or used up
	ReasonServers      Reason = "servers"    // no backend server of the service is available for an attempt
	ReasonOverloaded   Reason = "busy"       // the guard has no capacity for more work
	ReasonShed         Reason = "shed"       // the backend server itself rejected the request
	ReasonLeaving      Reason = "leaving"    // the instance is leaving
	ReasonUnlisted     Reason = "unlisted"   // the instance is not in the instance list
	ReasonOutOfService Reason = "out"        // the rules take the data centre or the instance out of service
	ReasonAddress      Reason = "address"    // the attempt is addressed to another instance or service
	ReasonIncarnation  Reason = "life"       // the attempt is addressed to another incarnation of the node
	ReasonStale        Reason = "old"        // the node's view may be stale and nothing has confirmed it
	ReasonVoid         Reason = "void"       // the attempt was voided before it arrived
	ReasonDuplicate    Reason = "repeat"     // the attempt is a duplicate of one that has arrived
	ReasonLost         Reason = "lost"       // the record of the attempt is lost
	ReasonKey          Reason = "key"        // the owner of the idempotency key cannot know whether the request ran
	ReasonBroken       Reason = "broken"     // the connection broke during the exchange
	ReasonServer       Reason = "server"     // the backend server was unreachable or refused the connection
	ReasonDisconnected Reason = "gone"       // the sender disconnected
)

// ProbeCandidates probes the loads of a few guards. A CandidatesProbed event follows as soon as
// the probes end.
type ProbeCandidates struct {
	ID    uint64
	Peers []fleet.Instance
	// Priority is that of the request. Guards report the wait time of its rank.
	Priority int
}

// AskTokens asks the owner of a part of a customer's limit for tokens. A TokensAnswered event
// follows within milliseconds, also if there is no response.
type AskTokens struct {
	Ask allot.Ask
	// Centres is the number of data centres that this node knows.
	Centres int
}

// LendTokens is the response to a TokensAsked event.
type LendTokens struct {
	Number uint64
	To     netip.AddrPort
	Grant  allot.Grant
	// Centres is the number of data centres that this node knows.
	Centres int
}

// BroadcastVersions sends the versions that this node holds to many peers. It expects no response.
type BroadcastVersions struct {
	Peers    []fleet.Instance
	Versions event.Versions
	// Relay makes the peers pass the versions on to other nodes.
	Relay bool
}

// Forward sends an attempt of a request to a guard.
type Forward struct {
	ID     uint64
	Ticket ticket.Ticket
	Peer   fleet.Instance
	Route  rules.Route
	Call   nested.Limits
	Class  int
	// Customer is the name of the customer that the request is for, or empty.
	Customer string
	// WithholdCredential is set if the rules have customers, so that neither the credential nor
	// a customer that the caller names is passed on.
	WithholdCredential bool
	Key                string
	FirstUse           bool
	Versions           event.Versions
	// Local is set if the guard belongs to this node.
	Local bool
	// HedgeDelay is the delay after which a HedgeDelayPassed event is due; 0 requests none.
	HedgeDelay time.Duration
	// TargetLeft is the time left until the latency target; 0 if the route sets none.
	TargetLeft time.Duration
	// Nested is set if a running request depends on this one.
	Nested bool
	// RateLimit is the limit of the backend server in requests per second that the entry knows
	// from earlier responses, or 0.
	RateLimit float64
}

// RelayResponse passes the response of an attempt to the caller.
type RelayResponse struct {
	ID     uint64
	Ticket ticket.Ticket
}

// ReplyFromEntry sends the caller a response that does not come from a backend server.
type ReplyFromEntry struct {
	ID      uint64
	Outcome Outcome
	Reason  Reason
	// Ticket identifies the last attempt of the request; it is nil if there was none.
	Ticket *ticket.Ticket
	// RetryAfter is the Retry-After delay; 0 if it is unknown.
	RetryAfter time.Duration
}

// Cancel aborts an attempt whose response is no longer needed.
type Cancel struct {
	ID     uint64
	Ticket ticket.Ticket
}

// QueryOutcome queries a guard for the outcome of an attempt. If Void is set, it also voids the attempt.
type QueryOutcome struct {
	ID     uint64
	Ticket ticket.Ticket
	Peer   fleet.Instance
	// Key is the idempotency key of the attempt, or empty.
	Key  string
	Void bool
	// Delay is the delay before the query is sent.
	Delay time.Duration
	// Timeout limits the time until the response, from the end of Delay; 0 means no limit.
	Timeout time.Duration
}

// FetchResponse fetches the stored response of an attempt from its guard and passes it to the caller.
type FetchResponse struct {
	ID     uint64
	Ticket ticket.Ticket
	Peer   fleet.Instance
}

// Admit sends an attempt to the local backend server of this node.
type Admit struct {
	Arrival uint64
	Ticket  ticket.Ticket
	// Shed is set if a 503 response means that the backend server rejected the request before it ran.
	Shed bool
	// Incarnation is the only incarnation of the backend server that may run the attempt;
	// it is empty if the incarnation is unknown.
	Incarnation string
	// TimeLeft is the time left until the deadline of the caller.
	TimeLeft time.Duration
}

// RejectAttempt rejects an attempt.
type RejectAttempt struct {
	Arrival uint64
	Outcome Outcome
	Reason  Reason
}

// StartQueueTimer requests a QueueTimedOut event if the attempt has no other effect within Timeout.
type StartQueueTimer struct {
	Arrival uint64
	Timeout time.Duration
}

// ReplayResponse sends the stored response of an attempt again.
type ReplayResponse struct {
	Arrival  uint64
	Response *event.StoredResponse
}

// ReportOutcome is the response to an OutcomeQueried event.
type ReportOutcome struct {
	Query    uint64
	Verdict  event.Verdict
	Response *event.StoredResponse
}

// ReportLoad is the response to a LoadRequested event. Refused is set if the probe budget is used up.
type ReportLoad struct {
	Query   uint64
	Load    report.Load
	Refused bool
}

// CheckHealth sends a health check to the local backend server of this node.
type CheckHealth struct {
	// Path is the path of the health endpoint; if it is empty, the adapter uses its default.
	Path string
}

// ProbeLoad requests a load report from a peer.
type ProbeLoad struct {
	Peer fleet.Instance
}

// FetchDocument reads a document whose revision is newer than After.
type FetchDocument struct {
	Document event.Document
	// Peer is the instance to read from, or nil for the platform.
	Peer *fleet.Instance
	// Epoch and After are the epoch and the revision of the document that the node holds.
	Epoch uint64
	After uint64
	// MaxHold is the maximum time that the platform may hold the call; 0 requests an immediate response.
	MaxHold time.Duration
	// AllowStale allows a response that is a few seconds stale, which costs the platform less.
	AllowStale bool
	// ChangesOnly allows reading only what has changed since After.
	ChangesOnly bool
}

// ExchangeVersions exchanges versions with a peer.
type ExchangeVersions struct {
	Peer     fleet.Instance
	Versions event.Versions
}

// LogEvent adds an event to the event log.
type LogEvent struct {
	Kind   Kind
	Text   string
	Ticket *ticket.Ticket
}

// Kind is a kind of event in the event log.
type Kind string

// The kinds of events in the event log.
const (
	KindStart    Kind = "start"
	KindRules    Kind = "rules"
	KindInvalid  Kind = "invalid"
	KindFleet    Kind = "fleet"
	KindBehind   Kind = "behind"
	KindUnread   Kind = "unread"
	KindLost     Kind = "lost"
	KindRegained Kind = "regained"
	// KindEpoch is a platform that came back from an older copy of its data.
	KindEpoch        Kind = "epoch"
	KindStale        Kind = "old"
	KindFresh        Kind = "fresh"
	KindPaused       Kind = "pause"
	KindCold         Kind = "cold"
	KindWarm         Kind = "warm"
	KindQuota        Kind = "quota"
	KindEnding       Kind = "ending"
	KindOutOfService Kind = "out"
	KindInService    Kind = "back"
	KindLeave        Kind = "leave"
	KindSettings     Kind = "settings"
	KindVoid         Kind = "void"
	KindUnknown      Kind = "unknown"
	KindAttempt      Kind = "attempt"
	KindEnd          Kind = "end"
)

// IncrementCounter increments a counter by one.
type IncrementCounter struct {
	Name string
}

// ReportDrained reports that a leaving node has no work left.
type ReportDrained struct{}

// Decision logs one decision about a request, with its inputs.
type Decision struct {
	Kind DecisionKind
	// Name is the name that the caller gave the request.
	Name string
	// Entry and Attempt identify the attempt that the decision is about; Attempt is 0
	// if it is about the whole request.
	Entry   string
	Attempt uint64
	// Failed is set if the decision contributes to a failure of the request.
	Failed bool
	Facts  []Fact
	// CandidateLoads holds the candidates from which a guard was selected.
	CandidateLoads []CandidateLoad
}

// DecisionKind is a kind of decision.
type DecisionKind string

// The kinds of decisions.
const (
	// DecisionSelected is the selection of the guard that an attempt is sent to.
	DecisionSelected DecisionKind = "placed"
	// DecisionBroken is the end of an attempt without a successful response, at its entry.
	DecisionBroken DecisionKind = "broken"
	// DecisionDone is a response of a backend server that is passed to the caller.
	DecisionDone DecisionKind = "done"
	// DecisionFailed is a response that the entry itself sends to the caller.
	DecisionFailed DecisionKind = "failed"
	// DecisionHeld is the body of an upload that has arrived whole.
	DecisionHeld DecisionKind = "held"
	// DecisionDisconnected is a caller that has disconnected.
	DecisionDisconnected DecisionKind = "gone"
	// DecisionAdmitted is an attempt that a guard admits.
	DecisionAdmitted DecisionKind = "admitted"
	// DecisionRejected is an attempt that a guard rejects.
	DecisionRejected DecisionKind = "refused"
	// DecisionServed is the end of the exchange with a backend server.
	DecisionServed DecisionKind = "served"
)

// Fact is one input or outcome of a decision. Text takes precedence over Value.
type Fact struct {
	Key   string
	Text  string
	Value int64
}

// CandidateLoad is the load of a candidate as known to the entry.
type CandidateLoad struct {
	Guard string
	Busy  int
	Limit int
	// Slow is the current service time of the backend server in percent of the typical one, or 0
	// if it is not reported.
	Slow int
	Wait time.Duration
	// Age is the time since the guard reported this load.
	Age time.Duration
}
