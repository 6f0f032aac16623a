// Package demo shows the system at work: it runs a whole deployment on loopback
// in one process, sends requests, takes a data centre out and back, and checks
// what must hold.
//
// # Usage
//
//	r, err := demo.New(os.Stdout).Run(ctx)
//	if err != nil {
//		return err // the deployment did not start or did not end
//	}
//	if err := r.Print(os.Stdout); err != nil || !r.Kept() {
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
	// startTime is the longest time until every node holds its first rules.
	startTime = 5 * time.Second
	// changeTime is the longest time until accepted rules are in force on every node.
	changeTime = 3 * time.Second
	// lookups is the number of lookups of one step.
	lookups = 300
	// claims is the number of claims of one step.
	claims = 60
	// exportStart is the time in which an export begins to run.
	exportStart = 300 * time.Millisecond
)

// Demo is one run of the demo.
type Demo struct {
	out        io.Writer
	began      time.Time
	deployment *deployment
	callers    *callers
	promises   []Promise
	// late tells which rules were not in force in time; it is empty where all were.
	late string
}

// New returns a demo that writes a line about each of its steps to out.
func New(out io.Writer) *Demo { return &Demo{out: out, began: time.Now()} }

// Run runs the demo and returns what it has shown. It fails when the deployment
// does not start or does not end in time, with a *LateError or the cause.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	var err error
	d.deployment, err = newDeployment()
	defer d.deployment.close()
	if err == nil {
		err = d.steps(ctx)
	}
	if left := d.deployment.leave(); err == nil {
		err = left
	}
	if err != nil {
		return Report{}, fmt.Errorf("demo: %w", err)
	}
	d.say("every node has finished its work and left")
	return Report{Rows: d.callers.rows(), Promises: append(d.callers.promises(), d.promises...)}, nil
}

// say writes a line about a step.
func (d *Demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "%4.1fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// promise records whether something that must hold did.
func (d *Demo) promise(text, fault string) { d.promises = append(d.promises, promise(text, fault)) }

// steps runs the steps of the demo.
func (d *Demo) steps(ctx context.Context) error {
	d.callers = &callers{deployment: d.deployment}
	if _, err := d.deployment.settle(ctx, 1, startTime); err != nil {
		return err
	}
	d.say("%d nodes beside %d backend servers are up in 3 data centres", len(d.deployment.instances), len(d.deployment.instances))
	d.callers.mix(ctx)
	d.say("sent %d lookups and %d claims", lookups, claims)
	d.takeOut(ctx)
	d.bringBack(ctx)
	d.stop(ctx)
	return nil
}

// takeOut takes a data centre out while callers send, and checks that it gets no new work.
func (d *Demo) takeOut(ctx context.Context) {
	wait := d.callers.export(ctx, d.deployment.find("audit-patan-1"))
	time.Sleep(exportStart)
	d.say("started an export of %d MiB in %s", exportSize>>20, outCentre)
	spent := d.publish(ctx, rulesText+outText)
	d.say("took %s out: the rules were in force on every node after %v", outCentre, spent.Round(time.Millisecond))
	before := d.deployment.ran()
	d.callers.mix(ctx)
	after := d.deployment.ran()
	d.say("sent %d lookups and %d claims: %s ran %d of them", lookups, claims, outCentre, after-before)
	fault := ""
	if after > before {
		fault = fmt.Sprintf("it ran %d requests", after-before)
	}
	d.promise("a data centre that was taken out got no new work", fault)
	wait()
	d.say("the export has ended")
}

// publish publishes rules while callers send, and returns the time until they
// were in force on every node.
func (d *Demo) publish(ctx context.Context, text string) time.Duration {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		d.callers.mix(ctx)
	}()
	spent, err := d.deployment.settle(ctx, d.deployment.platform.Publish(text), changeTime)
	if err != nil {
		d.late = err.Error()
	}
	<-sent
	return spent
}

// bringBack brings the data centre back while callers send, and checks that it works.
func (d *Demo) bringBack(ctx context.Context) {
	spent := d.publish(ctx, rulesText)
	d.say("brought %s back: the rules were in force on every node after %v", outCentre, spent.Round(time.Millisecond))
	d.promise(fmt.Sprintf("accepted rules were in force everywhere within %v", changeTime), d.late)
	before := d.deployment.ran()
	d.callers.mix(ctx)
	ran := d.deployment.ran() - before
	d.say("sent %d lookups and %d claims: %s ran %d of them", lookups, claims, outCentre, ran)
	fault := ""
	if ran == 0 {
		fault = "it ran nothing"
	}
	d.promise("a data centre that was brought back gets work", fault)
}

// stop makes a node leave while it runs an export.
func (d *Demo) stop(ctx context.Context) {
	p := d.deployment.find("audit-kirtipur-1")
	wait := d.callers.export(ctx, p)
	time.Sleep(exportStart)
	d.say("stopping %s while it runs an export", p.name)
	p.node.Leave()
	wait()
	d.say("the export has ended")
}
