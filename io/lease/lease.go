// Package lease gives the right to read the body of a request to one attempt at a time.
//
// A body that is forwarded while it arrives can be sent once. The attempt that sends it reads it in
// a goroutine, which may still be on its way to its first read when the attempt has ended. If
// another attempt then sent the body too, either would lack what the other has read, and a body
// without a stated length would still look complete.
//
// Withdraw therefore decides in one step whether a body is unread and takes the right to read it
// away. A read without the right fails and takes nothing of the body.
//
// # Usage
//
//	body := lease.New(request.Body)
//	defer body.Close()
//	response, err := send(body.Lend())
//	if err != nil && body.Withdraw() {
//		response, err = send(body.Lend()) // nothing was read before
//	}
package lease

import (
	"io"
	"sync"
)

// Body is the body of a request that attempts read one after the other. It is safe for concurrent
// use.
type Body struct {
	source io.Reader
	mutex  sync.Mutex
	// holder has the right to read; nil means that nobody has.
	holder *reader
	// begun reports that holder has begun to read, which makes it the last one.
	begun  bool
	closed bool
}

// RevokedError is returned by reads without the right to read the body.
type RevokedError struct{}

// Error describes the fault.
func (*RevokedError) Error() string {
	return "body belongs to another attempt or its request has ended"
}

// New returns a body that reads from source.
func New(source io.Reader) *Body { return &Body{source: source} }

// Lend returns a reader of the body and takes the right to read from the reader before it. If that
// one has begun to read, or the body is closed, reads of the new one fail with a *RevokedError.
func (b *Body) Lend() io.Reader {
	r := &reader{body: b}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.begun && !b.closed {
		b.holder = r
	}
	return r
}

// Withdraw reports whether the body is unread. If it is, no reader has the right to read it until
// the next call of Lend. Otherwise the reader that has begun keeps it.
func (b *Body) Withdraw() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.begun {
		return false
	}
	b.holder = nil
	return true
}

// Close takes the right to read away for good. It does not wait for a read that is under way.
func (b *Body) Close() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.holder, b.closed = nil, true
}

// begin reports whether r may read, and records that it has begun.
func (b *Body) begin(r *reader) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.holder != r {
		return false
	}
	b.begun = true
	return true
}

// reader is the body as one attempt sees it.
type reader struct{ body *Body }

// Read reads the body. It fails with a *RevokedError without the right to read.
func (r *reader) Read(p []byte) (int, error) {
	if !r.body.begin(r) {
		return 0, &RevokedError{}
	}
	return r.body.source.Read(p)
}
