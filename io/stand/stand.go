// Package stand holds small stand-ins for what is outside of the system: a
// backend server and the platform. Tests and the demo embed them, and each can
// run as a process of its own.
//
// # Usage
//
//	s := stand.NewServer(stand.ServerOptions{Name: "ledger-1", Slots: 10, Cold: 2})
//	h := httptest.NewServer(s)
//	s.SetDrain(true)
//	n := s.Runs("claim-7")
//
//	p := stand.NewPlatform()
//	h := httptest.NewServer(p)
//	revision := p.Publish(text)
//
//	s, err := stand.NewRaw(func(_ int32, _ *http.Request, c net.Conn) { _ = c.Close() })
package stand

import (
	"encoding/json"
	"net"
	"net/http"
)

// answerJSON writes v as the whole answer.
func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone reads no answer, so a failed write changes nothing.
	_ = json.NewEncoder(w).Encode(v)
}

// reset breaks the connection of a request without an answer.
func reset(w http.ResponseWriter) {
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
