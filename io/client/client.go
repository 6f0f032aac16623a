// Package client lets a Go program send requests without a node beside it. It runs
// the entry of a node within the program and sends attempts directly to the guards
// of the backend servers.
//
// # Usage
//
//	c := client.New(client.Options{Name: "costing", Centre: "patan", Platform: platform})
//	defer c.Close()
//	if err := c.Ready(ctx); err != nil {
//		return err // no rules yet: a *NotReadyError
//	}
//	r, err := http.NewRequest(http.MethodPost, "/claims", body)
//	a, err := c.Do(ctx, r)
//	var unknown *client.UnknownError
//	if errors.As(err, &unknown) {
//		a, err = c.Recover(ctx, r, unknown.Ticket) // query the outcome
//	}
//
// The deadline of the context is the deadline of the request. The response body
// must be closed. Reading a truncated body returns a *TruncatedError; a body that ends
// with io.EOF is complete.
package client

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"bulrushlock/core/effect"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/core/shaper"
	"bulrushlock/core/ticket"
	"bulrushlock/io/admin"
	"bulrushlock/io/egress"
	"bulrushlock/io/front"
	"bulrushlock/io/health"
	"bulrushlock/io/loop"
	"bulrushlock/io/plat"
	"bulrushlock/io/remote"
	"bulrushlock/io/runner"
	"bulrushlock/io/wire"
)

const (
	// namePrefix is prepended to the name of a client, so that it differs from
	// the names of all instances.
	namePrefix = "client:"
	// readyPollInterval is the interval at which Ready checks the client's
	// state.
	readyPollInterval = 10 * time.Millisecond
)

// Options configure a Client.
type Options struct {
	// Name is the client's name in the event log. It consists of a-z, 0-9 and
	// hyphens.
	Name string
	// Centre is the data centre of the client. Its backend servers are
	// preferred.
	Centre string
	// Platform is the address of the configuration store, which publishes the
	// rules and the instance list.
	Platform netip.AddrPort
	// Peers are the control listeners of some nodes, which are contacted at
	// start.
	Peers []netip.AddrPort
	// Logger receives a line for each change of state; nil disables logging.
	Logger *slog.Logger
	// Scope receives the metrics; nil disables metrics.
	Scope tally.Scope
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	loop   *loop.Loop
	runner *runner.Runner
	remote *remote.Exchanger
	front  *front.Front

	mutex  sync.Mutex
	closed bool
	active sync.WaitGroup
}

// noServer replaces the health check of a backend server, as a client has none.
type noServer struct{}

var _ health.Checker = noServer{}

// Check returns an empty result.
func (noServer) Check(context.Context, string) (health.Result, error) { return health.Result{}, nil }

// New starts a client. It reads the rules and the instance list in the
// background; until then requests fail with a *NotRunError.
func New(o Options) *Client {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	self := ticket.NodeID{Instance: namePrefix + o.Name, Incarnation: rand.Uint64()}
	c := &Client{runner: runner.New(runner.Options{
		Platform:      plat.NewHTTP(o.Platform, &http.Client{Transport: &http.Transport{}}),
		HealthChecker: noServer{},
		Peers:         o.Peers,
		Drained:       func() {},
	})}
	n := node.New(node.Config{
		Instance:    self.Instance,
		Incarnation: self.Incarnation,
		Centre:      o.Centre,
	}, pick.NewLoadAware())
	c.loop = loop.New(n, loop.Options{
		Instance: self.Instance,
		Centre:   o.Centre,
		Logger:   o.Logger,
		Scope:    o.Scope,
		Execute:  c.runner.Do,
	})
	w := wire.New(c.loop, self, netip.AddrPort{}, (&net.Dialer{}).DialContext)
	c.remote = remote.New(c.loop, &net.Dialer{Timeout: dialTimeout})
	c.front = front.New(c.loop, front.Options{Local: c.remote, Remote: c.remote, Querier: w, Scope: o.Scope, Egress: egress.New(shaper.New(0))})
	c.runner.Start(c.loop, w)
	return c
}

// dialTimeout is the timeout for connecting to a node.
const dialTimeout = 500 * time.Millisecond

// Ready waits until the client has rules and an instance list. It returns a
// *NotReadyError if ctx ends first.
func (c *Client) Ready(ctx context.Context) error {
	t := time.NewTicker(readyPollInterval)
	defer t.Stop()
	for !c.isReady() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return &NotReadyError{Cause: ctx.Err()}
		}
	}
	return nil
}

// isReady reports whether the client has rules and an instance list.
func (c *Client) isReady() bool {
	_, v := c.loop.LoadReport()
	return v.Rules.Revision > 0 && v.Fleet.Revision > 0
}

// Operators returns a handler that serves the client's state, event log and
// views on the same paths as a node; metrics serves its metrics.
func (c *Client) Operators(metrics http.Handler) http.Handler { return admin.New(c.loop, metrics) }

// Close rejects new requests, waits until all response bodies are read or
// closed, and stops the client.
func (c *Client) Close() {
	c.mutex.Lock()
	alreadyClosed := c.closed
	c.closed = true
	c.mutex.Unlock()
	if alreadyClosed {
		return
	}
	c.active.Wait()
	c.runner.Stop()
	c.loop.Stop()
	c.remote.Close()
}

// beginRequest counts an active request. It returns a *NotRunError if the
// client is closed.
func (c *Client) beginRequest() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return &NotRunError{Reason: effect.ReasonLeaving}
	}
	c.active.Add(1)
	return nil
}
