package test

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// silence is a time for which a process is suspended. It is shorter than the time limits of
// the routes and longer than the intervals of health checks and messages between nodes.
const silence = 1500 * time.Millisecond

// Work that runs on a machine that is only silent for a while must be neither started again
// elsewhere nor given up.
func TestWorkOfSilentMachineContinues(t *testing.T) {
	tests := []struct {
		name string
		// suspended returns the process that is silent, given the index of the guard.
		suspended func(s *system, guard int) *process
	}{
		{"guard", func(s *system, guard int) *process { return s.instances[guard].node }},
		{"backend server", func(s *system, guard int) *process { return s.instances[guard].serverProcess }},
		{"entry", func(s *system, _ int) *process { return s.instances[0].node }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSystem(t, options{})
			c := s.c
			s.warmUp()
			claimed, _, guard := s.startClaim("kept-claim", "1s")
			read := s.sendAsync(0, request{method: "GET", path: "/claims/kept-read", id: "kept-read", work: "1s"})
			waitUntil(c, "the lookup runs", func() bool { return s.runsOf("kept-read", 1, 2) > 0 })
			p := tt.suspended(s, guard)
			p.signal(c, syscall.SIGSTOP)
			time.Sleep(silence)
			p.signal(c, syscall.SIGCONT)
			for id, pending := range map[string]*pending{"kept-claim": claimed, "kept-read": read} {
				a := <-pending.done
				c.Assert(a.err, qt.IsNil, qt.Commentf(id))
				c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%s: %+v", id, a))
				c.Check(s.runsOf(id), qt.Equals, 1, qt.Commentf(id))
			}
		})
	}
}
