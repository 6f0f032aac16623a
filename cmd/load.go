package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/io/load"
)

// loadUsageError is returned for an invalid --target.
type loadUsageError struct {
	target string
}

// Error returns a message with the target and the expected form.
func (e *loadUsageError) Error() string {
	return fmt.Sprintf("load: target %q is not of the form NAME=URL", e.target)
}

// registerLoad adds the command that compares the latencies of several targets.
func registerLoad(a *kingpin.Application, s streams) {
	c := a.Command("load", "Send requests to several targets in turn and compare their latencies with the first one.")
	targets := c.Flag("target", "A target as NAME=URL; the first one is the baseline.").Required().Strings()
	method := c.Flag("method", "The HTTP method.").Default("GET").String()
	rate := c.Flag("rate", "Requests per second over all targets.").Default("500").Float64()
	length := c.Flag("time", "The duration of the run.").Default("10s").Duration()
	c.Action(func(*kingpin.ParseContext) error {
		o := load.Options{Rate: *rate, Duration: *length}
		for _, text := range *targets {
			name, url, ok := strings.Cut(text, "=")
			if !ok {
				return &loadUsageError{target: text}
			}
			o.Targets = append(o.Targets, load.Target{Name: name, Method: *method, URL: url})
		}
		return runLoad(o, s)
	})
}

// runLoad sends the requests and prints one line per target.
func runLoad(o load.Options, s streams) error {
	results, err := load.New(o).Run(context.Background())
	if err != nil {
		return err
	}
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%-12s %8s %6s %10s %10s %10s %10s %10s %6s\n",
		"target", "sent", "failed", "p50", "p99", "p99.9", "p50 added", "p99 added", "p99 x")
	base := results[0]
	for _, r := range results {
		_, _ = fmt.Fprintf(&b, "%-12s %8d %6d %10v %10v %10v %10v %10v %6.2f\n",
			r.Target.Name, r.Sent, r.Failed, r.P50, r.P99, r.P999, r.P50-base.P50, r.P99-base.P99, ratio(r.P99, base.P99))
	}
	if _, err := fmt.Fprint(s.out, b.String()); err != nil {
		return &failedError{cause: err}
	}
	return nil
}

// ratio returns a divided by b, or 0 if b is 0.
func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
