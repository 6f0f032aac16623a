package cmd

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/io/demo"
)

// demoTime is the time after which the callers of the demo give up.
const demoTime = 14 * time.Second

// brokenPromiseError tells that the demo has shown a promise that was not kept.
type brokenPromiseError struct{}

// Error tells what the exit status stands for.
func (*brokenPromiseError) Error() string { return "demo: a promise was not kept" }

// registerDemo adds the command that shows the system at work.
func registerDemo(a *kingpin.Application, s streams) {
	c := a.Command("demo", "Run a deployment of 13 nodes on loopback, send requests, take a data centre out "+
		"and back, and check what must hold. It ends by itself in less than 20 seconds. "+
		"The exit status is 0 when every promise was kept and 1 otherwise.\n\n"+
		"Example: bulrushlock demo")
	c.Action(func(*kingpin.ParseContext) error {
		return runDemo(s)
	})
}

// runDemo runs the demo and prints what it has shown.
func runDemo(s streams) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTime)
	defer cancel()
	r, err := demo.New(s.out).Run(ctx)
	if err != nil {
		return &failedError{cause: err}
	}
	if err := r.Print(s.out); err != nil {
		return &failedError{cause: err}
	}
	if !r.Kept() {
		return &failedError{cause: &brokenPromiseError{}}
	}
	return nil
}
