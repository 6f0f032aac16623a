// Package client lets a Go program send requests to backend servers without a
// node in between: it embeds the half of a node that callers talk to, and sends
// attempts straight to the guards of the backend servers.
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
//		a, err = c.Recover(ctx, r, unknown.Ticket) // what became of it?
//	}
//
// The deadline of the context is the deadline of the request. The answer must be
// closed. Reading a body that breaks off fails with a *CutError; a body that ends
// with io.EOF is whole.
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
	"bulrushlock/core/shape"
	"bulrushlock/core/ticket"
	"bulrushlock/io/carry"
	"bulrushlock/io/front"
	"bulrushlock/io/link"
	"bulrushlock/io/loop"
	"bulrushlock/io/oper"
	"bulrushlock/io/plat"
	"bulrushlock/io/serve"
	"bulrushlock/io/spout"
	"bulrushlock/io/wire"
)

const (
	// namePrefix stands before the name of a client, so that no instance has the same name.
	namePrefix = "client:"
	// readyTime is the time between two looks whether the client is ready.
	readyTime = 10 * time.Millisecond
)

// Options tell a client who it is and whom it asks.
type Options struct {
	// Name names the client in the time line. It consists of a-z, 0-9 and -.
	Name string
	// Centre is the data centre of the client, whose backend servers go first.
	Centre string
	// Platform is the address of the configuration service and the instance list.
	Platform netip.AddrPort
	// Peers are the control listeners of a few nodes, which are asked at start.
	Peers []netip.AddrPort
	// Logger gets a line for each change of state; nil logs nothing.
	Logger *slog.Logger
	// Scope gets the metrics; nil counts nothing.
	Scope tally.Scope
}

// Client sends requests. It may be used by any number of goroutines.
type Client struct {
	loop    *loop.Loop
	carrier *carry.Carrier
	link    *link.Link
	front   *front.Front

	mutex   sync.Mutex
	closed  bool
	working sync.WaitGroup
}

// noServer stands in place of the backend server that a client does not have.
type noServer struct{}

var _ serve.Looker = noServer{}

// Look tells nothing.
func (noServer) Look(context.Context, string) (serve.Sight, error) { return serve.Sight{}, nil }

// New starts a client. It reads the rules and the list of instances on its own;
// until then requests fail with a *NotRunError.
func New(o Options) *Client {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	self := ticket.Node{Instance: namePrefix + o.Name, Incarnation: rand.Uint64()}
	c := &Client{carrier: carry.New(carry.Options{
		Platform: plat.NewHTTP(o.Platform, &http.Client{Transport: &http.Transport{}}),
		Looker:   noServer{},
		Peers:    o.Peers,
		Finished: func() {},
	})}
	n := node.New(node.Identity{
		Instance:    self.Instance,
		Incarnation: self.Incarnation,
		Centre:      o.Centre,
	}, pick.NewAware())
	c.loop = loop.New(n, loop.Options{
		Instance: self.Instance,
		Centre:   o.Centre,
		Logger:   o.Logger,
		Scope:    o.Scope,
		Carry:    c.carrier.Do,
	})
	w := wire.New(c.loop, self, netip.AddrPort{}, (&net.Dialer{}).DialContext)
	c.link = link.New(c.loop, &net.Dialer{Timeout: dialTime})
	c.front = front.New(c.loop, front.Options{Local: c.link, Remote: c.link, Asker: w, Scope: o.Scope, Spout: spout.New(shape.New(0))})
	c.carrier.Start(c.loop, w)
	return c
}

// dialTime is the longest time for making a connection to a node.
const dialTime = 500 * time.Millisecond

// Ready waits until the client holds rules and a list of instances. It fails
// with a *NotReadyError when ctx ends before.
func (c *Client) Ready(ctx context.Context) error {
	t := time.NewTicker(readyTime)
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

// isReady reports whether the client holds rules and a list of instances.
func (c *Client) isReady() bool {
	_, v := c.loop.Load()
	return v.Rules.Revision > 0 && v.Fleet.Revision > 0
}

// Operators returns a handler that shows the state, the time line and the views
// of the client in the way of a node; metrics serves its metrics.
func (c *Client) Operators(metrics http.Handler) http.Handler { return oper.New(c.loop, metrics) }

// Close refuses new requests, waits until all answers are read or closed, and
// ends the client.
func (c *Client) Close() {
	c.mutex.Lock()
	again := c.closed
	c.closed = true
	c.mutex.Unlock()
	if again {
		return
	}
	c.working.Wait()
	c.carrier.Stop()
	c.loop.Stop()
	c.link.Close()
}

// enter counts a request, unless the client is closed.
func (c *Client) enter() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return &NotRunError{Reason: effect.ReasonLeaving}
	}
	c.working.Add(1)
	return nil
}
