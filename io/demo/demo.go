// Package demo demonstrates the system. It runs a deployment on loopback in one
// process, sends requests, takes a data centre out of service (evacuation) and puts it
// back, drains a node during an export, and checks the invariants of the system.
//
// # Usage
//
//	r, err := demo.New(os.Stdout).Run(ctx)
//	if err != nil {
//		return err // the deployment did not start or stop
//	}
//	if err := r.Print(os.Stdout); err != nil || !r.Passed() {
//		os.Exit(1)
//	}
package demo

import (
	"context"
	"fmt"
	"io"
	"time"
)

const (
	// startTimeout is the maximum time until every node holds its first rules.
	startTimeout = 5 * time.Second
	// rulesTimeout is the maximum time until published rules are in force on every node.
	rulesTimeout = 3 * time.Second
	// lookupsPerStep is the number of lookups in one step.
	lookupsPerStep = 300
	// claimsPerStep is the number of claims in one step.
	claimsPerStep = 60
	// exportStartDelay is the time that an export gets to start running.
	exportStartDelay = 300 * time.Millisecond
)

// Demo is one run of the demo.
type Demo struct {
	out        io.Writer
	began      time.Time
	deployment *deployment
	callers    *callers
	invariants []Invariant
	// rulesDelay says which revision of the rules was not in force in time; it is empty if
	// all were.
	rulesDelay string
}

// New returns a demo that writes a line about each step to out.
func New(out io.Writer) *Demo { return &Demo{out: out, began: time.Now()} }

// Run runs the demo and returns its report. It returns an error if the deployment
// does not start, or a *TimeoutError if it does not become ready or stop in time.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	var err error
	d.deployment, err = newDeployment()
	defer d.deployment.close()
	if err == nil {
		err = d.runSteps(ctx)
	}
	if stopErr := d.deployment.stopNodes(); err == nil {
		err = stopErr
	}
	if err != nil {
		return Report{}, fmt.Errorf("demo: %w", err)
	}
	d.printStep("every node has finished its work and left")
	return Report{Rows: d.callers.rows(), Invariants: append(d.callers.checkInvariants(), d.invariants...)}, nil
}

// printStep writes a line about a step with the time since the start.
func (d *Demo) printStep(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "%4.1fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// addInvariant records the result of checking an invariant, which holds if violation is
// empty.
func (d *Demo) addInvariant(text, violation string) {
	d.invariants = append(d.invariants, newInvariant(text, violation))
}

// runSteps runs the steps of the demo in order.
func (d *Demo) runSteps(ctx context.Context) error {
	d.callers = &callers{deployment: d.deployment}
	if _, err := d.deployment.waitForRevision(ctx, 1, startTimeout); err != nil {
		return err
	}
	d.printStep("%d nodes beside %d backend servers are up in 3 data centres", len(d.deployment.instances), len(d.deployment.instances))
	d.callers.sendMixed(ctx)
	d.printStep("sent %d lookups and %d claims", lookupsPerStep, claimsPerStep)
	d.evacuateCentre(ctx)
	d.restoreCentre(ctx)
	d.stopNode(ctx)
	return nil
}

// evacuateCentre takes a data centre out of service under load and checks that it gets no
// new work, while an export that started there before runs to its end.
func (d *Demo) evacuateCentre(ctx context.Context) {
	wait := d.callers.export(ctx, d.deployment.find("audit-patan-1"))
	time.Sleep(exportStartDelay)
	d.printStep("started an export of %d MiB in %s", exportSize>>20, evacuatedCentre)
	elapsed := d.publish(ctx, rulesText+evacuationRule)
	d.printStep("took %s out: the rules were in force on every node after %v", evacuatedCentre, elapsed.Round(time.Millisecond))
	before := d.deployment.countEvacuatedCentreRuns()
	d.callers.sendMixed(ctx)
	after := d.deployment.countEvacuatedCentreRuns()
	d.printStep("sent %d lookups and %d claims: %s ran %d of them", lookupsPerStep, claimsPerStep, evacuatedCentre, after-before)
	violation := ""
	if after > before {
		violation = fmt.Sprintf("it ran %d requests", after-before)
	}
	d.addInvariant("a data centre that was taken out got no new work", violation)
	wait()
	d.printStep("the export has ended")
}

// publish publishes rules under load and returns the time until they are in force on
// every node.
func (d *Demo) publish(ctx context.Context, text string) time.Duration {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		d.callers.sendMixed(ctx)
	}()
	elapsed, err := d.deployment.waitForRevision(ctx, d.deployment.platform.PublishRules(text), rulesTimeout)
	if err != nil {
		d.rulesDelay = err.Error()
	}
	<-sent
	return elapsed
}

// restoreCentre ends the evacuation under load and checks that the data centre gets
// work.
func (d *Demo) restoreCentre(ctx context.Context) {
	elapsed := d.publish(ctx, rulesText)
	d.printStep("brought %s back: the rules were in force on every node after %v", evacuatedCentre, elapsed.Round(time.Millisecond))
	d.addInvariant(fmt.Sprintf("accepted rules were in force everywhere within %v", rulesTimeout), d.rulesDelay)
	before := d.deployment.countEvacuatedCentreRuns()
	d.callers.sendMixed(ctx)
	ran := d.deployment.countEvacuatedCentreRuns() - before
	d.printStep("sent %d lookups and %d claims: %s ran %d of them", lookupsPerStep, claimsPerStep, evacuatedCentre, ran)
	violation := ""
	if ran == 0 {
		violation = "it ran nothing"
	}
	d.addInvariant("a data centre that was brought back gets work", violation)
}

// stopNode drains a node while it runs an export.
func (d *Demo) stopNode(ctx context.Context) {
	p := d.deployment.find("audit-kirtipur-1")
	wait := d.callers.export(ctx, p)
	time.Sleep(exportStartDelay)
	d.printStep("stopping %s while it runs an export", p.name)
	p.node.Drain()
	wait()
	d.printStep("the export has ended")
}
