package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
)

// endlessMessage is the start of a gob message that announces 1 GB.
var endlessMessage = append([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff}, make([]byte, 1<<16)...)

// sendEndless writes to c until that fails, and returns the number of bytes written.
func sendEndless(c net.Conn) int {
	total := 0
	for {
		n, err := c.Write(endlessMessage)
		total += n
		if err != nil {
			return total
		}
	}
}

// maxBuffered is the number of bytes that the buffers of a connection may hold beyond what is
// read.
const maxBuffered = 16 << 20

func TestEndlessResponseFailsCall(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	sent := make(chan int, 1)
	go func() {
		peer, err := l.Accept()
		if err != nil {
			return
		}
		sent <- sendEndless(peer)
	}()
	w, _ := newEndpoint(c, ticket.NodeID{Instance: "filing-1", Incarnation: 1})
	_, err = w.ExchangeVersions(t.Context(), netip.MustParseAddrPort(l.Addr().String()), event.Versions{})
	var call *CallError
	c.Assert(errors.As(err, &call), qt.IsTrue, qt.Commentf("%v", err))
	n := <-sent
	c.Check(n < maxResponseSize+maxBuffered, qt.IsTrue, qt.Commentf("%d bytes", n))
}

func TestEndlessRequestClosesConnection(t *testing.T) {
	c := qt.New(t)
	w, a := newEndpoint(c, ticket.NodeID{Instance: "filing-1", Incarnation: 1})
	conn, err := net.Dial("tcp", a.String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	n := sendEndless(conn)
	c.Check(n < maxRequestSize+maxBuffered, qt.IsTrue, qt.Commentf("%d bytes", n))
	// The endpoint still serves others.
	_, peer := newEndpoint(c, ticket.NodeID{Instance: "filing-2", Incarnation: 2})
	_, err = w.ExchangeVersions(t.Context(), peer, event.Versions{})
	c.Check(err, qt.IsNil)
}

func TestLimitedConnFailsBeyondItsLimit(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	go func() { _, _ = far.Write(bytes.Repeat([]byte("\x01x"), 50)) }()
	defer func() { _ = far.Close() }()
	c.Assert(near.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	text, err := io.ReadAll(&limitedConn{Conn: near, remaining: 40})
	c.Check(text, qt.HasLen, 40)
	var size *SizeError
	c.Check(errors.As(err, &size), qt.IsTrue)
}

func TestLimitedConnFailsAtAnnouncedSize(t *testing.T) {
	tests := []struct {
		name, text string
		fails      bool
	}{
		{"short", "\x03abc\x01x", false},
		{"one byte", "\xff\x03abc", false},
		{"all that is left", "\xff\x61" + strings.Repeat("x", 97), false},
		{"too long", "\xff\x65", true},
		{"second one too long", "\x03abc\xfe\x01\x00", true},
		{"10 MB", "\xfd\x98\x96\x80", true},
		{"size too long", "\xf7", true},
	}
	for _, tt := range tests {
		for _, size := range []int{1, 3, len(tt.text)} {
			t.Run(fmt.Sprintf("%s by %d bytes", tt.name, size), func(t *testing.T) {
				c := qt.New(t)
				near, far := net.Pipe()
				go func() {
					for part := range slices.Chunk([]byte(tt.text), size) {
						_, _ = far.Write(part)
					}
					_ = far.Close()
				}()
				_, err := io.ReadAll(&limitedConn{Conn: near, remaining: 100})
				_ = near.Close()
				var large *SizeError
				c.Check(errors.As(err, &large), qt.Equals, tt.fails, qt.Commentf("%v", err))
			})
		}
	}
}
