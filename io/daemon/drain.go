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

// drainHandler serves requests. While the node drains, each response closes its
// connection. Idle connections stay open, because closing one could cut off a request
// that arrives at the same time.
type drainHandler struct {
	handler http.Handler
	leaving *atomic.Bool
}

// ServeHTTP serves one request.
func (h *drainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.leaving.Load() {
		w = closingWriter{ResponseWriter: w}
	}
	h.handler.ServeHTTP(w, r)
}

// closingWriter closes the connection after the response.
type closingWriter struct {
	http.ResponseWriter
}

// WriteHeader adds "Connection: close", except to informational (1xx) responses.
func (w closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
