// Package event holds the messages that the reducer of a node takes.
//
// Everything that a node learns comes to it as an Event, with the time at which
// it was learned and with any randomness that the reducer needs.
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
	// Time returns the time at which the node learned of the event.
	Time() time.Time
}

// Tick tells that time has passed.
type Tick struct {
	At     time.Time
	Random uint64
	// Slept is the time since the last tick for which the machine was suspended. The
	// clock of At does not count it.
	Slept time.Duration
}

// Time returns the time of the event.
func (e Tick) Time() time.Time { return e.At }

// Leave tells that the operator or the platform wants this node to end.
type Leave struct {
	At time.Time
}

// Time returns the time of the event.
func (e Leave) Time() time.Time { return e.At }

// Changed tells that the settings of the node have changed.
type Changed struct {
	At time.Time
	// Ask is the number of guards that are asked before a request is sent.
	Ask int
	// Refuse tells that new work is refused while nobody confirms an old view.
	Refuse bool
	// Drain is the time for which a leaving node stays to refuse late senders.
	Drain time.Duration
}

// Time returns the time of the event.
func (e Changed) Time() time.Time { return e.At }

// Document names one of the two published documents.
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

// Source tells where a document was read.
type Source struct {
	// Peer is the instance that was asked; it is empty for the platform.
	Peer string
}

// Read tells that a document was read.
type Read struct {
	At time.Time
	// Asked is the time at which the node asked; zero stands for At.
	Asked    time.Time
	Document Document
	From     Source
	Text     string
	Revision uint64
	// Late tells that the document may be some seconds old.
	Late bool
}

// Time returns the time of the event.
func (e Read) Time() time.Time { return e.At }

// Unchanged tells that the source holds no newer document than this node does.
type Unchanged struct {
	At time.Time
	// Asked is the time at which the node asked; zero stands for At.
	Asked    time.Time
	Document Document
	From     Source
	// Revision is a revision at which this was so, or 0 where it is not told.
	Revision uint64
}

// Time returns the time of the event.
func (e Unchanged) Time() time.Time { return e.At }

// Unread tells that reading a document has failed.
type Unread struct {
	At       time.Time
	Document Document
	From     Source
}

// Time returns the time of the event.
func (e Unread) Time() time.Time { return e.At }

// Versions are the versions of the documents that a node holds.
type Versions struct {
	Rules view.Version
	Fleet view.Version
	// Age is the time since the rules were known to be the newest.
	Age time.Duration
	// FleetAge is the time since the list of instances was known to be the newest.
	FleetAge time.Duration
}

// Told tells the versions that a peer holds.
type Told struct {
	At time.Time
	// Asked is the time at which the node asked. It is zero where the peer told
	// unasked, so that its word may have waited for this node for any time.
	Asked time.Time
	Peer  string
	// Control is the address at which the peer answers calls, or the zero value where it is not told.
	Control  netip.AddrPort
	Versions Versions
	// Relay tells that the peer asks this node to tell others.
	Relay bool
}

// Time returns the time of the event.
func (e Told) Time() time.Time { return e.At }

// Silent tells that a peer could not be reached to compare versions.
type Silent struct {
	At   time.Time
	Peer string
}

// Time returns the time of the event.
func (e Silent) Time() time.Time { return e.At }
