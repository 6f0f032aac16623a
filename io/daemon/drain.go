package daemon

import (
	"errors"
	"net/http"
	"sync/atomic"
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
	// A body may take long to arrive, so that its response decides again.
	if r.ContentLength != 0 || h.closes() {
		w = closingWriter{ResponseWriter: w, closes: h.closes}
	}
	h.handler.ServeHTTP(w, r)
}

// closes reports whether responses close their connections now.
func (h *drainHandler) closes() bool { return h.leaving.Load() || h.crowded() }

// closingWriter closes the connection after the response.
type closingWriter struct {
	http.ResponseWriter
	closes func() bool
}

// WriteHeader adds "Connection: close", except to informational (1xx) responses.
func (w closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK && w.closes() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
