package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/fake"
)

// TestInvalidStatusIsNoResponse guards against a backend server whose status is none of HTTP: its
// callers must neither get it as a response nor wait for another one until their deadline.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	for _, text := range []string{
		"HTTP/1.1 000 Unknown\r\n" + body,
		"HTTP/1.1 000 Unknown\r\n\r\n",
		"HTTP/1.1 000 Unknown\r\n\r\nHTTP/1.1 200 OK\r\n" + body,
		"HTTP/1.1 099 Unknown\r\n\r\n",
		"HTTP/1.1 +20 OK\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n",
		"HTTP/1.1 600 Unknown\r\n" + body,
		"HTTP/1.1 999 Unknown\r\n" + body,
		"HTTP/1.1 2000 OK\r\n" + body,
		"HTTP/1.1 20 OK\r\n" + body,
	} {
		t.Run(strings.Fields(text)[1], func(t *testing.T) {
			c := qt.New(t)
			// The backend server keeps its connections open.
			checkIsNoResponse(c, Options{}, func(conn net.Conn) { _, _ = io.WriteString(conn, text) })
		})
	}
}

// checkIsNoResponse checks that callers of nodes with the options o are told at once that their requests
// failed, where the backend server calls serve with the connection of each request.
func checkIsNoResponse(c *qt.C, o Options, serve func(conn net.Conn)) {
	s, err := fake.NewRawServer(func(_ int32, _ *http.Request, conn net.Conn) { serve(conn) })
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	began := time.Now()
	sendToEach(c, o, netip.MustParseAddrPort(s.Addr().String()), func(c *qt.C, response *http.Response, err error, target string) {
		c.Assert(err, qt.IsNil, qt.Commentf("%s", target))
		got, err := io.ReadAll(response.Body)
		c.Check(errors.Join(err, response.Body.Close()), qt.IsNil)
		c.Check(isFailure(response), qt.IsTrue, qt.Commentf("%s: status %d, body %q", target, response.StatusCode, got))
	})
	// The routes allow 5 s and 8 s for each request.
	c.Check(time.Since(began) < 4*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}
