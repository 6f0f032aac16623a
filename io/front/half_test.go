package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHalfClosedCallerGetsNoEmptySuccess closes the sending direction of a caller's connection while
// its request runs: the caller gets the response of the backend server, or none.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	for _, target := range []string{"GET /lines/1", "POST /claims"} {
		t.Run(target, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(100 * time.Millisecond)
				_, _ = io.WriteString(w, "receipt")
			}))
			c.Cleanup(server.Close)
			n := newTestNode(c, "filing-1", netip.MustParseAddrPort(server.Listener.Addr().String()), netip.AddrPort{})
			conn, err := net.Dial("tcp", addressOf(n.callers).String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: desk\r\nContent-Length: 0\r\n\r\n", target)
			c.Assert(err, qt.IsNil)
			c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			text, _ := io.ReadAll(conn)
			if strings.Contains(string(text), "HTTP/1.1 200") {
				c.Check(string(text), qt.Contains, "receipt")
			}
		})
	}
}
