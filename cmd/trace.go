package cmd

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/core/trail"
)

// mostLine is the size in bytes of the longest line of a log that is read.
const mostLine = 1 << 20

// registerTrace adds the command that tells the way of one request.
func registerTrace(a *kingpin.Application, s streams) {
	var id string
	var files []string
	c := a.Command("trace", "Print the way of one request from the logs of nodes, in the order in which its "+
		"steps caused each other. The last line names the cause of its end. The exit status is 1 when no line "+
		"tells of the request.\n\nExample: bulrushlock trace 9c41d07be2a35f68 node-1.log node-2.log")
	c.Arg("id", "The name that the caller gave the request.").Required().StringVar(&id)
	c.Arg("file", "Logs of nodes; - stands for the standard input.").Required().StringsVar(&files)
	c.Action(func(*kingpin.ParseContext) error {
		return runTrace(id, files, os.Stdin, s)
	})
}

// noTraceError is a request of which no line tells.
type noTraceError struct {
	id string
}

// Error names the request.
func (e *noTraceError) Error() string { return fmt.Sprintf("trace: no line tells of request %s", e.id) }

// runTrace prints the way of the request of the given id.
func runTrace(id string, files []string, in io.Reader, s streams) error {
	t := trail.New(id)
	for _, name := range files {
		if err := addFile(t, name, in); err != nil {
			return err
		}
	}
	steps := t.Steps()
	if len(steps) == 0 {
		return &failedError{cause: &noTraceError{id: id}}
	}
	for _, step := range steps {
		if _, err := fmt.Fprintln(s.out, step); err != nil {
			return &failedError{cause: err}
		}
	}
	if _, err := fmt.Fprintln(s.out, "cause:", t.Cause()); err != nil {
		return &failedError{cause: err}
	}
	return nil
}

// addFile adds the lines of a log to t.
func addFile(t *trail.Trail, name string, in io.Reader) error {
	if name != "-" && name != "" {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, mostLine)
	for lines.Scan() {
		t.Add(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("trace: read %s: %w", name, err)
	}
	return nil
}
