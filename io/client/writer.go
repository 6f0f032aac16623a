package client

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bulrushlock/io/proto"
)

// responseWriter passes what a handler writes to the caller as a response.
type responseWriter struct {
	header http.Header
	body   *io.PipeReader
	pipe   *io.PipeWriter
	// response is set before ready is closed; it is nil if the handler ended
	// without one.
	response *http.Response
	// earlyTicket is the ticket sent before the response in an informational
	// response, or empty.
	earlyTicket string
	ready       chan struct{}
	once        sync.Once
}

var _ http.ResponseWriter = (*responseWriter)(nil)

// newResponseWriter returns the writer for one request.
func newResponseWriter() *responseWriter {
	w := &responseWriter{header: make(http.Header), ready: make(chan struct{})}
	w.body, w.pipe = io.Pipe()
	return w
}

// serve runs h for r and returns once the response is complete or abandoned.
func (w *responseWriter) serve(h http.Handler, r *http.Request) {
	cause := io.EOF
	defer w.once.Do(func() { close(w.ready) })
	defer func() { _ = w.pipe.CloseWithError(cause) }()
	defer func() {
		e := recover()
		if e == nil {
			return
		}
		if err, ok := e.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			panic(e)
		}
		cause = &TruncatedError{Cause: r.Context().Err()}
	}()
	stop := context.AfterFunc(r.Context(), func() {
		_ = w.pipe.CloseWithError(&TruncatedError{Cause: r.Context().Err()})
	})
	defer stop()
	h.ServeHTTP(w, r)
}

// Header returns the header that WriteHeader sends.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader passes the status and the header to the caller.
func (w *responseWriter) WriteHeader(status int) {
	if status < http.StatusOK {
		w.earlyTicket = w.header.Get(proto.HeaderTicket)
		return
	}
	w.once.Do(func() {
		w.response = &http.Response{
			Status:        strconv.Itoa(status) + " " + http.StatusText(status),
			StatusCode:    status,
			Proto:         "HTTP/1.1",
			ProtoMajor:    1,
			ProtoMinor:    1,
			Header:        w.header.Clone(),
			Body:          w.body,
			ContentLength: contentLength(w.header),
		}
		close(w.ready)
	})
}

// contentLength returns the Content-Length in bytes, or -1 if it is missing or
// invalid.
func contentLength(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// Write passes a part of the body to the caller.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.pipe.Write(p)
}

// Flush does nothing: Write passes each part to the caller at once.
func (w *responseWriter) Flush() {}

// SetReadDeadline does nothing: the request body is read as fast as the caller
// provides it.
func (w *responseWriter) SetReadDeadline(time.Time) error { return nil }
