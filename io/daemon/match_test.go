package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/fake"
	"bulrushlock/io/pool"
	"bulrushlock/io/proto"
)

// idDialect is a dialect whose backend servers repeat the header Id.
type idDialect struct{ proto.Plain }

// Matches accepts responses without an ID.
func (d idDialect) Matches(request, response http.Header) bool {
	return response.Get("Id") == "" || d.Identifies(request, response)
}

// Identifies accepts only responses with the ID of the request.
func (idDialect) Identifies(request, response http.Header) bool {
	return response.Get("Id") == request.Get("Id")
}

// TestBytesWithoutIDAreNoResponse sends bytes that look like a response, and have no ID, after each
// response: late, where the next one is due.
func TestBytesWithoutIDAreNoResponse(t *testing.T) {
	for _, tt := range []struct {
		name    string
		repeats bool
		extra   string
	}{
		{"success", true, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"},
		{"refusal", true, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
		{"server without IDs", false, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s, err := fake.NewRawServer(func(n int32, r *http.Request, conn net.Conn) {
				extra, id := "", ""
				if n > 1 {
					extra = tt.extra
				}
				if tt.repeats {
					id = "Id: " + r.Header.Get("Id") + "\r\n"
				}
				_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", extra, id, len(r.URL.Path), r.URL.Path)
			})
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = s.Close() })
			matches := newMatcher(idDialect{})
			p := pool.New(&net.Dialer{}, pool.Options{MaxIdle: 8, IdleTimeout: time.Minute, Match: func(r *http.Request, a *http.Response) bool {
				return matches(r.Header, a.Header)
			}})
			c.Cleanup(p.Close)
			for n := range 5 {
				path := fmt.Sprintf("/%d", n)
				r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+s.Addr().String()+path, http.NoBody)
				c.Assert(err, qt.IsNil)
				r.Header.Set("Id", path)
				resp, err := p.RoundTrip(r)
				c.Assert(err, qt.IsNil)
				body, err := io.ReadAll(resp.Body)
				c.Assert(err, qt.IsNil)
				c.Assert(resp.Body.Close(), qt.IsNil)
				c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
				c.Check(string(body), qt.Equals, path)
			}
		})
	}
}
