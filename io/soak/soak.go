// Package soak tests a deployment of real processes on one machine under faults that it
// injects from outside the processes: signals, restarts, data centres taken out of
// service (evacuations), backend servers that are slow or send endless bytes, and broken
// connections. Faults may overlap.
// It checks the invariants of the system against what callers and backend servers
// observe. The seed determines the schedule of faults, so each run with it injects the
// same faults at the same times. The package kills only processes that it started, by
// their process IDs.
//
// # Usage
//
//	s := soak.New(soak.Options{Program: program, Seed: 7, Nodes: 6, Duration: 20 * time.Second, Out: os.Stdout})
//	r, err := s.Run(ctx)
//	if err == nil && !r.Passed() {
//		fmt.Println(r.Violations)
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

	"bulrushlock/core/view"
	"bulrushlock/io/fake"
)

// Options configure a Soak.
type Options struct {
	// Program is the path of the bulrushlock binary to run.
	Program string
	Seed    uint64
	Nodes   int
	// Duration is the length of the period in which faults begin.
	Duration time.Duration
	// Out receives the schedule and, on a violation, the folder with the logs.
	Out io.Writer
}

const (
	// startTimeout is the maximum time until all nodes are ready.
	startTimeout = 20 * time.Second
	// recoveryTime is the time that the deployment has to recover after the last fault,
	// and also the length of the measurement that follows.
	recoveryTime = 6 * time.Second
	// requestTimeout is the maximum time that a caller waits for a response.
	requestTimeout = 5 * time.Second
	// callersPerNode is the number of callers of each node.
	callersPerNode = 4
	// requestInterval is the pause between two requests of a caller.
	requestInterval = 50 * time.Millisecond
	// minServedShare and minRecoveredShare are the minimum shares of served requests
	// during the faults and after recovery. Without them, a deployment that rejects
	// every request would pass.
	minServedShare    = 0.3
	minRecoveredShare = 0.9
)

// Soak is one run of the test.
type Soak struct {
	options    Options
	deployment *deployment

	mutex      sync.Mutex
	results    []result
	violations []string
	recovered  bool
	// versions are the versions of the rules of each incarnation of a node.
	versions map[string]view.Version
	// strangers are the IDs of the claims with a credential that no rules hold.
	strangers []string
	// limited are the claims of limitedCustomer that ran.
	limited []limitedRun
}

// result is what a caller observed of one request.
type result struct {
	id        string
	isClaim   bool
	outcome   string
	recovered bool
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Requests int
	Served   int
	// RequestsAfterRecovery and ServedAfterRecovery count the requests after recovery from
	// the last fault. Requests and Served do not include them.
	RequestsAfterRecovery int
	ServedAfterRecovery   int
	// Violations lists the violated invariants.
	Violations []string
}

// Passed reports whether no invariant was violated.
func (r Report) Passed() bool { return len(r.Violations) == 0 }

// String returns the report as one line.
func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d of %d requests served, %d of %d after the faults, %d promises broken",
		r.Seed, r.Served, r.Requests, r.ServedAfterRecovery, r.RequestsAfterRecovery, len(r.Violations))
}

// New returns a run that has not started.
func New(o Options) *Soak { return &Soak{options: o, versions: make(map[string]view.Version)} }

// Run runs the schedule of the seed. It returns a *StartError if the deployment does
// not start, and the error of ctx if that is done before the end. It keeps the logs of all processes if an invariant was violated.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, &StartError{Name: "folder", Cause: err}
	}
	defer func() {
		if len(s.violations) > 0 {
			_, _ = fmt.Fprintln(s.options.Out, "the logs of all processes are kept in", folder)
			return
		}
		_ = os.RemoveAll(folder)
	}()
	s.deployment, err = startDeployment(s.options.Program, folder, s.options.Nodes)
	if s.deployment != nil {
		defer s.deployment.stop()
	}
	if err != nil {
		return Report{}, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.deployment.waitReady(startCtx); err != nil {
		return Report{}, err
	}
	s.deployment.publishFirstEdition()
	if err := s.runSchedule(ctx); err != nil {
		return Report{}, err
	}
	if s.checkServers() {
		s.check()
	}
	return s.report(), nil
}

// runSchedule sends requests while it injects the faults of the schedule, and then
// through the recovery and the measurement after it. It returns the error of ctx if that
// is done before.
func (s *Soak) runSchedule(ctx context.Context) error {
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	for i, n := range s.deployment.instances {
		for k := range callersPerNode {
			all.Go(func() { s.sendRequests(sendCtx, n, fmt.Sprintf("%d-%d-%d", s.options.Seed, i, k)) })
		}
	}
	for i, n := range s.deployment.instances {
		all.Go(func() { s.sendAsStranger(sendCtx, n, fmt.Sprintf("%d-%d-stranger", s.options.Seed, i)) })
	}
	for i, n := range s.deployment.instances {
		all.Go(func() { s.sendAsLimited(sendCtx, n, fmt.Sprintf("%d-%d-limited", s.options.Seed, i)) })
	}
	all.Go(func() { s.monitor(sendCtx) })
	began := time.Now()
	var faults sync.WaitGroup
	for _, f := range newSchedule(s.options.Seed, s.options.Nodes, s.options.Duration) {
		select {
		case <-time.After(time.Until(began.Add(f.at))):
		case <-ctx.Done():
			cancel()
			all.Wait()
			faults.Wait()
			return ctx.Err()
		}
		_, _ = fmt.Fprintln(s.options.Out, f)
		faults.Go(func() { s.inject(f) })
	}
	faults.Wait()
	for _, next := range []func(){s.setRecovered, cancel} {
		select {
		case <-time.After(recoveryTime):
		case <-ctx.Done():
		}
		next()
	}
	all.Wait()
	s.checkCredentials()
	s.checkLimit()
	return ctx.Err()
}

// setRecovered marks the end of the recovery time after the last fault.
func (s *Soak) setRecovered() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recovered = true
}

// inject injects a fault and ends it after its length.
func (s *Soak) inject(f fault) {
	n := s.deployment.instances[f.target]
	var err error
	switch f.kind {
	case pauseNode, pauseServer:
		n.signal(syscall.SIGSTOP, f.kind == pauseServer)
		time.Sleep(f.length)
		n.signal(syscall.SIGCONT, f.kind == pauseServer)
	case killNode:
		err = s.deployment.restart(n, syscall.SIGKILL)
	case stopNode:
		err = s.deployment.restart(n, syscall.SIGTERM)
	case reloadNode:
		n.signal(syscall.SIGHUP, false)
	case disturbNode:
		n.nodeProxy.set(f.mode)
		time.Sleep(f.length)
		n.nodeProxy.set(forward)
	case disturbPlatform:
		s.deployment.platformProxy.set(f.mode)
		time.Sleep(f.length)
		s.deployment.platformProxy.set(forward)
	case slowServer:
		s.setServerFault(n, "slow")
		time.Sleep(f.length)
		s.setServerFault(n, "none")
	case evacuateCentre:
		centre := centres[f.target%len(centres)]
		s.deployment.setEvacuated(centre, true)
		time.Sleep(f.length)
		s.deployment.setEvacuated(centre, false)
	case floodServer:
		s.setServerFault(n, "flood&kind="+f.flood)
		time.Sleep(f.length)
		s.setServerFault(n, "none")
	case returnPlatform:
		s.deployment.returnPlatform(f.length)
	case kindCount:
	}
	if err != nil {
		s.addViolation("restart node: %v", err)
	}
}

// setServerFault sets a fault of the backend server of an instance.
func (s *Soak) setServerFault(n *instance, name string) {
	r, err := s.deployment.client.Post("http://"+n.server.String()+"/control?fault="+name, "text/plain", http.NoBody)
	if err == nil {
		_ = r.Body.Close()
	}
}

// addViolation records a violated invariant.
func (s *Soak) addViolation(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// sendRequests sends claims and lookups in turn until ctx is done, reusing connections.
func (s *Soak) sendRequests(ctx context.Context, n *instance, name string) {
	t := &http.Transport{}
	client := &http.Client{Transport: t, Timeout: requestTimeout}
	defer t.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		s.send(client, n, fmt.Sprintf("%s-%d", name, i), i%2 == 0)
		select {
		case <-time.After(requestInterval):
		case <-ctx.Done():
		}
	}
}

// send sends one request and records the result.
func (s *Soak) send(client *http.Client, n *instance, id string, claim bool) {
	method, path, body := http.MethodGet, "/lines/"+id, ""
	if claim {
		method, path, body = http.MethodPost, "/claims", id
	}
	r, err := http.NewRequest(method, "http://"+n.callers.String()+path, strings.NewReader(body))
	if err != nil {
		s.addViolation("create request %s: %v", id, err)
		return
	}
	r.Header.Set("Id", id)
	r.Header.Set("Authorization", "Bearer "+steadyCredential)
	c := result{id: id, isClaim: claim, outcome: s.exchange(client, r, id)}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c.recovered = s.recovered
	s.results = append(s.results, c)
}

// exchange sends r and returns its outcome. It checks that the response belongs to r.
func (s *Soak) exchange(client *http.Client, r *http.Request, id string) string {
	resp, err := client.Do(r)
	if err != nil {
		return "none"
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "none"
	}
	outcome := resp.Header.Get("Bulrushlock-Outcome")
	if resp.StatusCode == http.StatusUnauthorized {
		s.addViolation("request %s was refused, though all rules hold its credential", id)
	}
	if outcome != "run" || resp.StatusCode != http.StatusOK {
		return outcome
	}
	var echo fake.Echo
	if err := json.Unmarshal(text, &echo); err != nil || echo.ID != id {
		s.addViolation("response to %s does not match it: %q", id, text)
	}
	if echo.Customer != steadyCustomer || echo.HasCredential {
		s.addViolation("%s reached its backend server for customer %q, with credential: %v", id, echo.Customer, echo.HasCredential)
	}
	return outcome
}

// monitor restarts nodes that have exited, and checks that the version of the rules
// never decreases within an incarnation of a node.
func (s *Soak) monitor(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.deployment.supervise(); err != nil {
			s.addViolation("restart node: %v", err)
		}
		for _, n := range s.deployment.instances {
			status, err := s.deployment.status(n)
			if err != nil {
				continue
			}
			incarnation := status.Instance + "." + status.Incarnation
			version := view.Version{Edition: status.Edition, Epoch: status.RulesEpoch, Revision: status.Rules}
			if before := s.versions[incarnation]; version.Compare(before) < 0 || version.Edition < before.Edition {
				s.addViolation("rules of %s went back from %+v to %+v", incarnation, before, version)
			}
			s.versions[incarnation] = version
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// checkWorkers is the number of claims that are checked in parallel.
const checkWorkers = 8

// checkServers reports whether all backend servers still run. One that has exited, which
// no fault of a schedule causes, is a violation, and the runs of claims are then unknown.
func (s *Soak) checkServers() bool {
	running := true
	for _, n := range s.deployment.instances {
		if status := n.serverProcess.exitStatus(); status != "" {
			s.addViolation("backend server of %s exited: %s", n.name, status)
			running = false
		}
	}
	return running
}

// check compares the results of all claims with the runs on the backend servers.
func (s *Soak) check() {
	claims := make(chan result)
	var all sync.WaitGroup
	for range checkWorkers {
		all.Go(func() {
			for c := range claims {
				s.checkClaim(c)
			}
		})
	}
	for _, c := range s.results {
		if c.isClaim {
			claims <- c
		}
	}
	close(claims)
	all.Wait()
}

// checkClaim compares the outcome of a claim with its number of runs.
func (s *Soak) checkClaim(c result) {
	runs, err := s.deployment.countRuns(c.id)
	switch {
	case err != nil:
		s.addViolation("count runs of claim %s: %v", c.id, err)
	case runs > 1:
		s.addViolation("claim %s ran %d times", c.id, runs)
	case c.outcome == "not-run" && runs > 0:
		s.addViolation("claim %s was reported as not run but ran", c.id)
	case c.outcome == "run" && runs == 0:
		s.addViolation("claim %s was reported as run but did not run", c.id)
	}
}

// report summarizes the results and checks the shares of served requests.
func (s *Soak) report() Report {
	r := Report{Seed: s.options.Seed}
	for _, c := range s.results {
		served := 0
		if c.outcome == "run" {
			served = 1
		}
		if c.recovered {
			r.RequestsAfterRecovery++
			r.ServedAfterRecovery += served
			continue
		}
		r.Requests++
		r.Served += served
	}
	if float64(r.Served) < minServedShare*float64(r.Requests) {
		s.addViolation("only %d of %d requests were served during the faults", r.Served, r.Requests)
	}
	if r.RequestsAfterRecovery == 0 || float64(r.ServedAfterRecovery) < minRecoveredShare*float64(r.RequestsAfterRecovery) {
		s.addViolation("only %d of %d requests were served after the faults", r.ServedAfterRecovery, r.RequestsAfterRecovery)
	}
	r.Violations = s.violations
	return r
}
