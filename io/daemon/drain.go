package daemon

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// recoverHandler serves requests. It counts and logs a panic of its handler and aborts the
// connection of the request.
type recoverHandler struct {
	handler http.Handler
	// report is called with a panic that does not abort the connection on purpose.
	report func(place string, p any)
}

// ServeHTTP serves one request.
func (h *recoverHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			h.report("request", p)
		}
		panic(http.ErrAbortHandler)
	}()
	h.handler.ServeHTTP(w, r)
}

// drainHandler serves requests. While the node drains or the listener is crowded, each response
// closes its connection. Idle connections stay open, because closing one could cut off a request
// that arrives at the same time.
type drainHandler struct {
	handler http.Handler
	leaving *atomic.Bool
	crowded func() bool
}

// ServeHTTP serves one request.
func (h *drainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 && !h.closes() {
		h.handler.ServeHTTP(w, r)
		return
	}
	closing := &closingWriter{ResponseWriter: w, closes: h.closes}
	if r.ContentLength != 0 {
		closing.body = &endedBody{ReadCloser: r.Body}
		r.Body = closing.body
	}
	h.handler.ServeHTTP(closing, r)
	if !closing.begun {
		// The server would respond with an empty 200 without a call.
		closing.WriteHeader(http.StatusOK)
	}
}

// closes reports whether responses close their connections now.
func (h *drainHandler) closes() bool { return h.leaving.Load() || h.crowded() }

// closingWriter closes the connection after the response if closes reports so, or if the rest of the
// request body was not read: the server would wait for it without a limit before it sends the
// response.
type closingWriter struct {
	http.ResponseWriter
	// closes decides again at the response, as a body may take long to arrive.
	closes func() bool
	// body is nil if the request has none.
	body *endedBody
	// duplex reports that the handler reads the body while it writes the response.
	duplex bool
	// begun reports that the head of the response was written.
	begun bool
}

// unreadTimeout limits the time for the rest of a body that nobody reads.
const unreadTimeout = 500 * time.Millisecond

// Write writes a part of the response, after its head.
func (w *closingWriter) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// WriteHeader adds "Connection: close", except to informational (1xx) responses.
func (w *closingWriter) WriteHeader(status int) {
	w.begun = w.begun || status >= http.StatusOK
	isUnread := w.body != nil && !w.duplex && !w.body.ended.Load()
	if status >= http.StatusOK && (isUnread || w.closes()) {
		w.Header().Set("Connection", "close")
	}
	if status >= http.StatusOK && isUnread {
		// The server reads on after the response. A writer without a deadline has no connection.
		_ = http.NewResponseController(w.ResponseWriter).SetReadDeadline(time.Now().Add(unreadTimeout))
	}
	w.ResponseWriter.WriteHeader(status)
}

// EnableFullDuplex is called by http.ResponseController.
func (w *closingWriter) EnableFullDuplex() error {
	w.duplex = true
	return http.NewResponseController(w.ResponseWriter).EnableFullDuplex()
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// endedBody is a request body that records whether it was read to its end.
type endedBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// Read reads the body.
func (b *endedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}
