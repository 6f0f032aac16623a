package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLongerLimitForUnreadBodyCounts lets a handler respond without reading the body and set a limit for
// the rest of it afterwards: a caller that goes on sending gets the response, and no reset.
func TestLongerLimitForUnreadBodyCounts(t *testing.T) {
	c := qt.New(t)
	var leaving atomic.Bool
	h := &drainHandler{
		handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			c.Check(http.NewResponseController(w).SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		}),
		leaving: &leaving,
		crowded: func() bool { return false },
	}
	server := httptest.NewServer(h)
	c.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	const part, parts = 100, 50
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", part*parts)
	c.Assert(err, qt.IsNil)
	for range parts {
		_, err := conn.Write(make([]byte, part))
		c.Assert(err, qt.IsNil)
		time.Sleep(30 * time.Millisecond)
	}
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, a.Body)
	c.Check(err, qt.IsNil)
	c.Assert(a.Body.Close(), qt.IsNil)
	c.Check(a.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}
