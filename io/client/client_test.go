package client_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/fleet"
	"bulrushlock/core/ticket"
	"bulrushlock/io/client"
	"bulrushlock/io/conf"
	"bulrushlock/io/daemon"
	"bulrushlock/io/fake"
)

const testRules = `
service filing slots=20 cold=20 queue=20ms  # Asha: ten workers
route GET /claims/* service=filing idempotent=yes time=2s  # Bina: look up claims
route POST /claims service=filing idempotent=no time=2s body=1KB  # Bina: a claim posted twice doubles a charge
route GET /exports/* service=filing idempotent=yes time=5s  # Chandra: whole ledgers
`

// loopback is the address of a listener whose port the operating system
// selects.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// addressOf returns the address of a test server.
func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// startSystem runs a configuration store, a node, a backend server and a
// client. The returned function stops them.
func startSystem(server *fake.Server) (c *client.Client, end func(), err error) {
	platform := fake.NewPlatform()
	platform.PublishRules(testRules)
	published, backend := httptest.NewServer(platform), httptest.NewServer(server)
	d, err := daemon.New(&conf.Settings{
		Instance: "filing-1", Centre: "patan", Service: "filing",
		Callers: loopback, Nodes: loopback, Control: loopback, Operators: loopback,
		Server: addressOf(backend), Platform: addressOf(published), Isolated: conf.IsolatedServe,
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, nil, err
	}
	s := d.Settings()
	platform.PublishInstances([]fleet.Instance{{
		Name: s.Instance, Centre: s.Centre, Service: s.Service, ForwardAddr: s.Nodes, ControlAddr: s.Control,
	}})
	c = client.New(client.Options{Name: "costing", Centre: "patan", Platform: addressOf(published)})
	end = func() {
		c.Close()
		d.Drain()
		d.Wait()
		backend.Close()
		published.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c, end, errors.Join(c.Ready(ctx), awaitNode(ctx, s.Operators))
}

// awaitNode waits until the node with the given operators' listener is ready.
func awaitNode(ctx context.Context, operators netip.AddrPort) error {
	for ctx.Err() == nil {
		a, err := http.Get("http://" + operators.String() + "/ready")
		if err != nil {
			return err
		}
		_ = a.Body.Close()
		if a.StatusCode == http.StatusOK {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ctx.Err()
}

// startTest calls startSystem and stops the system when the test ends.
func startTest(t *testing.T) (*client.Client, *fake.Server) {
	server := fake.NewServer(fake.ServerOptions{Name: "filing-1", Slots: 20})
	c, end, err := startSystem(server)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(end)
	return c, server
}

// newClaim returns a claim with the ID claim-1.
func newClaim() *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/claims", strings.NewReader("1000 rupees"))
	r.Header.Set("Id", "claim-1")
	return r
}

func TestDoReturnsWholeResponse(t *testing.T) {
	c, server := startTest(t)
	var working sync.WaitGroup
	for range 8 {
		working.Go(func() {
			for range 20 {
				r := httptest.NewRequest(http.MethodGet, "/exports/1?size=300000", http.NoBody)
				r.Header.Set("Id", "export-1")
				a, err := c.Do(t.Context(), r)
				if !qt.Check(t, err, qt.IsNil) {
					return
				}
				body, err := io.ReadAll(a.Body)
				qt.Check(t, err, qt.IsNil)
				want, _ := io.ReadAll(fake.Export("export-1", 300000))
				qt.Check(t, string(body) == string(want), qt.IsTrue)
				qt.Check(t, a.Body.Close(), qt.IsNil)
			}
		})
	}
	working.Wait()
	a, err := c.Do(t.Context(), newClaim())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(body), qt.Contains, `"length":11`)
	qt.Check(t, client.Ticket(a).Guard.Instance, qt.Equals, "filing-1")
	qt.Check(t, server.Runs("claim-1"), qt.Equals, 1)
}

func TestDoReturnsNotRunError(t *testing.T) {
	tests := []struct {
		name    string
		request func() *http.Request
		want    effect.Reason
	}{
		{"no route", func() *http.Request { return httptest.NewRequest(http.MethodDelete, "/claims/1", http.NoBody) }, effect.ReasonRoute},
		{"large body", func() *http.Request {
			return httptest.NewRequest(http.MethodPost, "/claims", strings.NewReader(strings.Repeat("x", 1001)))
		}, effect.ReasonBody},
		{"bad header", func() *http.Request {
			r := newClaim()
			r.Header.Set("Bulrushlock-Call", "x")
			return r
		}, "header"},
	}
	c, server := startTest(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := c.Do(t.Context(), tt.request()) //nolint:bodyclose // There is no response.
			var refused *client.NotRunError
			qt.Assert(t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, refused.Reason, qt.Equals, tt.want)
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Do(ctx, newClaim()) //nolint:bodyclose // There is no response.
	var refused *client.NotRunError
	qt.Check(t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, server.TotalRuns(), qt.Equals, 0)
}

func TestDoReturnsUnknownError(t *testing.T) {
	c, server := startTest(t)
	server.SetDropResponse(true)
	_, err := c.Do(t.Context(), newClaim()) //nolint:bodyclose // There is no response.
	var unknown *client.UnknownError
	qt.Assert(t, errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, unknown.Ticket.Guard.Instance, qt.Equals, "filing-1")
	server.ClearFaults()
	_, err = c.Recover(t.Context(), newClaim(), unknown.Ticket) //nolint:bodyclose // There is no response.
	qt.Check(t, errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, server.Runs("claim-1"), qt.Equals, 1)
}

// sendLateClaim sends a claim that takes longer than the caller waits and
// returns the ticket of its attempt.
func sendLateClaim(ctx context.Context, t *testing.T, c *client.Client, work time.Duration) ticket.Ticket {
	r := newClaim()
	r.Header.Set("Work", work.String())
	_, err := c.Do(ctx, r) //nolint:bodyclose // There is no response.
	var unknown *client.UnknownError
	qt.Assert(t, errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, unknown.Ticket.Guard.Instance, qt.Equals, "filing-1")
	return unknown.Ticket
}

func TestRecoverReturnsResponseAfterCallerGaveUp(t *testing.T) {
	c, server := startTest(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for server.Stats().Busy == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	lost := sendLateClaim(ctx, t, c, 400*time.Millisecond)
	a, err := c.Recover(t.Context(), newClaim(), lost)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(body), qt.Contains, `"id":"claim-1"`)
	qt.Check(t, client.Ticket(a), qt.Equals, lost)
	qt.Check(t, server.Runs("claim-1"), qt.Equals, 1)
}

func TestDoEndsAtItsDeadline(t *testing.T) {
	c, server := startTest(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	sendLateClaim(ctx, t, c, 5*time.Second)
	qt.Check(t, server.Stats().Busy, qt.Equals, 1)
	qt.Check(t, server.Runs("claim-1"), qt.Equals, 1)
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	c, server := startTest(t)
	server.SetTruncateResponse(true)
	a, err := c.Do(t.Context(), httptest.NewRequest(http.MethodGet, "/exports/1?size=1000000", http.NoBody))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = a.Body.Close() }()
	_, err = io.ReadAll(a.Body)
	var cut *client.TruncatedError
	qt.Check(t, errors.As(err, &cut), qt.IsTrue, qt.Commentf("%v", err))
}

func TestCloseRejectsNewRequestsAndWaits(t *testing.T) {
	server := fake.NewServer(fake.ServerOptions{Name: "filing-1"})
	c, end, err := startSystem(server)
	qt.Assert(t, err, qt.IsNil)
	a, err := c.Do(t.Context(), httptest.NewRequest(http.MethodGet, "/exports/1?size=1000000", http.NoBody))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = a.Body.Close() }()
	ended := make(chan struct{})
	go func() {
		end()
		close(ended)
	}()
	n, err := io.Copy(io.Discard, a.Body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, n, qt.Equals, int64(1000000))
	<-ended
	_, err = c.Do(t.Context(), newClaim()) //nolint:bodyclose // There is no response.
	var refused *client.NotRunError
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	qt.Check(t, refused.Reason, qt.Equals, effect.ReasonLeaving)
}
