// Package shed chooses the connection that is closed when clients take more room than an instance
// has for requests that haven't been accepted yet.
//
// Load pattern: hundreds of clients hold parts of requests that they never complete, such as long
// heads that trickle, or open connections and say nothing, while other callers connect, complete
// their requests within a few round trips and keep their connections for the next one. The room
// that the first ones take must not come from the others.
//
// The cost of a connection that waits for its client is what it holds, for as long as it has held
// it. The one with the highest cost is closed. A caller that completes its requests is far behind
// clients that don't: it holds less, and for a shorter time. Connections whose request has been
// accepted are never chosen, and those that are kept for the next request only after the time for
// which callers may keep them.
//
// # Usage
//
//	p := shed.New(shed.Options{Overhead: 16 << 10, Keep: 15 * time.Second})
//	if victim, ok := p.Choose(now, shed.Memory, holdings); ok {
//		victim.Close()
//	}
package shed

import (
	"iter"
	"time"
)

// State is what a connection waits for.
type State uint8

const (
	// Accepted is a connection with a request that has been accepted, or with one that doesn't
	// wait for its client.
	Accepted State = iota
	// Waiting is a connection whose client hasn't completed a request.
	Waiting
	// Kept is a connection whose last request is complete and that is kept for the next one.
	Kept
)

// Room is what there is not enough of.
type Room uint8

const (
	// Memory is room for bytes of requests that haven't been accepted.
	Memory Room = iota
	// Connections is room for connections.
	Connections
)

// Holding is what one connection holds.
type Holding struct {
	State State
	// Bytes is the memory that is held for its request.
	Bytes int64
	// Since is the time at which the connection has entered its state.
	Since time.Time
}

// Options configure a Policy.
type Options struct {
	// Overhead is the memory in bytes that a connection takes without a request.
	Overhead int64
	// Keep is the time for which callers may keep a connection between two requests.
	Keep time.Duration
}

// Policy chooses connections of the type C.
type Policy[C any] struct {
	options Options
}

// New returns a policy.
func New[C any](o Options) Policy[C] { return Policy[C]{options: o} }

// Choose returns the connection to close so that there is more room, and false if none may be
// closed. For memory this is one that waits and holds some. For connections it is one that waits,
// or else the one that has been kept for the longest time, if that is too long.
func (p Policy[C]) Choose(now time.Time, r Room, all iter.Seq2[C, Holding]) (chosen C, ok bool) {
	var most float64
	for c, h := range all {
		if cost := p.cost(now, r, h); cost > most {
			chosen, ok, most = c, true, cost
		}
	}
	return chosen, ok
}

// keptShare scales the cost of connections that are kept, so that those that wait come first. Their
// cost doesn't exceed it for ages of up to a day.
const keptShare = 1e-9

// cost returns the cost of a connection in byte seconds, or 0 if it may not be closed.
func (p Policy[C]) cost(now time.Time, r Room, h Holding) float64 {
	age := max(now.Sub(h.Since), time.Nanosecond).Seconds()
	switch {
	case h.State == Waiting && r == Memory:
		return float64(h.Bytes) * age
	case h.State == Waiting:
		return float64(h.Bytes+p.options.Overhead) * age
	case h.State == Kept && r == Connections && now.Sub(h.Since) > p.options.Keep:
		return age * keptShare
	}
	return 0
}
