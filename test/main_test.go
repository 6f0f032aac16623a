package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the program, runs the tests and returns their exit status.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bulrushlock")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "bulrushlock")
	build := exec.Command("go", "build", "-race", "-o", binary, "bulrushlock")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}
