package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/io/bench"
)

// registerTrial adds the command that measures the control-plane overhead of idle nodes.
func registerTrial(a *kingpin.Application, s streams) {
	c := a.Command("trial", "Run fleets of idle nodes in this process and measure the control-plane overhead of a node.")
	sizes := c.Flag("nodes", "The number of nodes; repeat the flag for several fleet sizes.").Default("13").Ints()
	length := c.Flag("time", "The duration of the measurement for each fleet size.").Default("10s").Duration()
	changes := c.Flag("changes", "The number of rule changes whose propagation is timed.").Default("3").Int()
	c.Action(func(*kingpin.ParseContext) error {
		for i, n := range *sizes {
			o := bench.Options{Nodes: n, Duration: *length, Changes: *changes}
			if err := runTrial(o, i == 0, s); err != nil {
				return &failedError{cause: err}
			}
		}
		return nil
	})
}

// runTrial measures one fleet size and prints one line, after a header line if it is the
// first one.
func runTrial(o bench.Options, first bool, s streams) error {
	r, err := bench.New(o).Run(context.Background())
	if err != nil {
		return err
	}
	var b strings.Builder
	if first {
		_, _ = fmt.Fprintf(&b, "%6s %9s %10s %10s %12s %10s %13s  %s\n",
			"nodes", "settled", "core/node", "MB/node", "received B/s", "sent B/s", "platform 1/s", "changes in force")
	}
	_, _ = fmt.Fprintf(&b, "%6d %9v %9.3f%% %10.2f %12.0f %10.0f %13.1f  ",
		r.Nodes, r.StartupTime.Round(time.Millisecond), 100*r.CPU, r.Memory/1e6, r.Received, r.Sent, r.PlatformReads)
	for _, d := range r.ChangeTimes {
		_, _ = fmt.Fprintf(&b, "%v ", d.Round(time.Millisecond))
	}
	_, err = fmt.Fprintln(s.out, strings.TrimSpace(b.String()))
	return err
}
