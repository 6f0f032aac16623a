package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the path of the program that the tests start.
var program string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the program, runs the tests, and returns their exit status.
func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "bulrushlock")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "bulrushlock")
	build := exec.Command("go", "build", "-race", "-o", program, "bulrushlock")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}
