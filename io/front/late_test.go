package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/fake"
	"bulrushlock/io/proto"
)

// lateServer is a backend server that sends a second copy of each response: late, while the
// connection is idle, or later still, in front of the next response on the connection.
type lateServer struct {
	// delay is the time after which the copy is sent. If it is 0, the copy is sent when the
	// next request has arrived.
	delay time.Duration
	// identifies reports whether responses carry the id of their request.
	identifies bool

	mutex sync.Mutex
	last  map[net.Conn]string
}

// serve responds to one request with its path.
func (s *lateServer) serve(_ int32, r *http.Request, conn net.Conn) {
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
	if s.identifies {
		text = fmt.Sprintf("HTTP/1.1 200 OK\r\nBulrushlock-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get(proto.HeaderID), len(r.URL.Path), r.URL.Path)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.delay == 0 {
		_, _ = io.WriteString(conn, s.last[conn]+text)
		s.last[conn] = text
		return
	}
	_, _ = io.WriteString(conn, text)
	time.AfterFunc(s.delay, func() { _, _ = io.WriteString(conn, text) })
}

// No caller may get the second copy of the response to another request, which arrives while
// the connection is idle or after it is in use again. In the latter case only the request ID
// tells them apart.
func TestLateCopyOfResponseReachesNobody(t *testing.T) {
	for _, s := range []*lateServer{
		{delay: time.Millisecond},
		{delay: time.Millisecond, identifies: true},
		{identifies: true},
	} {
		t.Run(fmt.Sprintf("delay %v, identifies %v", s.delay, s.identifies), func(t *testing.T) {
			c := qt.New(t)
			s.last = make(map[net.Conn]string)
			server, err := fake.NewRawServer(s.serve)
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = server.Close() })
			one := newTestNode(c, "filing-1", netip.MustParseAddrPort(server.Addr().String()), netip.AddrPort{})
			two := newTestNode(c, "desk-1", netip.MustParseAddrPort(server.Addr().String()), addressOf(one.nodes))
			for i := range 40 {
				for k, base := range []string{one.callers.URL, two.callers.URL} {
					path := fmt.Sprintf("/lines/%d-%d", i, k)
					got := sendRequest(c, base, http.MethodGet, path, "")
					c.Assert(got.Body, qt.Equals, path)
					if s.delay > 0 {
						// The copy arrives on the idle connection.
						time.Sleep(20 * s.delay)
					}
				}
			}
		})
	}
}
