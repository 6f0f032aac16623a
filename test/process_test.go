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
	// longest is the longest wait for anything that has to happen.
	longest = 30 * time.Second
	// pause is the time between two looks at something that has to happen.
	pause = 20 * time.Millisecond
)

// output collects what a process prints.
type output struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write adds b to the output.
func (o *output) Write(b []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(b)
}

// String returns all that was printed so far.
func (o *output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.String()
}

// process is a process of the program.
type process struct {
	command *exec.Cmd
	output  *output
	ended   chan struct{}
}

// start starts the program with args. The process is killed at the end of the
// test, which fails if the race detector reported anything.
func start(t testing.TB, args ...string) *process {
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
			t.Errorf("fault of a process")
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

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// until waits until condition holds.
func until(c *qt.C, what string, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(longest); !condition(); time.Sleep(pause) {
		if time.Now().After(end) {
			c.Fatalf("not within %v: %s", longest, what)
		}
	}
}
