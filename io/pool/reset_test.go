package pool

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/fake"
)

// endlessBody is a request body without end, in pieces of pieceSize bytes.
type endlessBody struct{}

// pieceSize is the size in bytes of the pieces of an endlessBody.
const pieceSize = 2 << 10

// Read fills a piece of p.
func (endlessBody) Read(p []byte) (int, error) { return min(len(p), pieceSize), nil }

// startEarlyServer starts a server that sends response when it has read the head of a request, waits
// for pause, and then ends the connection with end. It returns its URL.
func startEarlyServer(c *qt.C, response string, pause time.Duration, end func(conn *net.TCPConn)) string {
	s, err := fake.NewEarlyServer(func(_ int32, _ *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, response)
		time.Sleep(pause)
		end(conn.(*net.TCPConn))
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	return "http://" + s.Addr().String()
}

// reset resets a connection.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// readEarlyResponse sends a request with an endless body and reads the response after a delay.
func readEarlyResponse(c *qt.C, t *Transport, url string, delay time.Duration) (string, error) {
	r, err := http.NewRequest(http.MethodPost, url, endlessBody{})
	c.Assert(err, qt.IsNil)
	r.ContentLength = -1
	a, err := t.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	time.Sleep(delay)
	got, err := io.ReadAll(a.Body)
	return string(got), err
}

// TestResetWhileBodyIsWrittenIsNoEnd guards against a response without a length whose connection
// is reset while the request body is still being written: what arrived of it is not the whole.
func TestResetWhileBodyIsWrittenIsNoEnd(t *testing.T) {
	ends := map[string]func(conn *net.TCPConn){
		"reset": reset,
		// Bytes that the server has not read turn the close into a reset.
		"closed": func(conn *net.TCPConn) {
			for w := newConn(conn, ""); !w.isReadable(); {
				time.Sleep(100 * time.Microsecond)
			}
			_ = conn.Close()
		},
	}
	for name, end := range ends {
		for _, response := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nhalf", "HTTP/1.0 200 OK\r\n\r\nhalf"} {
			for _, pause := range []time.Duration{0, time.Millisecond} {
				t.Run(fmt.Sprintf("%s after %v, %q", name, pause, response), func(t *testing.T) {
					c := qt.New(t)
					url := startEarlyServer(c, response, pause, end)
					tr := newTransport(c)
					for range 40 {
						got, err := readEarlyResponse(c, tr, url, 0)
						c.Assert(err, qt.IsNotNil, qt.Commentf("%q looked complete", got))
					}
				})
			}
		}
	}
}

// TestOrderlyEndWhileBodyIsWritten guards against the loss of a response without a length that is
// complete before the server has read the request body.
func TestOrderlyEndWhileBodyIsWritten(t *testing.T) {
	ends := map[string]func(conn *net.TCPConn){
		"reads no more": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(100 * time.Millisecond)
			_ = conn.Close()
		},
		"reads on": func(conn *net.TCPConn) { _ = conn.CloseWrite() },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			url := startEarlyServer(c, "HTTP/1.1 200 OK\r\n\r\nwhole", time.Millisecond, end)
			tr := newTransport(c)
			for range 40 {
				got, err := readEarlyResponse(c, tr, url, 0)
				c.Assert(err, qt.IsNil)
				c.Assert(got, qt.Equals, "whole")
			}
		})
	}
}

// TestWholeResponseOutlivesReset guards against the loss of a response that has arrived whole when its
// connection is reset, as the write of the request body fails before the response is read.
func TestWholeResponseOutlivesReset(t *testing.T) {
	c := qt.New(t)
	// The text is longer than the buffer that reads it with the head.
	text := strings.Repeat("whole", readBufferSize)
	url := startEarlyServer(c, responseText(text), time.Millisecond, reset)
	tr := newTransport(c)
	for range 20 {
		got, err := readEarlyResponse(c, tr, url, 5*time.Millisecond)
		c.Check(err, qt.IsNil)
		c.Check(got == text, qt.IsTrue, qt.Commentf("%d of %d bytes", len(got), len(text)))
	}
}
