package soak

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// proxyMode is the way in which a proxy handles connections.
type proxyMode int

// Modes of a proxy. The order is part of the schedule that a seed yields.
const (
	// forward forwards all bytes.
	forward proxyMode = iota
	// delay delays each chunk by delayTime.
	delay
	// reset resets open connections and new ones.
	reset
	// block holds back all bytes in both directions and keeps connections open.
	block
	// blockResponses holds back all bytes from the server to the client.
	blockResponses
	modeCount
)

// delayTime is the delay of each chunk in the mode delay.
const delayTime = 20 * time.Millisecond

// proxy is a TCP proxy in front of one listener that injects network faults.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mutex   sync.Mutex
	changed *sync.Cond
	mode    proxyMode
	closed  bool
	open    map[net.Conn]struct{}
}

// newProxy starts a proxy that listens at address and connects to target.
func newProxy(address, target netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, open: make(map[net.Conn]struct{})}
	p.changed = sync.NewCond(&p.mutex)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// set changes the mode. The mode reset also resets all open connections.
func (p *proxy) set(m proxyMode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = m
	p.changed.Broadcast()
	if m != reset {
		return
	}
	for c := range p.open {
		resetConnection(c)
	}
}

// close closes the listener and resets all open connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.set(reset)
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// serve relays one connection until both directions have ended.
func (p *proxy) serve(c net.Conn) {
	d, err := net.Dial("tcp", p.target.String())
	if err != nil || !p.track(c, d) {
		resetConnection(c)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.relay(d, c, false) })
	both.Go(func() { p.relay(c, d, true) })
	both.Wait()
	p.mutex.Lock()
	delete(p.open, c)
	delete(p.open, d)
	p.mutex.Unlock()
	_ = c.Close()
	_ = d.Close()
}

// track records both halves of a connection. In the mode reset it closes d and
// returns false.
func (p *proxy) track(c, d net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.mode == reset {
		resetConnection(d)
		return false
	}
	p.open[c], p.open[d] = struct{}{}, struct{}{}
	return true
}

// relay copies chunks from src to dst as the mode allows. fromServer reports whether
// src is the server.
func (p *proxy) relay(dst, src net.Conn, fromServer bool) {
	b := make([]byte, 16<<10)
	for {
		n, err := src.Read(b)
		if n > 0 {
			p.wait(fromServer)
			if _, failed := dst.Write(b[:n]); failed != nil {
				resetConnection(src)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		case err != nil:
			resetConnection(dst)
			return
		}
	}
}

// wait returns once a chunk may be forwarded.
func (p *proxy) wait(fromServer bool) {
	p.mutex.Lock()
	for !p.closed && (p.mode == block || p.mode == blockResponses && fromServer) {
		p.changed.Wait()
	}
	m := p.mode
	p.mutex.Unlock()
	if m == delay {
		time.Sleep(delayTime)
	}
}
