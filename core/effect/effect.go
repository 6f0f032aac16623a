// Package effect holds the messages by which the reducer of a node asks for
// something to be done.
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
	"time"

	"bulrushlock/core/depth"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/report"
	"bulrushlock/core/rules"
	"bulrushlock/core/ticket"
)

// Effect is one of the message types of this package.
type Effect any

// Outcome is what a caller is told of its request.
type Outcome uint8

// The outcomes of a request.
const (
	// Run means that the request ran and that its whole answer follows.
	Run Outcome = iota
	// NotRun means that the request did not run and never will: it is safe to send again.
	NotRun
	// Unknown means that the request may have run.
	Unknown
	// Running means that the request runs now: it is to be asked after again.
	Running
)

// String returns the form of the outcome that travels in a header.
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

// Reason tells why a request or an attempt got no answer of a backend server.
type Reason string

// The reasons that callers and entries see.
const (
	ReasonRoute    Reason = "route"    // no rule matches the method and path
	ReasonBody     Reason = "body"     // the body is larger than its rule allows
	ReasonRules    Reason = "rules"    // the node holds no rules yet
	ReasonDepth    Reason = "depth"    // the calls are nested too deep
	ReasonDeadline Reason = "deadline" // the time left is too short or has run out
	ReasonServers  Reason = "servers"  // no backend server of the service can be tried
	ReasonBusy     Reason = "busy"     // the guard lets no more work through
	ReasonShed     Reason = "shed"     // the backend server itself refused the request
	ReasonLeaving  Reason = "leaving"  // the instance is leaving
	ReasonUnlisted Reason = "unlisted" // the list of instances does not name the instance
	ReasonOut      Reason = "out"      // the data centre or the instance is out of service
	ReasonAddress  Reason = "address"  // the attempt is addressed to another instance or service
	ReasonLife     Reason = "life"     // the attempt is addressed to another life of the node
	ReasonOld      Reason = "old"      // the node's view may be old and nobody confirmed it
	ReasonVoid     Reason = "void"     // the attempt was voided before it arrived
	ReasonRepeat   Reason = "repeat"   // the attempt has arrived before
	ReasonLost     Reason = "lost"     // the record of the attempt is gone
	ReasonKey      Reason = "key"      // the owner of the key cannot know whether it ran
	ReasonBroken   Reason = "broken"   // the exchange broke
	ReasonServer   Reason = "server"   // the backend server could not be reached or refused
	ReasonGone     Reason = "gone"     // the sender went away
)

// Survey asks for the loads of a few guards, and for a Surveyed event at once.
type Survey struct {
	ID    uint64
	Peers []fleet.Instance
}

// Cast asks to tell many peers the versions that this node holds. No answer is wanted.
type Cast struct {
	Peers    []fleet.Instance
	Versions event.Versions
	// Relay asks the peers to tell others in turn.
	Relay bool
}

// Forward asks to send an attempt of a request to a guard.
type Forward struct {
	ID       uint64
	Ticket   ticket.Ticket
	Peer     fleet.Instance
	Route    rules.Route
	Call     depth.Call
	Class    int
	Key      string
	First    bool
	Versions event.Versions
	// Local tells that the guard is the one of this node.
	Local bool
	// Hedge is the time after which a Slow event is wanted; zero wants none.
	Hedge time.Duration
	// Aim is the time in which the answer is still of full use; 0 where none is named.
	Aim time.Duration
	// Inner tells that a running request waits for this one.
	Inner bool
}

// Relay asks to give the answer of an attempt to the caller.
type Relay struct {
	ID     uint64
	Ticket ticket.Ticket
}

// Reply asks to answer the caller with no answer of a backend server.
type Reply struct {
	ID      uint64
	Outcome Outcome
	Reason  Reason
	// Ticket names the last attempt, or is nil where none was made.
	Ticket *ticket.Ticket
	// Retry is the time after which the caller may try again; 0 where none is known.
	Retry time.Duration
}

// Cancel asks to give up an attempt whose answer is no longer wanted.
type Cancel struct {
	ID     uint64
	Ticket ticket.Ticket
}

// Ask asks a guard what became of an attempt, and to void it where Void is set.
type Ask struct {
	ID     uint64
	Ticket ticket.Ticket
	Peer   fleet.Instance
	// Key is the key under which the attempt was sent, or empty.
	Key  string
	Void bool
	// Wait is the time to wait before asking.
	Wait time.Duration
}

// Recover asks to fetch the kept answer of an attempt from its guard and to give it to the caller.
type Recover struct {
	ID     uint64
	Ticket ticket.Ticket
	Peer   fleet.Instance
}

// Admit asks to send an attempt to the backend server beside this node.
type Admit struct {
	Arrival uint64
	Ticket  ticket.Ticket
	// Shed tells that an answer 503 of the backend server is a refusal before it ran.
	Shed bool
	// Life names the only life of the backend server that may run the attempt; it
	// is empty where none is known.
	Life string
	// Left is the time that the caller still waits, from now on.
	Left time.Duration
}

// Deny asks to refuse an attempt.
type Deny struct {
	Arrival uint64
	Outcome Outcome
	Reason  Reason
}

// Wait asks for an Overdue event if the attempt has no other effect within Longest.
type Wait struct {
	Arrival uint64
	Longest time.Duration
}

// Replay asks to give the kept answer of an attempt once more.
type Replay struct {
	Arrival uint64
	Answer  *event.Answer
}

// Verdict answers an Asked event.
type Verdict struct {
	Query   uint64
	Verdict event.Verdict
	Answer  *event.Answer
}

// Load answers a Probed event; Refused tells that the budget for probes is spent.
type Load struct {
	Query   uint64
	Load    report.Load
	Refused bool
}

// Look asks to look at the backend server beside this node.
type Look struct {
	// Path is the path of its health endpoint; it is empty where the adapter knows it.
	Path string
}

// Probe asks for the load of a peer.
type Probe struct {
	Peer fleet.Instance
}

// Fetch asks to read a document that is newer than After.
type Fetch struct {
	Document event.Document
	// Peer is the instance to ask, or nil for the platform.
	Peer  *fleet.Instance
	After uint64
	// Wait is the longest time that the platform may hold the call; zero asks for an answer at once.
	Wait time.Duration
	// Late allows an answer that is some seconds old, which costs the platform less.
	Late bool
}

// Tell asks to exchange versions with a peer.
type Tell struct {
	Peer     fleet.Instance
	Versions event.Versions
}

// Note asks to put an event into the time line.
type Note struct {
	Kind   Kind
	Text   string
	Ticket *ticket.Ticket
}

// Kind names a kind of event of the time line.
type Kind string

// The kinds of events of the time line.
const (
	KindStart    Kind = "start"
	KindRules    Kind = "rules"
	KindInvalid  Kind = "invalid"
	KindFleet    Kind = "fleet"
	KindOld      Kind = "old"
	KindFresh    Kind = "fresh"
	KindPause    Kind = "pause"
	KindCold     Kind = "cold"
	KindWarm     Kind = "warm"
	KindOut      Kind = "out"
	KindBack     Kind = "back"
	KindLeave    Kind = "leave"
	KindSettings Kind = "settings"
	KindVoid     Kind = "void"
	KindUnknown  Kind = "unknown"
	KindAttempt  Kind = "attempt"
	KindEnd      Kind = "end"
)

// Count asks to add one to a counter.
type Count struct {
	Name string
}

// Finished tells that a leaving node has no work left.
type Finished struct{}

// Decision tells of one decision about a request, with what decided it.
type Decision struct {
	Kind DecisionKind
	// Name is the name that the caller gave the request.
	Name string
	// Entry and Attempt name the attempt that the decision is about; Attempt is 0
	// where it is about the whole request.
	Entry   string
	Attempt uint64
	// Failed tells that the decision is a step towards a failure of the request.
	Failed bool
	Facts  []Fact
	// Seen are the candidates among which a guard was chosen.
	Seen []Seen
}

// DecisionKind names a kind of decision.
type DecisionKind string

// The kinds of decisions.
const (
	// DecisionPlaced is the choice of the guard that an attempt is sent to.
	DecisionPlaced DecisionKind = "placed"
	// DecisionBroken is the end of an attempt without a good answer, at its entry.
	DecisionBroken DecisionKind = "broken"
	// DecisionDone is the answer of a backend server that goes to the caller.
	DecisionDone DecisionKind = "done"
	// DecisionFailed is an answer that the entry gives the caller itself.
	DecisionFailed DecisionKind = "failed"
	// DecisionGone is a caller that has left.
	DecisionGone DecisionKind = "gone"
	// DecisionAdmitted is an attempt that a guard lets through.
	DecisionAdmitted DecisionKind = "admitted"
	// DecisionRefused is an attempt that a guard refuses.
	DecisionRefused DecisionKind = "refused"
	// DecisionServed is the end of the exchange with a backend server.
	DecisionServed DecisionKind = "served"
)

// Fact is one input or outcome of a decision. Text goes before Value.
type Fact struct {
	Key   string
	Text  string
	Value int64
}

// Seen is what was known of a candidate.
type Seen struct {
	Guard string
	Busy  int
	Limit int
	// Slow is the slowness of the backend server in percent.
	Slow int
	Wait time.Duration
	// Age is the time since the guard told this.
	Age time.Duration
}
