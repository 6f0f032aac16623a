package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"bulrushlock/core/effect"
)

// Row counts what became of the requests of one kind.
type Row struct {
	Kind    string
	Sent    int
	Run     int
	NotRun  int
	Unknown int
	// Repeated is the number of requests that ran more than once.
	Repeated int
	// Whole is the number of answers that came whole and belonged to their request.
	Whole int
}

// Promise is something that must hold, with whether it did.
type Promise struct {
	Text string
	Kept bool
	// Fault is what was seen instead; it is empty for a promise that was kept.
	Fault string
}

// Report is what a demo has shown.
type Report struct {
	Rows     []Row
	Promises []Promise
}

// Kept reports whether all promises were kept.
func (r Report) Kept() bool {
	for _, p := range r.Promises {
		if !p.Kept {
			return false
		}
	}
	return true
}

// Print writes the report as tables for people.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\nkind\tsent\trun\tnot-run\tunknown\trepeated\twhole")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n",
			row.Kind, row.Sent, row.Run, row.NotRun, row.Unknown, row.Repeated, row.Whole)
	}
	_, _ = fmt.Fprintln(t)
	for _, p := range r.Promises {
		verdict := "kept"
		if !p.Kept {
			verdict = "broken: " + p.Fault
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\n", p.Text, verdict)
	}
	return t.Flush()
}

// rows counts what became of the requests of each kind.
func (c *callers) rows() []Row {
	rows := []Row{{Kind: kindLookup}, {Kind: kindClaim}, {Kind: kindExport}}
	for i := range rows {
		for _, q := range c.sent {
			if q.kind == rows[i].Kind {
				rows[i].add(q, c.deployment.runs(q.id))
			}
		}
	}
	return rows
}

// add counts a request that ran the given number of times.
func (r *Row) add(q *request, runs int) {
	r.Sent++
	switch q.outcome {
	case effect.Run:
		r.Run++
	case effect.NotRun:
		r.NotRun++
	case effect.Unknown, effect.Running:
		r.Unknown++
	}
	if q.whole {
		r.Whole++
	}
	if runs > 1 {
		r.Repeated++
	}
}

// promise returns a promise that is kept where fault is empty.
func promise(text, fault string) Promise {
	return Promise{Text: text, Kept: fault == "", Fault: fault}
}

// promises checks what must hold of every request.
func (c *callers) promises() []Promise {
	var ran, repeated, cut, lost string
	for _, q := range c.sent {
		runs := c.deployment.runs(q.id)
		if q.outcome == effect.NotRun && runs > 0 {
			ran = q.id + " ran"
		}
		if q.kind == kindClaim && runs > 1 {
			repeated = fmt.Sprintf("%s ran %d times", q.id, runs)
		}
		if q.fault != nil {
			cut = q.fault.Error()
		}
		if q.kind == kindExport && !q.whole {
			lost = fmt.Sprintf("%s ended as %v", q.id, q.outcome)
		}
	}
	return []Promise{
		promise("a request that was refused as not run did not run", ran),
		promise("a claim ran at most once", repeated),
		promise("every answer was whole and belonged to its request", cut),
		promise("no export was lost", lost),
		promise("a backend server in cold start got no more than it bears", c.deployment.overloaded()),
	}
}

// overloaded names a backend server that ran too much in its cold start, or returns "".
func (s *deployment) overloaded() string {
	for _, p := range s.instances {
		if peak := p.server.PeakCold(); peak > coldStarts[p.service].slots {
			return fmt.Sprintf("%s ran %d at once", p.name, peak)
		}
	}
	return ""
}
