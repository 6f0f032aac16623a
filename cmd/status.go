package cmd

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/io/admin"
	"bulrushlock/io/fetch"
)

// neverAge is the age in milliseconds of rules that were never known to be current.
const neverAge = math.MaxInt64 / int64(time.Millisecond)

// statusFlags are the flags of the command status.
type statusFlags struct {
	nodes  []netip.AddrPort
	format string
}

// unreachableNode is a node from which no valid response was received, with the reason.
type unreachableNode struct {
	Node    netip.AddrPort `json:"node"`
	Problem string         `json:"problem"`
}

// statusReport is the output of the command status.
type statusReport struct {
	Nodes     []admin.Status    `json:"nodes"`
	Unreached []unreachableNode `json:"unreached"`
}

// registerStatus adds the command that shows the status of nodes.
func registerStatus(a *kingpin.Application, s streams) {
	var f statusFlags
	c := a.Command("status", "Show the status of nodes. "+
		"The exit status is 0 when all of them were reached, 1 when at least one was not, and 2 for invalid flags.\n\n"+
		"Example: bulrushlock status --nodes 10.10.1.11:8083,10.10.1.12:8083")
	nodesFlag(c, &f.nodes)
	formatFlag(c, &f.format)
	c.Action(func(*kingpin.ParseContext) error {
		return runStatus(f, s)
	})
}

// runStatus reads the status of all nodes and prints it.
func runStatus(f statusFlags, s streams) error {
	responses := fetch.All[admin.Status](context.Background(), fetch.New(nodeTimeout), f.nodes, "/status")
	r := statusReport{Nodes: []admin.Status{}, Unreached: []unreachableNode{}}
	for _, resp := range responses {
		if resp.Err != nil {
			r.Unreached = append(r.Unreached, unreachableNode{Node: resp.Node, Problem: resp.Err.Error()})
			continue
		}
		r.Nodes = append(r.Nodes, resp.Value)
	}
	show := writeStatus
	if f.format == formatJSON {
		show = func(w io.Writer, r statusReport) error { return printJSON(w, r) }
	}
	if err := show(s.out, r); err != nil {
		return &failedError{cause: err}
	}
	if len(r.Unreached) > 0 {
		return &failedError{cause: &unreachableNodesError{command: "status", nodes: len(r.Unreached)}}
	}
	return nil
}

// writeStatus writes the status of the nodes as a table, followed by the unreachable
// nodes.
func writeStatus(w io.Writer, r statusReport) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(r.Nodes) > 0 {
		_, _ = fmt.Fprintln(t, "instance\tcentre\tservice\trules\tage\ttrust\tbusy\tqueued\tlimit\tcold\tclosed\tleaving\trequests")
	}
	for _, n := range r.Nodes {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%d\n",
			n.Instance, n.Centre, n.Service, n.Rules, formatAge(n.Age), n.Freshness,
			n.InFlight, n.Queued, n.Limit, yesNo(n.Cold), orDash(n.CloseReason), yesNo(n.Leaving), n.Requests)
	}
	for _, u := range r.Unreached {
		_, _ = fmt.Fprintf(t, "not reached: %s\n", u.Problem)
	}
	return t.Flush()
}

// formatAge formats an age that is given in milliseconds.
func formatAge(milliseconds int64) string {
	if milliseconds >= neverAge {
		return "never"
	}
	return (time.Duration(milliseconds) * time.Millisecond).String()
}
