package front

import (
	"bufio"
	"errors"
	"fmt"
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

// stallRules returns rules whose responses must begin within header and end within whole, or have no limit if that
// is 0.
func stallRules(header, whole time.Duration) string {
	return fmt.Sprintf(`
service filing slots=200 cold=200 warm=1   # Test: room for all cases
route POST /files service=filing idempotent=no upload=yes time=%[2]v whole=%[1]v   # Test: uploads
route POST /claims service=filing idempotent=no time=%[2]v whole=%[1]v   # Test: claims
route POST /lines service=filing idempotent=yes time=%[2]v whole=%[1]v   # Test: lookups
budget hedge=0%%   # Test: one attempt each
`, whole, header)
}

const (
	// stallTime is the time limit of responses that stall.
	stallTime = 400 * time.Millisecond
	// largeResponse is the size in bytes of a response that no node stores.
	largeResponse = 200_000
)

// stalledResponse is a response of which a backend server sends a part and then nothing, without an end.
type stalledResponse struct {
	path, framing string
	// size is the stated size of the body in bytes, and sent the part of it that is sent.
	size, sent int
	// nodes is the number of nodes that the response passes, and tickets reports that callers get tickets.
	nodes   int
	tickets bool
}

// String names the case.
func (s stalledResponse) String() string {
	return fmt.Sprintf("%s %s, %d of %d bytes, %d nodes, tickets %v", s.path, s.framing, s.sent, s.size, s.nodes, s.tickets)
}

// text returns the part of the response that is sent.
func (s stalledResponse) text() string {
	part := strings.Repeat("x", s.sent)
	switch s.framing {
	case "length":
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", s.size, part)
	case "chunked":
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", s.size, part)
	}
	return "HTTP/1.1 200 OK\r\n\r\n" + part
}

// stalledRequest is a request whose response stalls.
type stalledRequest struct {
	conn net.Conn
	// arrived receives a value when the request has reached the backend server, and released once the node has closed
	// the connection to it.
	arrived, released chan struct{}
}

// start starts the backend server and the nodes, which have the given rules, and sends a request.
func (s stalledResponse) start(c *qt.C, rules string) stalledRequest {
	r := stalledRequest{arrived: make(chan struct{}, 1), released: make(chan struct{}, 1)}
	end := make(chan struct{})
	server, err := fake.NewRawServer(func(_ int32, _ *http.Request, conn net.Conn) {
		r.arrived <- struct{}{}
		go func() {
			<-end
			_ = conn.Close()
		}()
		_, _ = io.WriteString(conn, s.text())
		_, _ = io.Copy(io.Discard, conn)
		r.released <- struct{}{}
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = server.Close() })
	address := netip.MustParseAddrPort(server.Addr().String())
	n := newTestNodes(c, rules, address, s.nodes, Options{HideTickets: !s.tickets, HoldBytes: 1 << 20})
	r.conn, err = net.Dial("tcp", addressOf(n.callers).String())
	c.Assert(err, qt.IsNil)
	// The nodes end after this, and wait for their requests.
	c.Cleanup(func() {
		_ = r.conn.Close()
		close(end)
	})
	c.Assert(r.conn.SetDeadline(time.Now().Add(hangTime)), qt.IsNil)
	_, err = fmt.Fprintf(r.conn, "POST %s HTTP/1.1\r\nHost: desk\r\nContent-Length: 4\r\n\r\nbody", s.path)
	c.Assert(err, qt.IsNil)
	return r
}

// checkReleased checks that the node closes its connection to the backend server, which frees the slot.
func (r stalledRequest) checkReleased(c *qt.C) {
	select {
	case <-r.released:
	case <-time.After(hangTime):
		c.Error("the connection to the backend server is still in use")
	}
}

// stalledResponses returns responses of each kind of route and framing, with sizes around that up to which
// responses are stored.
func stalledResponses() []stalledResponse {
	var list []stalledResponse
	for _, path := range []string{"/files", "/claims", "/lines"} {
		for _, framing := range []string{"length", "chunked", "until close"} {
			for _, sizes := range [][2]int{{10_000, 4_000}, {64<<10 + 1, 40_000}, {largeResponse, 0}, {largeResponse, 64<<10 + 1}} {
				for _, nodes := range []int{1, 2} {
					for _, tickets := range []bool{false, true} {
						// Nodes with tickets take no response that ends with its connection.
						if framing != "until close" || !tickets {
							list = append(list, stalledResponse{path: path, framing: framing, size: sizes[0], sent: sizes[1], nodes: nodes, tickets: tickets})
						}
					}
				}
			}
		}
	}
	return list
}

// TestStalledResponseEndsAtTimeLimit guards against responses whose body is read after the bound of the
// exchange has been removed, so that a backend server that stalls holds its caller and a slot without end.
func TestStalledResponseEndsAtTimeLimit(t *testing.T) {
	for _, s := range stalledResponses() {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := s.start(c, stallRules(stallTime, stallTime))
			checkEnds(c, r.conn)
			if s.tickets && s.path != "/lines" && s.sent <= 64<<10 {
				// It may still be stored, so that its caller can query it past the deadline.
				return
			}
			select {
			case <-r.arrived:
				r.checkReleased(c)
			default:
				// A busy machine took longer than the time limit to forward the request.
			}
		})
	}
}

// checkEnds checks that the caller gets an end that doesn't look like a whole response.
func checkEnds(c *qt.C, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			c.Check(isTimeout(err), qt.IsFalse, qt.Commentf("no response"))
			return
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		_, err = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		c.Check(isTimeout(err), qt.IsFalse, qt.Commentf("the response has no end"))
		c.Check(err != nil || isFailure(r), qt.IsTrue, qt.Commentf("status %d looks complete", r.StatusCode))
		return
	}
}

// TestLeavingCallerEndsStalledResponse guards against responses that go on without a caller: one that is too
// large to be stored is of no use once its caller has left.
func TestLeavingCallerEndsStalledResponse(t *testing.T) {
	for _, s := range stalledResponses() {
		if s.size < largeResponse || s.sent <= 64<<10 && s.framing != "length" {
			continue
		}
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := s.start(c, stallRules(hangTime, 0))
			select {
			case <-r.arrived:
			case <-time.After(hangTime):
				c.Fatal("the backend server gets no request")
			}
			// By now the response has begun, if its first part was sent.
			time.Sleep(10 * uploadPause)
			c.Assert(r.conn.Close(), qt.IsNil)
			r.checkReleased(c)
		})
	}
}

// isTimeout reports whether an operation on a connection has run into its deadline.
func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
