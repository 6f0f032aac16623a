// Package event defines the events that the reducer of a node processes.
//
// Every input of a node reaches the reducer as an Event. The event carries the
// time at which the node received the input and any random value that the
// reducer needs.
//
// # Usage
//
//	effects = n.Step(event.Tick{At: time.Now(), Random: rand.Uint64()}, effects)
package event

import (
	"net/netip"
	"time"

	"bulrushlock/core/view"
)

// Event is one of the message types of this package.
type Event interface {
	// Time returns the time at which the node received the event.
	Time() time.Time
}

// Tick is the periodic timer event.
type Tick struct {
	At     time.Time
	Random uint64
	// SuspendedFor is the time since the last tick during which the instance was suspended.
	// The clock that At is read from does not advance during a suspension.
	SuspendedFor time.Duration
}

// Time returns the time of the event.
func (e Tick) Time() time.Time { return e.At }

// ShutdownRequested reports that the operator or the platform requests this node to shut down.
type ShutdownRequested struct {
	At time.Time
}

// Time returns the time of the event.
func (e ShutdownRequested) Time() time.Time { return e.At }

// SettingsChanged reports that the settings of the node have changed.
type SettingsChanged struct {
	At time.Time
	// ProbeCount is the number of guards that are probed before a request is sent.
	ProbeCount int
	// RejectWhenStale is set if new work is rejected while the view may be stale and nothing
	// confirms it.
	RejectWhenStale bool
	// DrainTime is the minimum time for which a leaving node keeps running, so that it can
	// reject attempts from nodes that do not know yet that it is leaving.
	DrainTime time.Duration
}

// Time returns the time of the event.
func (e SettingsChanged) Time() time.Time { return e.At }

// Document identifies one of the two published documents.
type Document uint8

// The published documents.
const (
	Rules Document = iota
	Fleet
)

// String returns the name of the document.
func (d Document) String() string {
	if d == Fleet {
		return "fleet"
	}
	return "rules"
}

// DocumentSource identifies the source that a document is read from.
type DocumentSource struct {
	// Peer is the instance that was queried; it is empty for the platform.
	Peer string
}

// DocumentRead reports that a document was read.
type DocumentRead struct {
	At time.Time
	// QueriedAt is the time at which the node sent its query; zero means At.
	QueriedAt time.Time
	Document  Document
	From      DocumentSource
	Text      string
	// Edition, Epoch and Revision are those of a view.Version.
	Edition  uint64
	Epoch    uint64
	Revision uint64
	// MayBeStale is set if the document may be a few seconds stale.
	MayBeStale bool
}

// Time returns the time of the event.
func (e DocumentRead) Time() time.Time { return e.At }

// Version returns the version of the document, without a digest.
func (e DocumentRead) Version() view.Version {
	return view.Version{Edition: e.Edition, Epoch: e.Epoch, Revision: e.Revision}
}

// DocumentUnchanged reports that the source holds no newer document than this node.
type DocumentUnchanged struct {
	At time.Time
	// QueriedAt is the time at which the node sent its query; zero means At.
	QueriedAt time.Time
	Document  Document
	From      DocumentSource
	// Epoch is the one for which the source was asked.
	Epoch uint64
	// Revision is a revision at which this was true, or 0 if the source does not report one.
	Revision uint64
}

// Time returns the time of the event.
func (e DocumentUnchanged) Time() time.Time { return e.At }

// DocumentReadFailed reports that reading a document failed.
type DocumentReadFailed struct {
	At       time.Time
	Document Document
	From     DocumentSource
	// Cause is the error of the read, for the event log; it may be nil.
	Cause error
}

// Time returns the time of the event.
func (e DocumentReadFailed) Time() time.Time { return e.At }

// Versions are the versions of the documents that a node holds.
type Versions struct {
	Rules view.Version
	Fleet view.Version
	// Age is the time since the rules were last known to be current.
	Age time.Duration
	// FleetAge is the time since the instance list was last known to be current.
	FleetAge time.Duration
	// RulesReader and FleetReader identify the node that read the platform when the document was
	// last known to be current; 0 is unknown.
	RulesReader uint32
	FleetReader uint32
}

// VersionsReceived reports the versions that a peer holds.
type VersionsReceived struct {
	At time.Time
	// QueriedAt is the time at which the node sent its query. It is zero if the peer sent
	// the versions unsolicited; the message may then have been delayed arbitrarily.
	QueriedAt time.Time
	Peer      string
	// Control is the address of the control listener of the peer, or the zero value if it is
	// unknown.
	Control  netip.AddrPort
	Versions Versions
	// Relay is set if the peer asks this node to pass the versions on to other nodes.
	Relay bool
}

// Time returns the time of the event.
func (e VersionsReceived) Time() time.Time { return e.At }

// PeerUnreachable reports that a peer could not be reached to compare versions.
type PeerUnreachable struct {
	At   time.Time
	Peer string
}

// Time returns the time of the event.
func (e PeerUnreachable) Time() time.Time { return e.At }
