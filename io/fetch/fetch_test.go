package fetch

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startNode starts a server that handles requests with h and returns its
// address.
func startNode(t *testing.T, h http.HandlerFunc) netip.AddrPort {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func TestAllReturnsResponsesInNodeOrder(t *testing.T) {
	c := qt.New(t)
	slow := startNode(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = w.Write([]byte(`{"name":"slow"}`))
	})
	fast := startNode(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"name":"fast"}`)) })
	refuses := startNode(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusTeapot) })
	hangs := startNode(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	type named struct{ Name string }
	results := All[named](t.Context(), New(500*time.Millisecond), []netip.AddrPort{slow, refuses, fast, hangs}, "/status")
	c.Assert(results, qt.HasLen, 4)
	c.Check(results[0].Value.Name, qt.Equals, "slow")
	c.Check(results[2].Value.Name, qt.Equals, "fast")
	var bad *ResponseError
	c.Assert(errors.As(results[1].Err, &bad), qt.IsTrue)
	c.Check(bad.Status, qt.Equals, http.StatusTeapot)
	var gone *UnreachableError
	c.Assert(errors.As(results[3].Err, &gone), qt.IsTrue)
	c.Check(gone.Node, qt.Equals, hangs)
}

func TestTooLargeResponseIsAnError(t *testing.T) {
	c := qt.New(t)
	part := make([]byte, 1<<20)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range maxResponseSize/len(part) + 1 {
			_, _ = w.Write(part)
		}
	}))
	defer s.Close()
	_, err := New(10*time.Second).Text(t.Context(), netip.MustParseAddrPort(s.Listener.Addr().String()), "/")
	var response *ResponseError
	c.Assert(errors.As(err, &response), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(response.Problem, qt.Contains, "larger than")
}
