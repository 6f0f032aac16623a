package test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// malformedMessages are messages that no listener accepts, or that only one of them accepts
// in part.
func malformedMessages() []string {
	messages := []string{
		"", "\x00", "\r\n\r\n", "GET", "GET / HTTP/1.1\r\n\r\n", "GET /lines/a HTTP/9.9\r\nHost: a\r\n\r\n",
		"POST /claims HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"POST /claims HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\nContent-Length: 10\r\n\r\n",
		"GET /lines/a HTTP/1.1\r\nHost: a\r\nBulrushlock-Ticket: a.b.c\r\nBulrushlock-Call: x\r\n\r\n",
		"GET /lines/a HTTP/1.1\r\nHost: a\r\nBulrushlock-Attempt: =;;\r\nBulrushlock-Versions: ....\r\nBulrushlock-Clock: -1\r\n\r\n",
		"\x07\xff\x82\x00\x00\x00\x00", "\xf8\x7f\xff\xff\xff\xff\xff\xff\xff",
		strings.Repeat("\xff", 600),
	}
	// Datagrams of each kind, cut off at each place and with bytes changed.
	r := rand.New(rand.NewPCG(1, 1))
	for kind := range byte(6) {
		whole := append([]byte{1, kind, 0, 0, 0, 0, 0, 0, 0, 1, 4}, "desk\x00\x00\x00\x00\x00\x00\x00\x01\x01\x02\x03\x04\x05\x06\x00"...)
		for n := range whole {
			messages = append(messages, string(whole[:n]))
			changed := append([]byte{}, whole...)
			changed[n] = byte(r.Uint32())
			messages = append(messages, string(changed))
		}
	}
	return messages
}

// sendMalformed sends a message to a listener and reads what comes back.
func sendMalformed(network string, a netip.AddrPort, message string) error {
	conn, err := net.Dial(network, a.String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, message); err != nil {
		// The node has closed the connection.
		return nil
	}
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, conn)
	}
	return nil
}

// No message may end the process or keep it from serving, on whichever listener it arrives.
func TestMalformedMessagesOnEveryListener(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	n := s.instances[1]
	before, err := s.status(1)
	c.Assert(err, qt.IsNil)
	for _, l := range []struct {
		name, network string
		address       netip.AddrPort
	}{
		{"callers", "tcp", n.callers}, {"nodes", "tcp", n.nodes}, {"control", "tcp", n.control},
		{"datagrams", "udp", n.control}, {"operators", "tcp", n.operators},
	} {
		for i, message := range malformedMessages() {
			c.Assert(sendMalformed(l.network, l.address, message), qt.IsNil, qt.Commentf("%s: message %d", l.name, i))
		}
		c.Assert(s.send(1, claim(fmt.Sprintf("after-%s", l.name), "")).status, qt.Equals, http.StatusOK, qt.Commentf(l.name))
	}
	after, err := s.status(1)
	c.Assert(err, qt.IsNil)
	c.Check(after.Incarnation, qt.Equals, before.Incarnation)
}
