package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestExpectedContinueIsSent sends bodies only after the 100 response, on one connection.
func TestExpectedContinueIsSent(t *testing.T) {
	c := qt.New(t)
	s := newSite(t, 2<<20, options, echo)
	conn := s.dial(t)
	r := bufio.NewReader(conn)
	for _, size := range []int{1, 5000, 70_000, 300_000} {
		_, err := fmt.Fprintf(conn, "POST /b HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", size)
		c.Assert(err, qt.IsNil)
		line, err := r.ReadString('\n')
		c.Assert(err, qt.IsNil)
		c.Assert(line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
		_, err = r.ReadString('\n')
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, strings.Repeat("x", size))
		c.Assert(err, qt.IsNil)
		a, err := http.ReadResponse(r, nil)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(a.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(a.Body.Close(), qt.IsNil)
		c.Check(len(body) > size, qt.IsTrue)
	}
	c.Assert(conn.Close(), qt.IsNil)
	s.waitUnused(t)
}

// TestHalfClosedConnectionIsAnswered ends the sending direction after the last request. Its handler
// answers at once.
func TestHalfClosedConnectionIsAnswered(t *testing.T) {
	for _, text := range []string{get, get + get, "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n", "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"} {
		c := qt.New(t)
		s := newSite(t, 2<<20, options, echo)
		conn := s.dial(t)
		_, err := io.WriteString(conn, text)
		c.Assert(err, qt.IsNil)
		c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		answer, err := io.ReadAll(conn)
		c.Assert(err, qt.IsNil)
		c.Check(strings.HasPrefix(string(answer), "HTTP/1.1 200 OK\r\n"), qt.IsTrue, qt.Commentf("%q", answer))
		s.waitUnused(t)
	}
}

// TestBrokenOffPartsReleaseAll breaks connections off after each number of bytes of requests with long
// heads and bodies.
func TestBrokenOffPartsReleaseAll(t *testing.T) {
	c := qt.New(t)
	s := newSite(t, 2<<20, options, echo)
	long := "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\nA: " + strings.Repeat("x", 9000) + "\r\n\r\n" + strings.Repeat("y", 20_000) + get
	for n := 1; n <= len(long); n += 331 {
		conn, err := net.Dial("tcp", s.address)
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, long[:n])
		c.Assert(err, qt.IsNil)
		if n%2 == 0 {
			time.Sleep(time.Millisecond)
		}
		c.Assert(conn.Close(), qt.IsNil)
	}
	s.waitUnused(t)
}

// TestSlowHeadOfSixteenKilobytes sends heads of 16,384 bytes within three seconds, on a connection that is
// kept and as the first one.
func TestSlowHeadOfSixteenKilobytes(t *testing.T) {
	c := qt.New(t)
	s := newSite(t, 15<<20, options, echo)
	head := "GET /slow HTTP/1.1\r\nHost: a\r\n"
	head += strings.Repeat("a:\r\n", (16_384-len(head)-2)/4) + "\r\n"
	conn := s.dial(t)
	r := bufio.NewReader(conn)
	for range 2 {
		for part := 0; part < len(head); part += 550 {
			_, err := io.WriteString(conn, head[part:min(part+550, len(head))])
			c.Assert(err, qt.IsNil)
			time.Sleep(90 * time.Millisecond)
		}
		a, err := http.ReadResponse(r, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, a.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(a.Body.Close(), qt.IsNil)
		c.Check(a.StatusCode, qt.Equals, 200)
	}
	c.Assert(conn.Close(), qt.IsNil)
	s.waitUnused(t)
}

// TestRequestsDuringHandlersAreServed sends requests in parts while handlers of requests before them run.
func TestRequestsDuringHandlersAreServed(t *testing.T) {
	c := qt.New(t)
	s := newSite(t, 15<<20, options, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond)
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
		echo(w, r)
	}))
	pieces := []string{
		get, "HEAD /h HTTP/1.1\r\nHost: a\r\n\r\n", "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde",
		"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;x\r\nabcde\r\n0\r\nT: u\r\n\r\n",
		"GET /d HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 9000) + "\r\n\r\n",
		"POST /e HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\nA: " + strings.Repeat("x", 4100) + "\r\n\r\n" + strings.Repeat("y", 90_000),
	}
	var all sync.WaitGroup
	for range 16 {
		all.Go(func() {
			for range 10 {
				var text strings.Builder
				var methods []string
				for range 12 {
					p := pieces[rand.IntN(len(pieces))]
					text.WriteString(p)
					methods = append(methods, p[:strings.IndexByte(p, ' ')])
				}
				conn, err := net.Dial("tcp", s.address)
				if err != nil {
					t.Error(err)
					return
				}
				_ = conn.SetDeadline(time.Now().Add(3 * maxWait))
				go func() {
					for rest := text.String(); rest != ""; {
						n := min(len(rest), 1+rand.IntN(3000))
						if _, err := io.WriteString(conn, rest[:n]); err != nil {
							return
						}
						rest = rest[n:]
						if rand.IntN(4) == 0 {
							time.Sleep(time.Duration(rand.IntN(1500)) * time.Microsecond)
						}
					}
				}()
				r := bufio.NewReader(conn)
				for i, method := range methods {
					a, err := http.ReadResponse(r, &http.Request{Method: method})
					if err != nil {
						t.Errorf("response %d of %v: %v", i, methods, err)
						break
					}
					if _, err := io.Copy(io.Discard, a.Body); err != nil || a.StatusCode != http.StatusOK {
						t.Errorf("response %d: status %d, %v", i, a.StatusCode, err)
					}
					if err := a.Body.Close(); err != nil {
						t.Errorf("response %d: %v", i, err)
					}
				}
				_ = conn.Close()
			}
		})
	}
	all.Wait()
	c.Assert(t.Failed(), qt.IsFalse)
	s.waitUnused(t)
}
