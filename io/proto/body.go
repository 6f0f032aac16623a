package proto

import (
	"errors"
	"io"
	"net/http"
)

// singleReadBody is a request body that cannot be rewound, so that the
// transport of net/http never resends the request on its own. It does not read
// past the end of the body: the net/http server may have closed the body by
// then, and the transport would report that read error as a failure of the
// request.
type singleReadBody struct {
	reader io.Reader
	// remaining is the number of bytes still to be read, or negative if the
	// length is unknown.
	remaining int64
	ended     bool
}

// newSingleReadBody returns a body of the given length in bytes; -1 means
// unknown.
func newSingleReadBody(r io.Reader, length int64) *singleReadBody {
	return &singleReadBody{reader: r, remaining: length, ended: length == 0}
}

// Read reads the body and returns io.EOF once its end was reached.
func (b *singleReadBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	if b.remaining > 0 {
		b.remaining -= int64(n)
		b.ended = b.remaining <= 0
	}
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// Close does nothing: the creator of the body closes it.
func (*singleReadBody) Close() error { return nil }

// SetBody sets the body and the content length of r to those of attempt.
func SetBody(r *http.Request, attempt Attempt) {
	r.GetBody = nil
	r.ContentLength = attempt.Length
	if attempt.Length == 0 || attempt.Body == nil {
		r.Body, r.ContentLength = http.NoBody, 0
		return
	}
	r.Body = newSingleReadBody(attempt.Body, attempt.Length)
}

// OmitUserAgent stops net/http from adding its default User-Agent header if the
// caller did not send one.
func OmitUserAgent(r *http.Request) {
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""}
	}
}
