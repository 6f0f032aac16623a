package cmd

import (
	"context"
	"fmt"
	"net/netip"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/io/fetch"
	"bulrushlock/io/loop"
	"bulrushlock/io/merge"
)

// followInterval is the time between two reads of the event logs with --follow.
const followInterval = 500 * time.Millisecond

// timelineFlags are the flags of the command timeline.
type timelineFlags struct {
	nodes    []netip.AddrPort
	instance string
	centre   string
	ticket   string
	kind     string
	since    time.Time
	follow   bool
	format   string
}

// timelineReport is the output of the command timeline for one read.
type timelineReport struct {
	Records   []loop.Record         `json:"records"`
	Dropped   []merge.DroppedEvents `json:"dropped"`
	Unreached []unreachableNode     `json:"unreached"`
}

// sinceValue is a flag that holds a time, which may be given as a duration before now.
type sinceValue struct {
	at *time.Time
}

var _ kingpin.Value = sinceValue{}

// Set parses a duration such as 5m, or a time in RFC 3339 format.
func (v sinceValue) Set(text string) error {
	if d, err := time.ParseDuration(text); err == nil {
		*v.at = time.Now().Add(-d)
		return nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return fmt.Errorf("read time: %w", err)
	}
	*v.at = at
	return nil
}

// String returns the time in RFC 3339 format, or an empty string if there is none.
func (v sinceValue) String() string {
	if v.at == nil || v.at.IsZero() {
		return ""
	}
	return v.at.Format(time.RFC3339)
}

// registerTimeline adds the command that merges the event logs of nodes.
func registerTimeline(a *kingpin.Application, s streams) {
	var f timelineFlags
	c := a.Command("timeline", "Merge the event logs of nodes in causal order. "+
		"The exit status is 0 when all nodes were reached, 1 when at least one was not, and 2 for invalid flags.\n\n"+
		"Example: bulrushlock timeline --nodes 10.10.1.11:8083,10.10.1.12:8083 --since 5m --kind out")
	nodesFlag(c, &f.nodes)
	c.Flag("instance", "Only events of this instance.").StringVar(&f.instance)
	c.Flag("centre", "Only events of this data centre.").StringVar(&f.centre)
	c.Flag("ticket", "Only events of the attempt with this ticket.").StringVar(&f.ticket)
	c.Flag("kind", "Only events of this kind, such as rules, out, cold or void.").StringVar(&f.kind)
	c.Flag("since", "Only events since this time in RFC 3339 format, or since this long ago, such as 5m.").
		PlaceHolder("TIME").SetValue(sinceValue{at: &f.since})
	c.Flag("follow", "Keep printing new events until SIGTERM or SIGINT.").BoolVar(&f.follow)
	formatFlag(c, &f.format)
	c.Action(func(*kingpin.ParseContext) error {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return runTimeline(ctx, f, s)
	})
}

// runTimeline prints the events of all nodes once or, with --follow, until ctx ends.
func runTimeline(ctx context.Context, f timelineFlags, s streams) error {
	m := merge.New(fetch.New(nodeTimeout), f.nodes)
	r := readTimeline(ctx, f, m, time.Time{})
	if err := printTimeline(r, f.format, s); err != nil {
		return &failedError{cause: err}
	}
	for f.follow {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(followInterval):
		}
		r := readTimeline(ctx, f, m, time.Now().Add(-followInterval))
		if ctx.Err() != nil {
			return nil
		}
		if err := printTimeline(r, f.format, s); err != nil {
			return &failedError{cause: err}
		}
	}
	if len(r.Unreached) > 0 {
		return &failedError{cause: &unreachableNodesError{command: "timeline", nodes: len(r.Unreached)}}
	}
	return nil
}

// readTimeline reads the events up to the time until and applies the filters.
func readTimeline(ctx context.Context, f timelineFlags, m *merge.Merger, until time.Time) timelineReport {
	p := m.Read(ctx, until)
	r := timelineReport{Records: []loop.Record{}, Dropped: []merge.DroppedEvents{}, Unreached: []unreachableNode{}}
	for _, e := range p.Records {
		if f.matches(e) {
			r.Records = append(r.Records, e)
		}
	}
	r.Dropped = append(r.Dropped, p.Dropped...)
	for _, e := range p.Failed {
		r.Unreached = append(r.Unreached, unreachableNode{Node: e.Node, Problem: e.Err.Error()})
	}
	return r
}

// matches reports whether an event passes all filters.
func (f timelineFlags) matches(r loop.Record) bool {
	return matchesFilter(f.instance, r.Instance) && matchesFilter(f.centre, r.Centre) && matchesFilter(f.ticket, r.Ticket) &&
		matchesFilter(f.kind, r.Kind) && !r.At.Before(f.since)
}

// matchesFilter reports whether a value passes a filter; an empty filter passes all
// values.
func matchesFilter(filter, value string) bool { return filter == "" || filter == value }

// printTimeline prints a report. As text, events go to the output, and the number of
// dropped events and the unreachable nodes to the error output. As JSON, everything goes
// to the output.
func printTimeline(r timelineReport, format string, s streams) error {
	if format == formatJSON {
		if len(r.Records)+len(r.Dropped)+len(r.Unreached) == 0 {
			return nil
		}
		return printJSON(s.out, r)
	}
	for _, e := range r.Records {
		if _, err := fmt.Fprintln(s.out, formatRecord(e)); err != nil {
			return err
		}
	}
	for _, d := range r.Dropped {
		if _, err := fmt.Fprintf(s.err, "dropped: %v has lost %d older events\n", d.Node, d.Count); err != nil {
			return err
		}
	}
	for _, u := range r.Unreached {
		if _, err := fmt.Fprintf(s.err, "not reached: %s\n", u.Problem); err != nil {
			return err
		}
	}
	return nil
}

// formatRecord formats an event as a line of text.
func formatRecord(r loop.Record) string {
	at := r.At.UTC().Format("2006-01-02T15:04:05.000000Z")
	line := fmt.Sprintf("%s  %-20s  %-10s  %-8s", at, r.Instance, r.Centre, r.Kind)
	for _, part := range []string{r.Text, r.Ticket} {
		if part != "" {
			line += "  " + part
		}
	}
	return strings.TrimRight(line, " ")
}
