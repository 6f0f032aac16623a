package test

import (
	"os"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSettingsAreReloaded checks that a node reloads its settings on SIGHUP and when the
// file changes without a signal. Invalid settings leave the previous ones in force, and
// the node keeps running.
func TestSettingsAreReloaded(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	n := s.instances[0]
	good, err := os.ReadFile(n.settings)
	c.Assert(err, qt.IsNil)
	prints := func(what string) {
		waitUntil(c, what, func() bool { return strings.Contains(n.node.output.String(), what) })
	}
	n.node.signal(c, syscall.SIGHUP)
	prints(`"msg":"settings read","why":"signal"`)
	c.Assert(os.WriteFile(n.settings, append(good, "ask: many\n"...), 0o600), qt.IsNil)
	n.node.signal(c, syscall.SIGHUP)
	prints(`invalid settings; keeping the previous ones`)
	prints(`key \"ask\": must be a whole number`)
	c.Assert(os.WriteFile(n.settings, append(good, "ask: 2\nlines: 7\n"...), 0o600), qt.IsNil)
	prints(`"why":"file"`)
	a := s.send(0, claim("after", ""))
	c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
}
