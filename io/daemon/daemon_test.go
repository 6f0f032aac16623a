package daemon_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/fleet"
	"bulrushlock/io/conf"
	"bulrushlock/io/daemon"
	"bulrushlock/io/fake"
)

const testRules = `
service lookup slots=100 conns=250 cold=100 warm=1 queue=5ms shed=yes  # Sunita, lookup desk: rate tables
route GET /lines/* service=lookup idempotent=yes time=2s rank=3  # Sunita, lookup desk: lookups
route POST /claims service=lookup idempotent=no time=2s rank=1  # Sunita, lookup desk: claims
budget probe=5 look=2 retry=10% hedge=0%  # operations: bounds
`

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(c *qt.C) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// startNodes starts count nodes, each with a backend server, and one platform. It
// returns the addresses of the nodes' listeners for callers.
func startNodes(c *qt.C, count int, server func(name string) http.Handler) []netip.AddrPort {
	platform := fake.NewPlatform()
	published := httptest.NewServer(platform)
	c.Cleanup(published.Close)
	var settings []*conf.Settings
	var instances []fleet.Instance
	for i := range count {
		name := fmt.Sprintf("lookup-%d", i+1)
		backend := httptest.NewServer(server(name))
		c.Cleanup(backend.Close)
		s := &conf.Settings{
			Instance: name, Centre: "north", Service: "lookup",
			Callers: freeAddress(c), Nodes: freeAddress(c), Control: freeAddress(c), Operators: freeAddress(c),
			Server:   netip.MustParseAddrPort(backend.Listener.Addr().String()),
			Platform: netip.MustParseAddrPort(published.Listener.Addr().String()),
			Isolated: conf.IsolatedServe,
		}
		settings = append(settings, s)
		instances = append(instances, fleet.Instance{
			Name: name, Centre: s.Centre, Service: s.Service, ForwardAddr: s.Nodes, ControlAddr: s.Control,
		})
	}
	platform.PublishRules(testRules)
	platform.PublishInstances(instances)
	callers := make([]netip.AddrPort, count)
	for i, s := range settings {
		d, err := daemon.New(s, slog.New(slog.DiscardHandler))
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() {
			d.Drain()
			d.Wait()
		})
		callers[i] = s.Callers
		awaitReady(c, s.Operators)
	}
	return callers
}

// awaitReady waits until the node with the given operators' listener is ready.
func awaitReady(c *qt.C, operators netip.AddrPort) {
	for range 1000 {
		a, err := http.Get("http://" + operators.String() + "/ready")
		if err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatal("node is not ready")
}

func TestServeAndDrain(t *testing.T) {
	c := qt.New(t)
	callers := startNodes(c, 2, func(name string) http.Handler {
		return fake.NewServer(fake.ServerOptions{Name: name, Slots: 100})
	})
	tests := []struct {
		name, method, path, outcome string
		status                      int
	}{
		{"lookup", http.MethodGet, "/lines/7", "run", http.StatusOK},
		{"claim", http.MethodPost, "/claims", "run", http.StatusOK},
		{"unknown route", http.MethodGet, "/nothing", "not-run", http.StatusNotFound},
	}
	for _, tt := range tests {
		c.Run(tt.name, func(c *qt.C) {
			r, err := http.NewRequest(tt.method, "http://"+callers[0].String()+tt.path, http.NoBody)
			c.Assert(err, qt.IsNil)
			a, err := http.DefaultClient.Do(r)
			c.Assert(err, qt.IsNil)
			defer func() { _ = a.Body.Close() }()
			c.Assert(a.StatusCode, qt.Equals, tt.status)
			c.Assert(a.Header.Get("Bulrushlock-Outcome"), qt.Equals, tt.outcome)
		})
	}
}

// TestRequestWithTwoFramingsRunsNothing sends a request whose body is another one to a parser that
// goes by the transfer coding.
func TestRequestWithTwoFramingsRunsNothing(t *testing.T) {
	c := qt.New(t)
	var ran atomic.Int32
	callers := startNodes(c, 1, func(string) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/health" {
				ran.Add(1)
			}
		})
	})
	for _, fields := range []string{"Content-Length: 200\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 0", "Content-Length: 3\r\nContent-Length: 5"} {
		conn, err := net.Dial("tcp", callers[0].String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		_, err = io.WriteString(conn, "POST /claims HTTP/1.1\r\nHost: a\r\n"+fields+"\r\n\r\n0\r\n\r\nPOST /claims HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
		c.Assert(err, qt.IsNil)
		text, err := io.ReadAll(conn)
		c.Assert(err, qt.IsNil)
		c.Check(strings.HasPrefix(string(text), "HTTP/1.1 400 "), qt.IsTrue, qt.Commentf("%s", text))
		c.Check(strings.Count(string(text), "HTTP/1.1"), qt.Equals, 1)
	}
	c.Check(ran.Load(), qt.Equals, int32(0))
}

// BenchmarkPath compares a direct request with one through the node beside the caller.
// That node sends its requests to its own backend server.
func BenchmarkPath(b *testing.B) {
	c := qt.New(b)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
	})
	direct := httptest.NewServer(handler)
	defer direct.Close()
	beside := startNodes(c, 1, func(string) http.Handler { return handler })
	targets := []struct{ name, address string }{
		{"direct", direct.Listener.Addr().String()},
		{"beside", beside[0].String()},
	}
	for _, tt := range targets {
		b.Run(tt.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
			for b.Loop() {
				a, err := client.Get("http://" + tt.address + "/lines/7")
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
			}
		})
	}
}
