// Package upload decides how much memory the bodies of uploads take while they arrive, and how long
// each may take.
//
// The load that it answers: bodies of tens to hundreds of kilobytes from many callers on slow links.
// Each arrives over a second or longer, and the work on it takes a fraction of that. If an upload
// took a slot of a backend server with its head, the slots would be full of requests that wait for
// their bodies. Held first, a body costs memory and no slot, can still be sent to another backend
// server after a rejection, and one that never completes costs nobody else anything.
//
// A body is accepted before its first byte is read, so that a caller that waits to be told to send
// it learns of a rejection without sending it.
//
// # Usage
//
//	h := upload.New(upload.Options{Budget: 16 << 20, Each: 1 << 20})
//	d := h.Begin(upload.Arrival{At: now, ID: id, Length: length, TimeLeft: left})
//	if d.Refused {
//		return refuse(d.RetryAfter)
//	}
//	defer h.End(time.Now(), id)
//	read(d.Bytes, d.Until)
package upload

import "time"

const (
	// firstBytes is the memory in bytes that a body of unknown length gets at first.
	firstBytes = 64 << 10
	// initialHold is the assumed time for which a body is held, until some were.
	initialHold = 500 * time.Millisecond
	// holdWeight is the weight of a new sample in the mean time for which a body is held.
	holdWeight = 0.1
	// minRetryAfter is the shortest time after which a rejected caller is asked to come back.
	minRetryAfter = 50 * time.Millisecond
	// retryShare is the longest such time as a share of the time that the caller has left, so
	// that it can send the body within the rest.
	retryShare = 0.33
)

// Options configure a Holder.
type Options struct {
	// Budget is the memory in bytes for all bodies together.
	Budget int64
	// Each is the part of one body in bytes that is held at most. The rest of a longer one is
	// not held.
	Each int64
}

// Arrival is an upload whose head has arrived.
type Arrival struct {
	At time.Time
	ID uint64
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// TimeLeft is the time left until the deadline of the request.
	TimeLeft time.Duration
}

// Decision says what to do with a body.
type Decision struct {
	// Refused is set if there is no memory for the body, of which nothing more must be read.
	Refused bool
	// RetryAfter is the time after which there is likely to be memory; it is 0 if Refused is
	// not set.
	RetryAfter time.Duration
	// Bytes is the part of the body in bytes for which memory is reserved so far.
	Bytes int64
	// Until is the deadline of the request, after which the rest of the body is of no use.
	Until time.Time
}

// Holder accounts for the bodies that are held. It is not safe for concurrent use.
type Holder struct {
	options  Options
	reserved int64
	bodies   map[uint64]*body
	// meanHold is the moving mean of the time for which a body is held.
	meanHold time.Duration
}

// body is a body that is held.
type body struct {
	began time.Time
	until time.Time
	bytes int64
}

// New returns a Holder that holds nothing.
func New(o Options) *Holder {
	return &Holder{options: o, bodies: make(map[uint64]*body), meanHold: initialHold}
}

// Begin decides whether the body of an upload is read. If it is, it must end with End.
func (h *Holder) Begin(a Arrival) Decision {
	bytes := min(a.Length, h.options.Each)
	if a.Length < 0 {
		bytes = min(firstBytes, h.options.Each)
	}
	if !h.fits(bytes) {
		return h.refusal(a.TimeLeft)
	}
	h.reserved += bytes
	b := &body{began: a.At, until: a.At.Add(a.TimeLeft), bytes: bytes}
	h.bodies[a.ID] = b
	return Decision{Bytes: b.bytes, Until: b.until}
}

// Extend reserves more memory for a body of unknown length that has filled what it has: as much
// again, up to Options.Each. A body that is refused must still end with End.
func (h *Holder) Extend(now time.Time, id uint64) Decision {
	b, ok := h.bodies[id]
	if !ok {
		return Decision{Refused: true, RetryAfter: minRetryAfter}
	}
	more := min(b.bytes, h.options.Each-b.bytes)
	if !h.fits(more) {
		return h.refusal(b.until.Sub(now))
	}
	h.reserved += more
	b.bytes += more
	return Decision{Bytes: b.bytes, Until: b.until}
}

// End releases the memory of a body.
func (h *Holder) End(now time.Time, id uint64) {
	b, ok := h.bodies[id]
	if !ok {
		return
	}
	delete(h.bodies, id)
	h.reserved -= b.bytes
	h.meanHold += time.Duration(holdWeight * float64(now.Sub(b.began)-h.meanHold))
}

// Reserved returns the memory in bytes that is reserved.
func (h *Holder) Reserved() int64 { return h.reserved }

// fits reports whether the budget has room for the given number of bytes.
func (h *Holder) fits(bytes int64) bool { return h.reserved+bytes <= h.options.Budget }

// refusal returns the decision for a body that finds no memory, from a caller with the given time
// left. Memory becomes free at the rate at which the bodies that are held end, so that a caller
// comes back after the mean time divided by their number.
func (h *Holder) refusal(timeLeft time.Duration) Decision {
	after := h.meanHold / time.Duration(max(len(h.bodies), 1))
	after = min(after, time.Duration(retryShare*float64(timeLeft)))
	return Decision{Refused: true, RetryAfter: max(after, minRetryAfter)}
}
