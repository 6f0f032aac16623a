package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/fake"
)

// brokenResponse is a response that breaks off after text.
type brokenResponse struct {
	name, text string
	// reset makes the connection end with a reset in place of an orderly end.
	reset bool
}

// brokenResponses break off in each framing, before and after the first byte of the body.
func brokenResponses() []brokenResponse {
	const head = "HTTP/1.1 200 OK\r\n"
	half := strings.Repeat("x", 100_000)
	var list []brokenResponse
	for _, f := range []struct{ name, header, before, after string }{
		{"length", "Content-Length: 200000\r\n\r\n", "", half},
		{"chunked", "Transfer-Encoding: chunked\r\n\r\n", "", fmt.Sprintf("%x\r\n%s\r\n", len(half), half)},
		{"chunk", "Transfer-Encoding: chunked\r\n\r\n", "30d40\r\n", "30d40\r\n" + half},
		{"end of chunks", "Transfer-Encoding: chunked\r\n\r\n", "0\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(half), half)},
	} {
		for _, reset := range []bool{false, true} {
			list = append(list,
				brokenResponse{fmt.Sprintf("%s, no body, reset %v", f.name, reset), head + f.header + f.before, reset},
				brokenResponse{fmt.Sprintf("%s, half, reset %v", f.name, reset), head + f.header + f.after, reset},
			)
		}
	}
	// Without a length only a reset tells that the response is not complete, and the native
	// dialect takes no such response.
	return append(list,
		brokenResponse{"until close, no body", head + "\r\n", true},
		brokenResponse{"until close, half", head + "\r\n" + half, true},
		brokenResponse{"head", head + "Content-Le", false},
		brokenResponse{"nothing", "", false},
		brokenResponse{"nothing, reset", "", true},
	)
}

// startBrokenServer starts a backend server that sends r to every request.
func startBrokenServer(c *qt.C, r brokenResponse) netip.AddrPort {
	s, err := fake.NewRawServer(func(_ int32, _ *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, r.text)
		if t, ok := conn.(*net.TCPConn); ok && r.reset {
			_ = t.SetLinger(0)
		}
		_ = conn.Close()
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	return netip.MustParseAddrPort(s.Addr().String())
}

// A response that breaks off must not look complete: it ends with an error for the caller, or
// the caller gets the outcome in its place if no byte of it was sent.
func TestBrokenResponsesNeverLookComplete(t *testing.T) {
	for _, r := range brokenResponses() {
		t.Run(r.name, func(t *testing.T) {
			forEachTarget(qt.New(t), r, func(c *qt.C, response *http.Response, err error, target string) {
				if err != nil {
					// Before the head nothing was told, and the caller could have been.
					c.Check(strings.Contains(r.name, "no body"), qt.IsFalse, qt.Commentf("%s", target))
					return
				}
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
				c.Check(err != nil || isFailure(response), qt.IsTrue, qt.Commentf("%s: status %d, error %v", target, response.StatusCode, err))
			})
		})
	}
}

// forEachTarget calls check with the result of each request of sendToEach, at a backend server that
// sends r.
func forEachTarget(c *qt.C, r brokenResponse, check func(c *qt.C, response *http.Response, err error, target string)) {
	sendToEach(c, Options{}, startBrokenServer(c, r), check)
}

// sendToEach calls check with the result of a lookup and of a claim, each over one node and over two, which
// have the options o for callers.
func sendToEach(c *qt.C, o Options, server netip.AddrPort, check func(c *qt.C, response *http.Response, err error, target string)) {
	one := newTestNodeOptions(c, testRules, "filing-1", server, netip.AddrPort{}, o)
	two := newTestNodeOptions(c, testRules, "desk-1", server, addressOf(one.nodes), o)
	for name, base := range map[string]string{"one node": one.callers.URL, "two nodes": two.callers.URL} {
		for _, target := range []string{"GET /lines/a", "POST /claims"} {
			method, path, _ := strings.Cut(target, " ")
			request, err := http.NewRequest(method, base+path, http.NoBody)
			c.Assert(err, qt.IsNil)
			response, err := http.DefaultTransport.RoundTrip(request) //nolint:bodyclose // check closes it.
			check(c, response, err, target+" over "+name)
		}
	}
}

// isFailure reports whether a response tells the caller that its request failed or may have.
func isFailure(r *http.Response) bool {
	return r.StatusCode/100 == 5 || r.StatusCode == http.StatusConflict
}

// A short response that breaks off within its body must not cost the caller the outcome: nothing
// of it was sent yet.
func TestShortResponseThatBreaksOffGivesAnOutcome(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"
	for _, r := range []brokenResponse{
		{"closed", head + "four", false},
		{"reset", head + "four", true},
		{"one byte short", head + "eleven byte", false},
	} {
		t.Run(r.name, func(t *testing.T) {
			forEachTarget(qt.New(t), r, func(c *qt.C, response *http.Response, err error, target string) {
				c.Assert(err, qt.IsNil, qt.Commentf("%s", target))
				_, err = io.ReadAll(response.Body)
				c.Check(err, qt.IsNil)
				c.Check(response.Body.Close(), qt.IsNil)
				c.Check(isFailure(response), qt.IsTrue, qt.Commentf("%s: status %d", target, response.StatusCode))
			})
		})
	}
}
