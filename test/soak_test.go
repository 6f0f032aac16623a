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
	for _, seed := range []string{"3"} {
		out, err := exec.Command(program, "soak", "--seed", seed, "--nodes", "3", "--time", "3s").CombinedOutput()
		qt.New(t).Check(err, qt.IsNil, qt.Commentf("%s", out))
	}
}
