package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSoak runs short soaks with fixed seeds. A seed that once failed stays here, with
// its cause.
func TestSoak(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct{ seed, nodes, time string }{
		{"3", "3", "3s"},
		// A node received SIGHUP within the first milliseconds after its start and
		// exited, and the soak did not restart it as the platform does.
		{"30", "6", "12s"},
	} {
		t.Run(tt.seed, func(t *testing.T) {
			t.Parallel()
			out, err := exec.Command(binary, "soak", "--seed", tt.seed, "--nodes", tt.nodes, "--time", tt.time).CombinedOutput()
			qt.New(t).Check(err, qt.IsNil, qt.Commentf("%s", out))
		})
	}
}

// An interrupted soak leaves no process behind.
func TestInterruptedSoakEndsItsProcesses(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	p := start(t, "soak", "--seed", "3", "--nodes", "2", "--time", "20s")
	started := make(map[string]bool)
	waitUntil(c, "the processes run and faults are injected", func() bool {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", p.command.Process.Pid))
		c.Assert(err, qt.IsNil)
		for _, name := range threads {
			// A thread may have ended.
			text, _ := os.ReadFile(name)
			for _, id := range strings.Fields(string(text)) {
				started[id] = true
			}
		}
		return strings.Contains(p.output.String(), " for ")
	})
	// The platform, and a backend server and a node of each instance.
	c.Check(len(started) >= 5, qt.IsTrue, qt.Commentf("%v", started))
	p.signal(c, syscall.SIGTERM)
	<-p.ended
	for id := range started {
		text, err := os.ReadFile("/proc/" + id + "/cmdline")
		c.Check(err != nil || !strings.Contains(string(text), "bulrushlock"), qt.IsTrue, qt.Commentf("process %s runs on", id))
	}
}
