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

	"bulrushlock/io/loop"
	"bulrushlock/io/merge"
	"bulrushlock/io/reach"
)

// followTime is the time between two reads of a time line that is followed.
const followTime = 500 * time.Millisecond

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

// timelineReport is what the command timeline prints of one read.
type timelineReport struct {
	Records   []loop.Record `json:"records"`
	Dropped   []merge.Loss  `json:"dropped"`
	Unreached []unreached   `json:"unreached"`
}

// sinceValue is a flag that holds a time, or a duration before now.
type sinceValue struct {
	at *time.Time
}

var _ kingpin.Value = sinceValue{}

// Set reads a duration such as 5m, or a time of RFC 3339.
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

// String returns the time.
func (v sinceValue) String() string {
	if v.at == nil || v.at.IsZero() {
		return ""
	}
	return v.at.Format(time.RFC3339)
}

// registerTimeline adds the command that merges the time lines of nodes.
func registerTimeline(a *kingpin.Application, s streams) {
	var f timelineFlags
	c := a.Command("timeline", "Merge the events of nodes into one order, in which a cause stands before its effect. "+
		"The exit status is 0 when all nodes were reached, 1 when one was not, and 2 for wrong flags.\n\n"+
		"Example: bulrushlock timeline --nodes 10.10.1.11:8083,10.10.1.12:8083 --since 5m --kind out")
	nodesFlag(c, &f.nodes)
	c.Flag("instance", "Only events of this instance.").StringVar(&f.instance)
	c.Flag("centre", "Only events of this data centre.").StringVar(&f.centre)
	c.Flag("ticket", "Only events of the attempt with this ticket.").StringVar(&f.ticket)
	c.Flag("kind", "Only events of this kind, such as rules, out, cold or void.").StringVar(&f.kind)
	c.Flag("since", "Only events since this time of RFC 3339, or since this long ago, such as 5m.").
		PlaceHolder("TIME").SetValue(sinceValue{at: &f.since})
	c.Flag("follow", "Go on until SIGTERM or SIGINT.").BoolVar(&f.follow)
	formatFlag(c, &f.format)
	c.Action(func(*kingpin.ParseContext) error {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return runTimeline(ctx, f, s)
	})
}

// runTimeline prints the events of all nodes once, or until ctx ends.
func runTimeline(ctx context.Context, f timelineFlags, s streams) error {
	m := merge.New(reach.New(reachTime), f.nodes)
	r := readTimeline(ctx, f, m, time.Time{})
	if err := printTimeline(r, f.format, s); err != nil {
		return &failedError{cause: err}
	}
	for f.follow {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(followTime):
		}
		r := readTimeline(ctx, f, m, time.Now().Add(-followTime))
		if ctx.Err() != nil {
			return nil
		}
		if err := printTimeline(r, f.format, s); err != nil {
			return &failedError{cause: err}
		}
	}
	if len(r.Unreached) > 0 {
		return &failedError{cause: &unreachedError{command: "timeline", nodes: len(r.Unreached)}}
	}
	return nil
}

// readTimeline reads the events up to the time until that the flags let through.
func readTimeline(ctx context.Context, f timelineFlags, m *merge.Merge, until time.Time) timelineReport {
	p := m.Read(ctx, until)
	r := timelineReport{Records: []loop.Record{}, Dropped: []merge.Loss{}, Unreached: []unreached{}}
	for _, e := range p.Records {
		if f.wants(e) {
			r.Records = append(r.Records, e)
		}
	}
	r.Dropped = append(r.Dropped, p.Dropped...)
	for _, e := range p.Failed {
		r.Unreached = append(r.Unreached, unreached{Node: e.Node, Problem: e.Err.Error()})
	}
	return r
}

// wants reports whether the flags let an event through.
func (f timelineFlags) wants(r loop.Record) bool {
	return passes(f.instance, r.Instance) && passes(f.centre, r.Centre) && passes(f.ticket, r.Ticket) &&
		passes(f.kind, r.Kind) && !r.At.Before(f.since)
}

// passes reports whether a value passes a filter, which lets all through when it is empty.
func passes(filter, value string) bool { return filter == "" || filter == value }

// printTimeline prints what was read. Events go to the output, and what is
// missing goes to the error output; as JSON all goes to the output.
func printTimeline(r timelineReport, format string, s streams) error {
	if format == formatJSON {
		if len(r.Records)+len(r.Dropped)+len(r.Unreached) == 0 {
			return nil
		}
		return printJSON(s.out, r)
	}
	for _, e := range r.Records {
		if _, err := fmt.Fprintln(s.out, recordLine(e)); err != nil {
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

// recordLine returns an event as a line for people.
func recordLine(r loop.Record) string {
	at := r.At.UTC().Format("2006-01-02T15:04:05.000000Z")
	line := fmt.Sprintf("%s  %-20s  %-10s  %-8s", at, r.Instance, r.Centre, r.Kind)
	for _, part := range []string{r.Text, r.Ticket} {
		if part != "" {
			line += "  " + part
		}
	}
	return strings.TrimRight(line, " ")
}
