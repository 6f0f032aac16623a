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

// bridge takes what a handler writes and gives it to the caller as an answer.
type bridge struct {
	header http.Header
	reader *io.PipeReader
	writer *io.PipeWriter
	// answer is set before ready is closed; it is nil where the handler ended without one.
	answer *http.Response
	// ticket is the ticket that was announced before the answer, or empty.
	ticket string
	ready  chan struct{}
	once   sync.Once
}

var _ http.ResponseWriter = (*bridge)(nil)

// newBridge returns a bridge for one request.
func newBridge() *bridge {
	b := &bridge{header: make(http.Header), ready: make(chan struct{})}
	b.reader, b.writer = io.Pipe()
	return b
}

// serve lets h handle r and returns when all is written or given up.
func (b *bridge) serve(h http.Handler, r *http.Request) {
	cause := io.EOF
	defer b.once.Do(func() { close(b.ready) })
	defer func() { _ = b.writer.CloseWithError(cause) }()
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
		_ = b.writer.CloseWithError(&CutError{Cause: r.Context().Err()})
	})
	defer stop()
	h.ServeHTTP(b, r)
}

// Header returns the header that WriteHeader sends.
func (b *bridge) Header() http.Header { return b.header }

// WriteHeader gives the head of the answer to the caller.
func (b *bridge) WriteHeader(status int) {
	if status < http.StatusOK {
		b.ticket = b.header.Get(xchg.HeaderTicket)
		return
	}
	b.once.Do(func() {
		b.answer = &http.Response{
			Status:        strconv.Itoa(status) + " " + http.StatusText(status),
			StatusCode:    status,
			Proto:         "HTTP/1.1",
			ProtoMajor:    1,
			ProtoMinor:    1,
			Header:        b.header.Clone(),
			Body:          b.reader,
			ContentLength: lengthOf(b.header),
		}
		close(b.ready)
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
func (b *bridge) Write(p []byte) (int, error) {
	b.WriteHeader(http.StatusOK)
	return b.writer.Write(p)
}

// Flush does nothing: a part is given to the caller as soon as it is written.
func (b *bridge) Flush() {}

// SetReadDeadline does nothing: the body of the request is read as fast as the caller gives it.
func (b *bridge) SetReadDeadline(time.Time) error { return nil }
