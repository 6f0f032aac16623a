package daemon

import (
	"net/http"
	"sync/atomic"
)

// parting serves requests, and lets each answer be the last one on its
// connection once the node leaves. Connections that are not used stay open, so
// that no request is cut off that comes just as its connection is closed.
type parting struct {
	handler http.Handler
	leaving *atomic.Bool
}

// ServeHTTP serves one request.
func (p *parting) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.leaving.Load() {
		w = lastWriter{ResponseWriter: w}
	}
	p.handler.ServeHTTP(w, r)
}

// lastWriter writes the last answer on a connection.
type lastWriter struct {
	http.ResponseWriter
}

// WriteHeader writes the head of the answer, which closes the connection unless
// it is the head of an early response.
func (w lastWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer below, for http.ResponseController.
func (w lastWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
