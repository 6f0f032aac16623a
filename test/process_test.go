package test

import (
	"bytes"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// maxWait is the longest time that a test waits for a condition.
	maxWait = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// output collects the output of a process.
type output struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write appends b to the output.
func (o *output) Write(b []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(b)
}

// String returns the output so far.
func (o *output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.String()
}

// process is a running process of the program under test.
type process struct {
	command *exec.Cmd
	output  *output
	ended   chan struct{}
}

// start starts the program with args. The process is killed at the end of the test, which
// fails if the output reports a data race or a panic.
func start(t testing.TB, args ...string) *process {
	t.Helper()
	return startProgram(t, binary, args...)
}

// startProgram is like start for the program at a path.
func startProgram(t testing.TB, program string, args ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(program, args...), output: &output{}, ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = p.output, p.output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.ended)
		_ = p.command.Wait()
	}()
	t.Cleanup(func() {
		p.kill()
		text := p.output.String()
		if strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") {
			t.Errorf("the process reported a data race or panicked")
		}
		if t.Failed() {
			t.Logf("%v printed\n%s", args, text)
		}
	})
	return p
}

// signal sends s to the process.
func (p *process) signal(c *qt.C, s syscall.Signal) {
	c.Helper()
	c.Assert(p.command.Process.Signal(s), qt.IsNil)
}

// hasEnded reports whether the process has exited.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// kill kills the process and waits for its exit.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// waitUntil waits until condition holds, and fails the test after maxWait.
func waitUntil(c *qt.C, what string, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(maxWait); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			c.Fatalf("condition not met within %v: %s", maxWait, what)
		}
	}
}
