package test

import (
	"os/exec"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A short run of the soak with a fixed seed. Seeds that ever failed are kept here, each
// with a line on the cause.
func TestSoak(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct{ seed, nodes, time string }{
		{"3", "3", "3s"},
		// A node got SIGHUP within the first milliseconds of its life and ended, and the
		// soak did not start it again as the platform does.
		{"30", "6", "12s"},
	} {
		t.Run(tt.seed, func(t *testing.T) {
			t.Parallel()
			out, err := exec.Command(program, "soak", "--seed", tt.seed, "--nodes", tt.nodes, "--time", tt.time).CombinedOutput()
			qt.New(t).Check(err, qt.IsNil, qt.Commentf("%s", out))
		})
	}
}
