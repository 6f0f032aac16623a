// Package cmd holds the command line of bulrushlock.
//
// # Usage
//
//	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// Each command stands in a file of its own, named after the command. A command
// registers itself by a function that is listed in commands.
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

// streams are the places that a command prints to.
type streams struct {
	out io.Writer
	err io.Writer
}

// commands lists the functions that register the commands, in help order.
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
	return status(err, errOut)
}

// status prints err and returns the exit status that stands for it.
func status(err error, errOut io.Writer) int {
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

// failedError is a failure of a command whose input was good.
type failedError struct {
	cause error
}

// Error returns the text of the cause.
func (e *failedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *failedError) Unwrap() error { return e.cause }
