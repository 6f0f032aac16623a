package proto

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// discardTimeout limits the time for which the rest of a request body is discarded.
const discardTimeout = 30 * time.Second

// StreamedBody is the body of a request that a handler forwards while it writes the response.
//
// The server of net/http reads the rest of a body by itself when the response begins, and the
// forwarded body would lack what it takes. StreamBody stops it from doing so. In return the handler
// must call Finish before it returns.
type StreamedBody struct {
	body   io.ReadCloser
	writer http.ResponseWriter
	ended  atomic.Bool
}

// StreamBody returns the body of r, whose response is written to w. It fails if the server cannot
// read the body while it writes the response. A writer that is not the server's does not read the
// body, and need not support that.
func StreamBody(w http.ResponseWriter, r *http.Request) (*StreamedBody, error) {
	err := http.NewResponseController(w).EnableFullDuplex()
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	return &StreamedBody{body: r.Body, writer: w}, nil
}

// Read reads the body.
func (b *StreamedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// Finish sends what was written of the response and discards the rest of the body; later reads fail.
// If the handler left that to the server, the server could begin to read the next request at the
// same time, and panic. After an error of Finish the connection must be aborted: it may carry a rest
// of the body, which the server would take for a request.
func (b *StreamedBody) Finish() error {
	if b.ended.Load() {
		return nil
	}
	c := http.NewResponseController(b.writer)
	for _, step := range []func() error{
		c.Flush,
		func() error { return c.SetReadDeadline(time.Now().Add(discardTimeout)) },
		b.body.Close,
	} {
		if err := step(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return err
		}
	}
	return nil
}
