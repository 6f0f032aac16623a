// Package cmd implements the command line of bulrushlock.
//
// # Usage
//
//	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// Each command is defined in a file named after it, by a function that registers the
// command. The variable commands lists these functions.
package cmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// Exit statuses of every command.
const (
	statusOK     = 0
	statusFailed = 1
	statusUsage  = 2
)

// streams are the writers that a command prints to.
type streams struct {
	out io.Writer
	err io.Writer
}

// commands lists the functions that register the commands, in the order of the help
// text.
var commands = []func(*kingpin.Application, streams){
	registerCheck,
	registerDemo,
	registerExplain,
	registerLoad,
	registerNode,
	registerSoak,
	registerStand,
	registerStatus,
	registerTimeline,
	registerTrace,
	registerTrial,
	registerVersion,
	registerMeasure,
}

// Main runs the command that args name and returns its exit status.
func Main(args []string, out, errOut io.Writer) int {
	a := kingpin.New("bulrushlock", "A load balancer for servers whose load shifts in milliseconds.")
	a.UsageWriter(errOut)
	a.ErrorWriter(errOut)
	exit := -1
	a.Terminate(func(status int) { exit = status })
	s := streams{out: out, err: errOut}
	for _, register := range commands {
		register(a, s)
	}
	_, err := a.Parse(args)
	if exit >= 0 {
		return exit
	}
	return exitStatus(err, errOut)
}

// exitStatus prints err and returns the exit status for it.
func exitStatus(err error, errOut io.Writer) int {
	if err == nil {
		return statusOK
	}
	_, _ = fmt.Fprintf(errOut, "bulrushlock: %v\n", err)
	var failed *failedError
	if errors.As(err, &failed) {
		return statusFailed
	}
	return statusUsage
}

// failedError wraps an error of a command whose arguments and input files were valid. It
// leads to statusFailed instead of statusUsage.
type failedError struct {
	cause error
}

// Error returns the text of the cause.
func (e *failedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *failedError) Unwrap() error { return e.cause }
