package xchg

import (
	"errors"
	"io"
	"net/http"
)

// onceBody hides from net/http that a body could be read again, so that its
// transport never sends a request a second time of its own accord. It reads
// nothing past the end: the server of net/http may have closed the body of its
// request by then, and the transport takes that failure for one of the request.
type onceBody struct {
	reader io.Reader
	// left is the number of bytes that are still to come, or below zero where it is not known.
	left  int64
	ended bool
}

// newOnceBody returns a body of the given length in bytes, or -1.
func newOnceBody(r io.Reader, length int64) *onceBody {
	return &onceBody{reader: r, left: length, ended: length == 0}
}

// Read reads the body up to its end.
func (b *onceBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	if b.left > 0 {
		b.left -= int64(n)
		b.ended = b.left <= 0
	}
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// Close does nothing: whoever made the body closes it.
func (*onceBody) Close() error { return nil }

// SetBody gives r the body of o.
func SetBody(r *http.Request, o Offer) {
	r.GetBody = nil
	r.ContentLength = o.Length
	if o.Length == 0 || o.Body == nil {
		r.Body, r.ContentLength = http.NoBody, 0
		return
	}
	r.Body = newOnceBody(o.Body, o.Length)
}

// NoAgent keeps r from naming an agent that its caller did not name.
func NoAgent(r *http.Request) {
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""}
	}
}
