package soak

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// mode is what a proxy does with connections.
type mode int

// The modes of a proxy.
const (
	// pass passes all bytes on.
	pass mode = iota
	// slow delays each part by slowTime.
	slow
	// reset breaks open connections and refuses new ones.
	reset
	// silent passes nothing on, in both directions, and keeps connections open.
	silent
	// oneWay passes nothing on from the server to whoever connected.
	oneWay
	modes
)

// slowTime is the delay of each part in the mode slow.
const slowTime = 20 * time.Millisecond

// proxy stands before one listener of a process and misbehaves by choice.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mutex   sync.Mutex
	changed *sync.Cond
	mode    mode
	closed  bool
	open    map[net.Conn]struct{}
}

// newProxy returns a proxy at address that leads to target.
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

// set changes the mode.
func (p *proxy) set(m mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = m
	p.changed.Broadcast()
	if m != reset {
		return
	}
	for c := range p.open {
		breakOff(c)
	}
}

// close ends the proxy.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.set(reset)
}

// breakOff closes a connection with a reset.
func breakOff(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// serve passes one connection on until either side ends it.
func (p *proxy) serve(c net.Conn) {
	d, err := net.Dial("tcp", p.target.String())
	if err != nil || !p.add(c, d) {
		breakOff(c)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(d, c, false) })
	both.Go(func() { p.copy(c, d, true) })
	both.Wait()
	p.mutex.Lock()
	delete(p.open, c)
	delete(p.open, d)
	p.mutex.Unlock()
	_ = c.Close()
	_ = d.Close()
}

// add notes the two halves of a connection, unless connections are reset now.
func (p *proxy) add(c, d net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.mode == reset {
		breakOff(d)
		return false
	}
	p.open[c], p.open[d] = struct{}{}, struct{}{}
	return true
}

// copy passes parts on from src to dst as the mode allows. Back tells that they come
// from the server.
func (p *proxy) copy(dst, src net.Conn, back bool) {
	b := make([]byte, 16<<10)
	for {
		n, err := src.Read(b)
		if n > 0 {
			p.wait(back)
			if _, failed := dst.Write(b[:n]); failed != nil {
				breakOff(src)
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
			breakOff(dst)
			return
		}
	}
}

// wait returns once a part may be passed on.
func (p *proxy) wait(back bool) {
	p.mutex.Lock()
	for !p.closed && (p.mode == silent || p.mode == oneWay && back) {
		p.changed.Wait()
	}
	m := p.mode
	p.mutex.Unlock()
	if m == slow {
		time.Sleep(slowTime)
	}
}
