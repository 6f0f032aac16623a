// Package fake provides fakes of the systems around a node: the backend server and
// the platform, which publishes the rules and the instance list. Faults can be injected
// into these two fakes. The package also provides a plain reverse proxy as a latency baseline
// and a server for tests that write raw responses. Tests and the demo embed them; the
// command stand runs all but the raw server as processes.
//
// # Usage
//
//	s := fake.NewServer(fake.ServerOptions{Name: "ledger-1", Slots: 10, ColdLimit: 2})
//	server := httptest.NewServer(s)
//	s.SetDrain(true)
//	n := s.Runs("claim-7")
//
//	p := fake.NewPlatform()
//	platform := httptest.NewServer(p)
//	revision := p.PublishRules(text)
//
//	raw, err := fake.NewRawServer(func(_ int32, _ *http.Request, c net.Conn) { _ = c.Close() })
package fake

import (
	"encoding/json"
	"net"
	"net/http"
)

// writeJSON writes v as a JSON response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected and needs no response.
	_ = json.NewEncoder(w).Encode(v)
}

// resetConnection resets the TCP connection of a request instead of responding. It
// panics with http.ErrAbortHandler if w does not support that.
func resetConnection(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	c, _, err := h.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
