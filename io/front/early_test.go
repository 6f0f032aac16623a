package front

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/fake"
)

// receivedBody is a request body as a backend server read it to its end; err is nil if it looked
// complete.
type receivedBody struct {
	bytes []byte
	err   error
}

// earlyServer is a backend server that sends its whole response before it reads the body of a
// request.
type earlyServer struct {
	address netip.AddrPort
	// responded receives a value for each response that was sent, and bodies each body.
	responded chan struct{}
	bodies    chan receivedBody
}

// newEarlyServer starts a backend server that sends response.
func newEarlyServer(c *qt.C, response string) earlyServer {
	s := earlyServer{responded: make(chan struct{}, 8), bodies: make(chan receivedBody, 8)}
	s.address = startEarlyServer(c, func(r *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, response)
		s.responded <- struct{}{}
		body, err := io.ReadAll(r.Body)
		s.bodies <- receivedBody{bytes: body, err: err}
	})
	return s
}

// startEarlyServer starts a backend server that calls serve with each request before it reads the body.
func startEarlyServer(c *qt.C, serve func(r *http.Request, conn net.Conn)) netip.AddrPort {
	s, err := fake.NewEarlyServer(func(_ int32, r *http.Request, conn net.Conn) { serve(r, conn) })
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	return netip.MustParseAddrPort(s.Addr().String())
}

// dial connects to the listener for callers of a node that reaches the backend server over the given
// number of nodes, one or two.
func (s earlyServer) dial(c *qt.C, nodes int) net.Conn {
	n := newTestNodes(c, testRules, s.address, nodes, Options{})
	conn, err := net.Dial("tcp", addressOf(n.callers).String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

const (
	// uploadPiece is the size in bytes of the pieces in which a body is sent, and uploadPause the
	// time between two of them, within which a reader that waits for the body gets its turn.
	uploadPiece = 8_000
	uploadPause = 3 * time.Millisecond
	// hangTime is the time after which a response counts as held back.
	hangTime = 10 * time.Second
)

// startUpload sends the head of a request and the part of its body that a node buffers before it
// forwards the request. The returned function sends the rest and the end of the body.
func startUpload(c *qt.C, conn net.Conn, target string, body []byte, chunked bool) (finish func()) {
	framing, format := fmt.Sprintf("Content-Length: %d", len(body)), "%s"
	if chunked {
		framing, format = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%%s\r\n", uploadPiece)
	}
	send := func(part []byte) {
		for ; len(part) > 0; part = part[uploadPiece:] {
			if _, err := fmt.Fprintf(conn, format, part[:uploadPiece]); err != nil {
				// The node may close the connection once the response is over.
				return
			}
			time.Sleep(uploadPause)
		}
	}
	_, err := fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: desk\r\n%s\r\n\r\n", target, framing)
	c.Assert(err, qt.IsNil)
	const buffered = (maxBufferedBody/uploadPiece + 1) * uploadPiece
	send(body[:buffered])
	return func() {
		send(body[buffered:])
		if chunked {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}
}

// readFinalResponse reads a response after informational (1xx) ones.
func readFinalResponse(c *qt.C, b *bufio.Reader) *http.Response {
	for {
		r, err := http.ReadResponse(b, nil)
		c.Assert(err, qt.IsNil)
		if r.StatusCode >= http.StatusOK {
			return r
		}
		c.Assert(r.Body.Close(), qt.IsNil)
	}
}

// A backend server that responds before it has read a long body must get the rest of that body or
// a broken connection, never a body with a hole that looks complete; and its response must reach
// the caller whole.
func TestEarlyResponseLeavesNoHoleInBody(t *testing.T) {
	text := string(bytes.Repeat([]byte("r"), 90_000))
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	body := make([]byte, 25*uploadPiece)
	_, _ = rand.NewChaCha8([32]byte{}).Read(body)
	for _, chunked := range []bool{false, true} {
		for _, target := range []string{"PUT /lines/a", "POST /claims"} {
			for _, nodes := range []int{1, 2} {
				t.Run(fmt.Sprintf("%s, chunked %v, %d nodes", target, chunked, nodes), func(t *testing.T) {
					c := qt.New(t)
					s := newEarlyServer(c, response)
					conn := s.dial(c, nodes)
					finish := startUpload(c, conn, target, body, chunked)
					<-s.responded
					uploaded := make(chan struct{})
					go func() {
						finish()
						close(uploaded)
					}()
					reader := bufio.NewReader(conn)
					got := readFinalResponse(c, reader)
					gotText, err := io.ReadAll(got.Body)
					c.Check(err, qt.IsNil)
					c.Check(got.Body.Close(), qt.IsNil)
					c.Check(string(gotText) == text, qt.IsTrue)
					<-uploaded
					received := <-s.bodies
					isWhole := received.err == nil && bytes.Equal(received.bytes, body)
					c.Check(isWhole || received.err != nil, qt.IsTrue, qt.Commentf("%d of %d bytes looked complete", len(received.bytes), len(body)))
					checkConnectionIsKept(c, conn, reader)
				})
			}
		}
	}
}

// checkConnectionIsKept checks that a further request on a connection is served.
func checkConnectionIsKept(c *qt.C, conn net.Conn, reader *bufio.Reader) {
	_, err := io.WriteString(conn, "GET /lines/b HTTP/1.1\r\nHost: desk\r\n\r\n")
	c.Assert(err, qt.IsNil)
	r := readFinalResponse(c, reader)
	c.Check(r.StatusCode, qt.Equals, http.StatusOK)
	_, err = io.Copy(io.Discard, r.Body)
	c.Check(err, qt.IsNil)
	c.Check(r.Body.Close(), qt.IsNil)
}

// An early response must not wait until the caller has sent its body, as a caller may wait for the
// response first.
func TestEarlyResponseDoesNotWaitForBody(t *testing.T) {
	body := make([]byte, 25*uploadPiece)
	for _, size := range []int{10, 90_000} {
		for _, target := range []string{"PUT /lines/a", "POST /claims"} {
			for _, nodes := range []int{1, 2} {
				t.Run(fmt.Sprintf("%s, %d bytes, %d nodes", target, size, nodes), func(t *testing.T) {
					c := qt.New(t)
					s := newEarlyServer(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, bytes.Repeat([]byte("r"), size)))
					conn := s.dial(c, nodes)
					finish := startUpload(c, conn, target, body, true)
					c.Assert(conn.SetReadDeadline(time.Now().Add(hangTime)), qt.IsNil)
					reader := bufio.NewReader(conn)
					r := readFinalResponse(c, reader)
					text, err := io.ReadAll(r.Body)
					c.Assert(err, qt.IsNil)
					c.Check(r.Body.Close(), qt.IsNil)
					c.Check(text, qt.HasLen, size)
					finish()
					checkConnectionIsKept(c, conn, reader)
				})
			}
		}
	}
}

// What follows a chunk that is malformed must not be served as a further request of the connection,
// also where the response has been sent by then.
func TestMalformedRestOfBodyEndsConnection(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	const hidden = "GET /lines/hidden HTTP/1.1\r\nHost: desk\r\n\r\n"
	body := make([]byte, 25*uploadPiece)
	for _, rest := range []string{"x\r\n" + hidden, "1\r\nab\r\n" + hidden, "-1\r\n" + hidden, "\r\n" + hidden} {
		for _, target := range []string{"PUT /lines/a", "POST /claims"} {
			t.Run(fmt.Sprintf("%s, %q", target, rest[:4]), func(t *testing.T) {
				c := qt.New(t)
				s := newEarlyServer(c, response)
				conn := s.dial(c, 1)
				_ = startUpload(c, conn, target, body, true)
				reader := bufio.NewReader(conn)
				r := readFinalResponse(c, reader)
				_, err := io.ReadAll(r.Body)
				c.Assert(err, qt.IsNil)
				c.Check(r.Body.Close(), qt.IsNil)
				_, err = io.WriteString(conn, rest)
				c.Assert(err, qt.IsNil)
				c.Assert(conn.SetReadDeadline(time.Now().Add(hangTime)), qt.IsNil)
				_, err = reader.ReadByte()
				c.Check(err, qt.IsNotNil)
				var late net.Error
				c.Check(errors.As(err, &late) && late.Timeout(), qt.IsFalse)
				c.Check(len(s.responded), qt.Equals, 1)
			})
		}
	}
}

// TestResetOfEarlyResponseIsNoEnd guards against an early response without a length whose connection is
// reset while a long body is still being sent: its caller must not take the part that arrived for the
// whole.
func TestResetOfEarlyResponseIsNoEnd(t *testing.T) {
	body := make([]byte, 100*uploadPiece)
	for _, size := range []int{0, 4, 100_000} {
		for _, chunked := range []bool{false, true} {
			for _, target := range []string{"PUT /lines/a", "POST /claims"} {
				for _, nodes := range []int{1, 2} {
					t.Run(fmt.Sprintf("%d bytes, %s, chunked %v, %d nodes", size, target, chunked, nodes), func(t *testing.T) {
						c := qt.New(t)
						address := newResettingServer(c, "HTTP/1.1 200 OK\r\n\r\n"+string(bytes.Repeat([]byte("r"), size)))
						n := newTestNodes(c, bodyRules, address, nodes, Options{HideTickets: true})
						for range 5 {
							conn, err := net.Dial("tcp", addressOf(n.callers).String())
							c.Assert(err, qt.IsNil)
							finish := startUpload(c, conn, target, body, chunked)
							uploaded := make(chan struct{})
							go func() {
								finish()
								close(uploaded)
							}()
							checkIsNoSuccess(c, conn)
							c.Check(conn.Close(), qt.IsNil)
							<-uploaded
						}
					})
				}
			}
		}
	}
}

// newResettingServer starts a backend server that sends response before it reads the body of a request,
// and then resets the connection.
func newResettingServer(c *qt.C, response string) netip.AddrPort {
	return startEarlyServer(c, func(_ *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, response)
		// The node reads the response while it writes the body.
		time.Sleep(2 * uploadPause)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
}

// checkIsNoSuccess checks that the response on a connection fails, or breaks off before its end.
func checkIsNoSuccess(c *qt.C, conn net.Conn) {
	c.Assert(conn.SetReadDeadline(time.Now().Add(hangTime)), qt.IsNil)
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	var late net.Error
	if err != nil {
		c.Check(errors.As(err, &late) && late.Timeout(), qt.IsFalse)
		return
	}
	got, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	c.Check(errors.As(err, &late) && late.Timeout(), qt.IsFalse)
	c.Check(err != nil || isFailure(r), qt.IsTrue, qt.Commentf("status %d, %d bytes looked complete", r.StatusCode, len(got)))
}
