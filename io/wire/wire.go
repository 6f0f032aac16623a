// Package wire implements the short RPCs between nodes over net/rpc: version exchange,
// document reads, outcome queries, load probes, and reads of the event log. Each call uses
// a connection of its own and has a fixed timeout.
//
// # Usage
//
//	w := wire.New(l, ticket.NodeID{Instance: "claims-1", Incarnation: 7}, control, dial)
//	go w.Serve(listener)
//	verdict, response := w.QueryOutcome(ctx, effect.QueryOutcome{Ticket: t, Peer: peer, Void: true})
package wire

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
	"bulrushlock/core/view"
	"bulrushlock/io/loop"
	"bulrushlock/io/meter"
)

const (
	// callTimeout limits a call, from dialling to the response.
	callTimeout = 400 * time.Millisecond
	// fetchTimeout limits a call whose response is a document. A small instance on a slow
	// link needs more time to send one.
	fetchTimeout = 1500 * time.Millisecond
	// serveTimeout limits the life of an incoming connection, which carries one call.
	serveTimeout = 2 * fetchTimeout
	// maxRequestSize is the size in bytes of the largest request that is read.
	maxRequestSize = 64 << 10
	// maxResponseSize is the size in bytes of the largest response that is read. The
	// largest ones hold a stored response of a backend server or a part of the event log.
	maxResponseSize = 1 << 20
	// maxFetchSize is the size in bytes of the largest response that holds a document.
	maxFetchSize = maxDocumentSize + 64<<10
)

// Endpoint makes RPCs to other nodes and serves theirs.
type Endpoint struct {
	loop *loop.Loop
	self ticket.NodeID
	rpc  *rpc.Server
	dial meter.DialFunc
	// control is the address at which other nodes reach this one.
	control    netip.AddrPort
	compressor compressor
}

// CallError reports an RPC that failed or got no response before its timeout.
type CallError struct {
	Method string
	Peer   netip.AddrPort
	Cause  error
}

// Error returns the method, the peer and the cause.
func (e *CallError) Error() string { return fmt.Sprintf("%s at %v: %v", e.Method, e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// New returns the RPC client and server of the node self, which other nodes reach at
// control. Outgoing connections are made by dial.
func New(l *loop.Loop, self ticket.NodeID, control netip.AddrPort, dial meter.DialFunc) *Endpoint {
	w := &Endpoint{loop: l, self: self, rpc: rpc.NewServer(), dial: dial, control: control}
	if err := w.rpc.RegisterName("Node", &handler{endpoint: w}); err != nil {
		panic(err)
	}
	return w
}

// Serve serves the RPCs that arrive on l until l is closed.
func (ep *Endpoint) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if err := c.SetDeadline(time.Now().Add(serveTimeout)); err != nil {
			_ = c.Close()
			continue
		}
		go ep.rpc.ServeConn(&limitedConn{Conn: c, remaining: maxRequestSize})
	}
}

// call makes one RPC on a connection of its own. It fails with a *CallError.
func (ep *Endpoint) call(ctx context.Context, peer netip.AddrPort, method string, request, response any) error {
	timeout, size := callTimeout, maxResponseSize
	if method == "Fetch" {
		timeout, size = fetchTimeout, maxFetchSize
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := ep.dial(ctx, "tcp", peer.String())
	if err != nil {
		return &CallError{Method: method, Peer: peer, Cause: err}
	}
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		_ = c.Close()
		return &CallError{Method: method, Peer: peer, Cause: err}
	}
	client := rpc.NewClient(&limitedConn{Conn: c, remaining: size})
	defer func() { _ = client.Close() }()
	if err := client.Call("Node."+method, request, response); err != nil {
		return &CallError{Method: method, Peer: peer, Cause: err}
	}
	// The process may have been suspended, which makes the response out of date.
	if time.Now().After(deadline) {
		return &CallError{Method: method, Peer: peer, Cause: context.DeadlineExceeded}
	}
	return nil
}

// QueryOutcome queries the guard of an attempt for its outcome and for its stored response, if any.
// If e.Void is set, the guard voids an attempt that has not run. QueryOutcome returns event.Broken
// if the guard does not respond in time.
func (ep *Endpoint) QueryOutcome(ctx context.Context, e effect.QueryOutcome) (event.Verdict, *event.StoredResponse) {
	q := OutcomeRequest{Ticket: e.Ticket, Key: e.Key, Void: e.Void}
	if e.Ticket.Guard.Instance == ep.self.Instance {
		return ep.queryLocalGuard(q)
	}
	if e.Timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, e.Timeout)
		defer cancel()
		ctx = limited
	}
	q.Stamp = ep.loop.Stamp()
	var response OutcomeResponse
	if err := ep.call(ctx, e.Peer.ControlAddr, "Ask", q, &response); err != nil {
		return event.Broken, nil
	}
	ep.loop.MergeStamp(response.Stamp)
	if !response.Kept {
		return response.Verdict, nil
	}
	return response.Verdict, &response.Answer
}

// queryLocalGuard queries the guard of this node for the outcome of an attempt, and voids
// the attempt if q.Void is set and it has not run.
func (ep *Endpoint) queryLocalGuard(q OutcomeRequest) (event.Verdict, *event.StoredResponse) {
	id, box := ep.loop.OpenMailbox()
	defer ep.loop.CloseMailbox(id)
	ep.loop.Process(event.OutcomeQueried{At: time.Now(), Ticket: q.Ticket, Query: id, Key: q.Key, Void: q.Void})
	v, ok := (<-box).(effect.ReportOutcome)
	if !ok {
		return event.Unknown, nil
	}
	return v.Verdict, v.Response
}

// ExchangeVersions exchanges versions with the node at peer and returns those that the peer holds. It
// fails with a *CallError.
func (ep *Endpoint) ExchangeVersions(ctx context.Context, peer netip.AddrPort, v event.Versions) (VersionsResponse, error) {
	var response VersionsResponse
	err := ep.call(ctx, peer, "Tell", VersionsRequest{From: ep.self, Control: ep.control, Versions: v, Stamp: ep.loop.Stamp()}, &response)
	if err == nil {
		ep.loop.MergeStamp(response.Stamp)
	}
	return response, err
}

// FetchDocument reads a document and its version, without a digest, from the node at peer. It fails with a
// *CallError.
func (ep *Endpoint) FetchDocument(ctx context.Context, peer netip.AddrPort, d event.Document) (text string, v view.Version, err error) {
	var response DocumentResponse
	if err := ep.call(ctx, peer, "Fetch", DocumentRequest{Document: d}, &response); err != nil {
		return "", v, err
	}
	text, err = decompress(response.Packed)
	if err != nil {
		return "", v, &CallError{Method: "Fetch", Peer: peer, Cause: err}
	}
	return text, view.Version{Edition: response.Edition, Epoch: response.Epoch, Revision: response.Revision}, nil
}

// ProbeLoad queries the guard at peer for its load. It fails with a *CallError.
func (ep *Endpoint) ProbeLoad(ctx context.Context, peer netip.AddrPort) (LoadResponse, error) {
	var response LoadResponse
	err := ep.call(ctx, peer, "Probe", LoadRequest{}, &response)
	return response, err
}

// ReadEvents reads the event log of the node at peer, starting at sequence. It fails with a
// *CallError.
func (ep *Endpoint) ReadEvents(ctx context.Context, peer netip.AddrPort, sequence uint64) (EventsResponse, error) {
	var response EventsResponse
	err := ep.call(ctx, peer, "Events", EventsRequest{Sequence: sequence}, &response)
	return response, err
}
