package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"bulrushlock/core/effect"
)

// Row counts the results of the requests of one kind.
type Row struct {
	Kind    string
	Sent    int
	Run     int
	NotRun  int
	Unknown int
	// Repeated is the number of requests that ran more than once.
	Repeated int
	// Whole is the number of complete responses that matched their request.
	Whole int
}

// Invariant is the result of checking an invariant.
type Invariant struct {
	Text  string
	Holds bool
	// Violation describes the violation; it is empty if the invariant holds.
	Violation string
}

// Report is the result of a demo.
type Report struct {
	Rows       []Row
	Invariants []Invariant
}

// Passed reports whether all invariants hold.
func (r Report) Passed() bool {
	for _, p := range r.Invariants {
		if !p.Holds {
			return false
		}
	}
	return true
}

// Print writes the report as tables.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\nkind\tsent\trun\tnot-run\tunknown\trepeated\twhole")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n",
			row.Kind, row.Sent, row.Run, row.NotRun, row.Unknown, row.Repeated, row.Whole)
	}
	_, _ = fmt.Fprintln(t)
	for _, p := range r.Invariants {
		verdict := "kept"
		if !p.Holds {
			verdict = "broken: " + p.Violation
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\n", p.Text, verdict)
	}
	return t.Flush()
}

// rows returns the results of the requests of each kind.
func (c *callers) rows() []Row {
	rows := []Row{{Kind: kindLookup}, {Kind: kindClaim}, {Kind: kindExport}}
	for i := range rows {
		for _, q := range c.sent {
			if q.kind == rows[i].Kind {
				rows[i].add(q, c.deployment.countRuns(q.id))
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
	if q.complete {
		r.Whole++
	}
	if runs > 1 {
		r.Repeated++
	}
}

// newInvariant returns the result of an invariant, which holds if violation is empty.
func newInvariant(text, violation string) Invariant {
	return Invariant{Text: text, Holds: violation == "", Violation: violation}
}

// checkInvariants checks the invariants of all requests that were sent.
func (c *callers) checkInvariants() []Invariant {
	var ran, repeated, incomplete, lost string
	for _, q := range c.sent {
		runs := c.deployment.countRuns(q.id)
		if q.outcome == effect.NotRun && runs > 0 {
			ran = q.id + " ran"
		}
		if q.kind == kindClaim && runs > 1 {
			repeated = fmt.Sprintf("%s ran %d times", q.id, runs)
		}
		if q.err != nil {
			incomplete = q.err.Error()
		}
		if q.kind == kindExport && !q.complete {
			lost = fmt.Sprintf("%s ended as %v", q.id, q.outcome)
		}
	}
	return []Invariant{
		newInvariant("a request with the outcome not-run did not run", ran),
		newInvariant("a claim ran at most once", repeated),
		newInvariant("every response was complete and belonged to its request", incomplete),
		newInvariant("no export was lost", lost),
		newInvariant("a backend server in cold start ran no more than its limit", c.deployment.describeColdOverload()),
	}
}

// describeColdOverload describes a backend server that exceeded its concurrency limit in a
// cold start, or returns "".
func (s *deployment) describeColdOverload() string {
	for _, p := range s.instances {
		if peak := p.server.PeakCold(); peak > coldStarts[p.service].slots {
			return fmt.Sprintf("%s ran %d at once", p.name, peak)
		}
	}
	return ""
}
