// Package soak runs a fleet of real processes on one machine, injects faults from
// outside them, and checks what must hold from what callers and backend servers see.
//
// A seed stands for a schedule of faults: the same ones at the same times in every
// run. Signals, restarts, orders and broken connections overlap. Processes are ended by
// their ids, and only those that the soak started.
//
// # Usage
//
//	s := soak.New(soak.Options{Program: program, Seed: 7, Nodes: 6, Time: 20 * time.Second, Out: os.Stdout})
//	r, err := s.Run(ctx)
//	if err == nil && !r.Kept() {
//		return r.Broken
//	}
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Options tell a Soak what to run.
type Options struct {
	// Program is the path of the program whose processes are run.
	Program string
	Seed    uint64
	Nodes   int
	// Time is the time during which faults begin.
	Time time.Duration
	// Out gets the schedule and the result.
	Out io.Writer
}

const (
	// startTime is the longest time until all nodes are ready.
	startTime = 20 * time.Second
	// calmTime is the time after the last fault in which the fleet has to recover, and
	// the time for which service is then measured.
	calmTime = 6 * time.Second
	// callTime is the longest time that a caller waits.
	callTime = 5 * time.Second
	// callers is the number of callers of each node.
	callers = 4
	// callPause is the time between two requests of a caller.
	callPause = 50 * time.Millisecond
	// leastServed is the share of requests that are served during the faults, and
	// leastCalm that in the calm after them. A fleet that refuses all is safe and useless.
	leastServed = 0.3
	leastCalm   = 0.9
)

// Soak is one run.
type Soak struct {
	options Options
	fleet   *fleetOf

	mutex  sync.Mutex
	calls  []call
	broken []string
	calm   bool
	rules  map[string]uint64
}

// call is what a caller saw of one request.
type call struct {
	id      string
	claim   bool
	outcome string
	calm    bool
}

// Report tells what a run has shown.
type Report struct {
	Seed   uint64
	Calls  int
	Served int
	// CalmCalls and CalmServed count the requests after the last fault.
	CalmCalls  int
	CalmServed int
	// Broken lists the promises that were not kept.
	Broken []string
}

// Kept reports whether every promise was kept.
func (r Report) Kept() bool { return len(r.Broken) == 0 }

// String returns the report as one line.
func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d of %d requests served, %d of %d after the faults, %d promises broken",
		r.Seed, r.Served, r.Calls, r.CalmServed, r.CalmCalls, len(r.Broken))
}

// New returns a run that has not begun.
func New(o Options) *Soak { return &Soak{options: o, rules: make(map[string]uint64)} }

// Run runs the schedule of the seed. It fails with a *StartError where the fleet does not start.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, &StartError{Name: "folder", Cause: err}
	}
	defer func() {
		if len(s.broken) > 0 {
			_, _ = fmt.Fprintln(s.options.Out, "the logs of all processes are kept in", folder)
			return
		}
		_ = os.RemoveAll(folder)
	}()
	s.fleet, err = start(s.options.Program, folder, s.options.Nodes)
	if s.fleet != nil {
		defer s.fleet.stop()
	}
	if err != nil {
		return Report{}, err
	}
	starting, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := s.fleet.ready(starting); err != nil {
		return Report{}, err
	}
	s.play(ctx)
	s.check()
	return s.report(), nil
}

// play lets callers send while the faults of the schedule come and go.
func (s *Soak) play(ctx context.Context) {
	calling, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	for i, n := range s.fleet.instances {
		for k := range callers {
			all.Go(func() { s.caller(calling, n, fmt.Sprintf("%d-%d-%d", s.options.Seed, i, k)) })
		}
	}
	all.Go(func() { s.watch(calling) })
	began := time.Now()
	var faults sync.WaitGroup
	for _, f := range planOf(s.options.Seed, s.options.Nodes, s.options.Time) {
		select {
		case <-time.After(time.Until(began.Add(f.at))):
		case <-ctx.Done():
		}
		_, _ = fmt.Fprintln(s.options.Out, f)
		faults.Go(func() { s.inject(f) })
	}
	faults.Wait()
	time.Sleep(calmTime)
	s.setCalm()
	time.Sleep(calmTime)
	cancel()
	all.Wait()
}

// setCalm tells that the faults are over and that the fleet had time to recover.
func (s *Soak) setCalm() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calm = true
}

// inject brings a fault and takes it back.
func (s *Soak) inject(f fault) {
	n := s.fleet.instances[f.target]
	var err error
	switch f.kind {
	case pauseNode, pauseServer:
		n.signal(syscall.SIGSTOP, f.kind == pauseServer)
		time.Sleep(f.length)
		n.signal(syscall.SIGCONT, f.kind == pauseServer)
	case killNode:
		err = s.fleet.restart(n, syscall.SIGKILL)
	case stopNode:
		err = s.fleet.restart(n, syscall.SIGTERM)
	case rereadNode:
		n.signal(syscall.SIGHUP, false)
	case troubleNode:
		n.front.set(f.mode)
		time.Sleep(f.length)
		n.front.set(pass)
	case troublePlatform:
		s.fleet.before.set(f.mode)
		time.Sleep(f.length)
		s.fleet.before.set(pass)
	case slowServer:
		s.control(n, "slow")
		time.Sleep(f.length)
		s.control(n, "none")
	case outCentre:
		centre := centres[f.target%len(centres)]
		s.fleet.setOut(centre, true)
		time.Sleep(f.length)
		s.fleet.setOut(centre, false)
	case kinds:
	}
	if err != nil {
		s.fail("a node was not started again: %v", err)
	}
}

// control sets a fault of the backend server of an instance.
func (s *Soak) control(n *instance, name string) {
	r, err := s.fleet.client.Post("http://"+n.server.String()+"/control?fault="+name, "text/plain", http.NoBody)
	if err == nil {
		_ = r.Body.Close()
	}
}

// fail notes a promise that was not kept.
func (s *Soak) fail(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// caller sends lookups and claims over kept connections until ctx ends.
func (s *Soak) caller(ctx context.Context, n *instance, name string) {
	t := &http.Transport{}
	client := &http.Client{Transport: t, Timeout: callTime}
	defer t.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		s.send(client, n, fmt.Sprintf("%s-%d", name, i), i%2 == 0)
		select {
		case <-time.After(callPause):
		case <-ctx.Done():
		}
	}
}

// send sends one request and notes what the caller sees.
func (s *Soak) send(client *http.Client, n *instance, id string, claim bool) {
	method, path, body := http.MethodGet, "/lines/"+id, ""
	if claim {
		method, path, body = http.MethodPost, "/claims", id
	}
	r, err := http.NewRequest(method, "http://"+n.callers.String()+path, strings.NewReader(body))
	if err != nil {
		s.fail("request %s: %v", id, err)
		return
	}
	r.Header.Set("Id", id)
	c := call{id: id, claim: claim, outcome: s.exchange(client, r, id)}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c.calm = s.calm
	s.calls = append(s.calls, c)
}

// exchange sends r and returns its outcome. It checks that an answer belongs to it.
func (s *Soak) exchange(client *http.Client, r *http.Request, id string) string {
	a, err := client.Do(r)
	if err != nil {
		return "none"
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return "none"
	}
	outcome := a.Header.Get("Bulrushlock-Outcome")
	if outcome != "run" || a.StatusCode != http.StatusOK {
		return outcome
	}
	var echo struct{ ID string }
	if err := json.Unmarshal(text, &echo); err != nil || echo.ID != id {
		s.fail("the answer to %s is %q", id, text)
	}
	return outcome
}

// watch starts nodes again that have ended, and reads the revisions of all, which never
// go back within a life.
func (s *Soak) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.fleet.supervise(); err != nil {
			s.fail("a node was not started again: %v", err)
		}
		for _, n := range s.fleet.instances {
			status, err := s.fleet.status(n)
			if err != nil {
				continue
			}
			life := status.Instance + "." + status.Life
			if status.Rules < s.rules[life] {
				s.fail("rules of %s went back from %d to %d", life, s.rules[life], status.Rules)
			}
			s.rules[life] = status.Rules
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// checkers is the number of claims that are compared at once.
const checkers = 8

// check compares what callers saw with what backend servers ran.
func (s *Soak) check() {
	claims := make(chan call)
	var all sync.WaitGroup
	for range checkers {
		all.Go(func() {
			for c := range claims {
				s.checkClaim(c)
			}
		})
	}
	for _, c := range s.calls {
		if c.claim {
			claims <- c
		}
	}
	close(claims)
	all.Wait()
}

// checkClaim compares what the caller of a claim saw with how often it ran.
func (s *Soak) checkClaim(c call) {
	runs, err := s.fleet.runs(c.id)
	switch {
	case err != nil:
		s.fail("runs of %s: %v", c.id, err)
	case runs > 1:
		s.fail("claim %s ran %d times", c.id, runs)
	case c.outcome == "not-run" && runs > 0:
		s.fail("claim %s was told not run, and ran", c.id)
	case c.outcome == "run" && runs == 0:
		s.fail("claim %s was answered and did not run", c.id)
	}
}

// report counts what callers saw.
func (s *Soak) report() Report {
	r := Report{Seed: s.options.Seed}
	for _, c := range s.calls {
		served := 0
		if c.outcome == "run" {
			served = 1
		}
		if c.calm {
			r.CalmCalls++
			r.CalmServed += served
			continue
		}
		r.Calls++
		r.Served += served
	}
	if float64(r.Served) < leastServed*float64(r.Calls) {
		s.fail("only %d of %d requests were served during the faults", r.Served, r.Calls)
	}
	if r.CalmCalls == 0 || float64(r.CalmServed) < leastCalm*float64(r.CalmCalls) {
		s.fail("only %d of %d requests were served after the faults", r.CalmServed, r.CalmCalls)
	}
	r.Broken = s.broken
	return r
}
