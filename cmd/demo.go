package cmd

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/io/demo"
)

// demoTimeout is the time after which the callers of the demo stop waiting.
const demoTimeout = 14 * time.Second

// demoInvariantError is returned if the demo violated an invariant.
type demoInvariantError struct{}

// Error returns a fixed message.
func (*demoInvariantError) Error() string { return "demo: an invariant was violated" }

// registerDemo adds the command that demonstrates the system.
func registerDemo(a *kingpin.Application, s streams) {
	c := a.Command("demo", "Run a deployment of 13 nodes on loopback, send requests, take a data centre out "+
		"and back, and check invariants. It ends by itself in less than 20 seconds. "+
		"The exit status is 0 when every invariant held and 1 otherwise.\n\n"+
		"Example: bulrushlock demo")
	c.Action(func(*kingpin.ParseContext) error {
		return runDemo(s)
	})
}

// runDemo runs the demo and prints its report.
func runDemo(s streams) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	r, err := demo.New(s.out).Run(ctx)
	if err != nil {
		return &failedError{cause: err}
	}
	if err := r.Print(s.out); err != nil {
		return &failedError{cause: err}
	}
	if !r.Passed() {
		return &failedError{cause: &demoInvariantError{}}
	}
	return nil
}
