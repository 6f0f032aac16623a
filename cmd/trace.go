package cmd

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/core/reqlog"
	"bulrushlock/io/proto"
)

// maxLineBytes is the size in bytes of the longest log line that can be read.
const maxLineBytes = 1 << 20

// registerTrace adds the command that traces one request through the logs of nodes.
func registerTrace(a *kingpin.Application, s streams) {
	var id string
	var files []string
	c := a.Command("trace", "Trace one request through the logs of nodes and print its steps in causal order. "+
		"The last line says why the request ended as it did. The exit status is 1 when no log line "+
		"mentions the request.\n\nExample: bulrushlock trace 9c41d07be2a35f68 node-1.log node-2.log")
	c.Arg("id", "The request id that the caller set, or that the response has in the header "+proto.HeaderID+".").Required().StringVar(&id)
	c.Arg("file", "Log files of nodes; - reads the standard input.").Required().StringsVar(&files)
	c.Action(func(*kingpin.ParseContext) error {
		return runTrace(id, files, os.Stdin, s)
	})
}

// emptyIDError is returned for an empty request id, which would select all lines that belong
// to no request.
type emptyIDError struct{}

// Error returns a message that says where to find the id.
func (*emptyIDError) Error() string {
	return "trace: the request id is empty; give the id that the caller set, or the one in the response header " + proto.HeaderID
}

// noTraceError is returned if no log line mentions the request.
type noTraceError struct {
	id string
}

// Error returns a message with the request id.
func (e *noTraceError) Error() string {
	return fmt.Sprintf("trace: no log line mentions request %s", e.id)
}

// runTrace prints the decisions on the request with the given id, and why it ended as it
// did.
func runTrace(id string, files []string, in io.Reader, s streams) error {
	if strings.TrimSpace(id) == "" {
		return &emptyIDError{}
	}
	t := reqlog.New(id)
	for _, name := range files {
		if err := addFile(t, name, in); err != nil {
			return err
		}
	}
	decisions := t.Decisions()
	if len(decisions) == 0 {
		return &failedError{cause: &noTraceError{id: id}}
	}
	for _, decision := range decisions {
		if _, err := fmt.Fprintln(s.out, decision); err != nil {
			return &failedError{cause: err}
		}
	}
	if _, err := fmt.Fprintln(s.out, "cause:", t.Cause()); err != nil {
		return &failedError{cause: err}
	}
	return nil
}

// addFile adds the lines of a log file to t; the names "-" and "" stand for in.
func addFile(t *reqlog.Log, name string, in io.Reader) error {
	if name != "-" && name != "" {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		t.Add(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("trace: read %s: %w", name, err)
	}
	return nil
}
