package soak

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestScheduleIsDeterministic(t *testing.T) {
	c := qt.New(t)
	a, b := newSchedule(7, 6, 20*time.Second), newSchedule(7, 6, 20*time.Second)
	c.Assert(a, qt.HasLen, 30)
	for i := range a {
		c.Assert(a[i], qt.Equals, b[i])
		c.Assert(a[i].at >= 0 && a[i].at < 20*time.Second && a[i].target < 6 && a[i].mode > forward && a[i].mode < modeCount, qt.IsTrue)
	}
	c.Check(newSchedule(8, 6, 20*time.Second)[0] == a[0], qt.IsFalse)
}

// newEchoServer starts a server that echoes all bytes and returns its address.
func newEchoServer(c *qt.C) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func TestProxy(t *testing.T) {
	tests := []struct {
		name string
		mode proxyMode
		// responded means that the byte comes back, broken that the connection ends.
		responded, broken bool
	}{
		{"pass", forward, true, false},
		{"slow", delay, true, false},
		{"silent", block, false, false},
		{"one way", blockResponses, false, false},
		{"reset", reset, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			p, err := newProxy(netip.MustParseAddrPort("127.0.0.1:0"), newEchoServer(c))
			c.Assert(err, qt.IsNil)
			defer p.close()
			conn, err := net.Dial("tcp", p.listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			exchange := func() error {
				if _, err := conn.Write([]byte("x")); err != nil {
					return err
				}
				c.Assert(conn.SetReadDeadline(time.Now().Add(300*time.Millisecond)), qt.IsNil)
				_, err := conn.Read(make([]byte, 1))
				return err
			}
			c.Assert(exchange(), qt.IsNil)
			p.set(tt.mode)
			err = exchange()
			c.Check(err == nil, qt.Equals, tt.responded)
			if err != nil {
				var timeout net.Error
				c.Check(!errors.As(err, &timeout) || !timeout.Timeout(), qt.Equals, tt.broken, qt.Commentf("%v", err))
			}
		})
	}
}

// TestReportListsViolations checks that each check of the report fails on results that
// violate its invariant.
func TestReportListsViolations(t *testing.T) {
	c := qt.New(t)
	s := New(Options{Seed: 1})
	for range 10 {
		s.results = append(s.results, result{outcome: "run"}, result{outcome: "run", recovered: true})
	}
	r := s.report()
	c.Check(r.Passed(), qt.IsTrue)
	s.results = append(s.results, result{outcome: "unknown", recovered: true}, result{outcome: "none", recovered: true})
	r = s.report()
	c.Check(r.Violations, qt.HasLen, 1)
	for range 40 {
		s.results = append(s.results, result{outcome: "not-run"})
	}
	c.Check(len(s.report().Violations) > 1, qt.IsTrue)
}
