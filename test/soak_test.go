package test

import (
	"os/exec"
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
