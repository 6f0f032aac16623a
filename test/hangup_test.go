package test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// maxStarts is the number of starts in which the state before the first line of the program
// must be seen once.
const maxStarts = 50

// hasSignal reports whether a field of the status of a process, a mask of signals, contains s.
func hasSignal(status, field string, s syscall.Signal) bool {
	for line := range strings.SplitSeq(status, "\n") {
		if mask, ok := strings.CutPrefix(line, field+":"); ok {
			bits, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
			return err == nil && bits&(1<<(uint(s)-1)) != 0
		}
	}
	return false
}

// SIGHUP must not end a node whose runtime is still starting, so the signal is ignored until
// the node handles it.
func TestHangupIsIgnoredBeforeItIsHandled(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	for range maxStarts {
		p := start(c, "node", "--settings", s.instances[0].settings)
		ignored := false
		for !p.hasEnded() {
			text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
			if err != nil || hasSignal(string(text), "SigCgt", syscall.SIGHUP) {
				break
			}
			ignored = ignored || hasSignal(string(text), "SigIgn", syscall.SIGHUP)
		}
		p.kill()
		if ignored {
			return
		}
	}
	c.Check(false, qt.IsTrue, qt.Commentf("SIGHUP was at its default action until it was handled, in %d starts", maxStarts))
}
