package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestScheduleIsDeterministic(t *testing.T) {
	c := qt.New(t)
	a, b := newSchedule(7, 6, 20*time.Second), newSchedule(7, 6, 20*time.Second)
	// Of each second, 1.5 faults, 0.25 floods and 0.25 returns from copies.
	c.Assert(a, qt.HasLen, 40)
	for i := range a {
		c.Assert(a[i], qt.Equals, b[i])
		c.Assert(a[i].at >= 0 && a[i].at < 20*time.Second && a[i].target < 6, qt.IsTrue)
		c.Assert(a[i].kind == floodServer && a[i].flood != "" || a[i].kind == returnPlatform || a[i].mode > forward && a[i].mode < modeCount, qt.IsTrue)
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

// newSleeper returns a deployment whose program is sleep, and one process of it.
func newSleeper(c *qt.C) (*deployment, *process) {
	d := &deployment{program: "sleep", folder: c.TempDir()}
	p, err := d.spawn("sleeper", "60")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { kill(p) })
	return d, p
}

// A node that is stopped may take a minute to end. A backend server that was paused must
// not stay so until then.
func TestServerIsResumedDuringRestartOfNode(t *testing.T) {
	c := qt.New(t)
	_, p := newSleeper(c)
	n := &instance{serverProcess: p}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	go n.signal(syscall.SIGKILL, true)
	select {
	case <-p.exited:
	case <-time.After(10 * time.Second):
		c.Fatal("the signal waits for the restart of the node")
	}
}

// The kernel sends SIGHUP to all processes of a group that has lost its last link to the
// session if one of them is paused. Processes must not share their group with the shell
// that runs the soak.
func TestProcessesHaveGroupsOfTheirOwn(t *testing.T) {
	c := qt.New(t)
	_, p := newSleeper(c)
	group, err := syscall.Getpgid(p.Process.Pid)
	c.Assert(err, qt.IsNil)
	c.Check(group, qt.Equals, p.Process.Pid)
}

// A port in the ephemeral range may be taken by an outgoing connection before the process
// that it is meant for listens on it.
func TestAddressesAreOutsideTheEphemeralRange(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	c.Assert(err, qt.IsNil)
	var low, high uint16
	_, err = fmt.Sscan(string(text), &low, &high)
	c.Assert(err, qt.IsNil)
	seen := make(map[netip.AddrPort]bool)
	for range 20 {
		list, err := freeAddresses(40)
		c.Assert(err, qt.IsNil)
		c.Assert(list, qt.HasLen, 40)
		clear(seen)
		for _, a := range list {
			c.Assert(a.Port() < low || a.Port() > high, qt.IsTrue, qt.Commentf("%v", a))
			c.Assert(seen[a], qt.IsFalse, qt.Commentf("%v", a))
			seen[a] = true
		}
	}
}

func TestStartErrorTellsHowNodeExited(t *testing.T) {
	c := qt.New(t)
	d := &deployment{program: "false", folder: c.TempDir(), client: newClient()}
	n := &instance{name: "ledger-0", operators: netip.MustParseAddrPort("127.0.0.1:1")}
	d.instances = []*instance{n}
	var err error
	n.node, err = d.spawn(n.name)
	c.Assert(err, qt.IsNil)
	n.serverProcess = n.node
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err = d.waitReady(ctx)
	var start *StartError
	c.Assert(errors.As(err, &start), qt.IsTrue)
	c.Check(err, qt.ErrorMatches, `start ledger-0: .*exit status 1.*`)
}

// A backend server that exits cannot be asked for its runs. It is one violation with its
// cause, and not one for each claim.
func TestExitOfServerIsOneViolation(t *testing.T) {
	c := qt.New(t)
	d, p := newSleeper(c)
	n := &instance{name: "ledger-0", serverProcess: p}
	d.instances = []*instance{n}
	s := New(Options{})
	s.deployment = d
	c.Check(s.checkServers(), qt.IsTrue)
	c.Check(s.violations, qt.HasLen, 0)
	kill(p)
	c.Check(s.checkServers(), qt.IsFalse)
	c.Check(s.violations, qt.DeepEquals, []string{"backend server of ledger-0 exited: signal: killed"})
}
