package cmd

import (
	"fmt"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
)

// registerVersion adds the command that prints the version of the program.
func registerVersion(a *kingpin.Application, s streams) {
	c := a.Command("version", "Print the version of the program and of the Go toolchain that built it.")
	c.Action(func(*kingpin.ParseContext) error {
		return runVersion(s)
	})
}

// runVersion prints the module version and the toolchain version on one line.
func runVersion(s streams) error {
	version, toolchain := "unknown", "unknown"
	if b, ok := debug.ReadBuildInfo(); ok {
		version, toolchain = b.Main.Version, b.GoVersion
	}
	if _, err := fmt.Fprintf(s.out, "bulrushlock %s %s\n", version, toolchain); err != nil {
		return &failedError{cause: err}
	}
	return nil
}
