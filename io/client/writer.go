package client

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bulrushlock/io/xchg"
)

// writer takes what a handler writes and gives it to the caller as an answer.
type writer struct {
	header http.Header
	body   *io.PipeReader
	pipe   *io.PipeWriter
	// answer is set before ready is closed; it is nil where the handler ended without one.
	answer *http.Response
	// ticket is the ticket that was announced before the answer, or empty.
	ticket string
	ready  chan struct{}
	once   sync.Once
}

var _ http.ResponseWriter = (*writer)(nil)

// newWriter returns the writer for one request.
func newWriter() *writer {
	w := &writer{header: make(http.Header), ready: make(chan struct{})}
	w.body, w.pipe = io.Pipe()
	return w
}

// serve lets h handle r and returns when all is written or given up.
func (w *writer) serve(h http.Handler, r *http.Request) {
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
		cause = &CutError{Cause: r.Context().Err()}
	}()
	stop := context.AfterFunc(r.Context(), func() {
		_ = w.pipe.CloseWithError(&CutError{Cause: r.Context().Err()})
	})
	defer stop()
	h.ServeHTTP(w, r)
}

// Header returns the header that WriteHeader sends.
func (w *writer) Header() http.Header { return w.header }

// WriteHeader gives the head of the answer to the caller.
func (w *writer) WriteHeader(status int) {
	if status < http.StatusOK {
		w.ticket = w.header.Get(xchg.HeaderTicket)
		return
	}
	w.once.Do(func() {
		w.answer = &http.Response{
			Status:        strconv.Itoa(status) + " " + http.StatusText(status),
			StatusCode:    status,
			Proto:         "HTTP/1.1",
			ProtoMajor:    1,
			ProtoMinor:    1,
			Header:        w.header.Clone(),
			Body:          w.body,
			ContentLength: lengthOf(w.header),
		}
		close(w.ready)
	})
}

// lengthOf returns the length in bytes that a header tells, or -1.
func lengthOf(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// Write gives a part of the body to the caller.
func (w *writer) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.pipe.Write(p)
}

// Flush does nothing: a part is given to the caller as soon as it is written.
func (w *writer) Flush() {}

// SetReadDeadline does nothing: the body of the request is read as fast as the caller gives it.
func (w *writer) SetReadDeadline(time.Time) error { return nil }
