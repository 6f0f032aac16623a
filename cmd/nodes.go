package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// nodeTimeout limits the time that a command waits for the response of a node.
const nodeTimeout = 2 * time.Second

// unreachableNodesError is returned if some nodes sent no valid response.
type unreachableNodesError struct {
	command string
	nodes   int
}

// Error returns a message with the number of nodes.
func (e *unreachableNodesError) Error() string {
	if e.nodes == 1 {
		return e.command + ": 1 node was not reached"
	}
	return fmt.Sprintf("%s: %d nodes were not reached", e.command, e.nodes)
}

// nodesValue is a flag that holds the operators' listeners of nodes.
type nodesValue struct {
	nodes *[]netip.AddrPort
}

var _ kingpin.Value = nodesValue{}

// Set adds a comma-separated list of addresses.
func (v nodesValue) Set(text string) error {
	for part := range strings.SplitSeq(text, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return fmt.Errorf("read address: %w", err)
		}
		*v.nodes = append(*v.nodes, a)
	}
	return nil
}

// String returns the addresses, separated by commas.
func (v nodesValue) String() string {
	var texts []string
	for _, a := range *v.nodes {
		texts = append(texts, a.String())
	}
	return strings.Join(texts, ",")
}

// IsCumulative reports that the flag may be repeated.
func (v nodesValue) IsCumulative() bool { return true }

// nodesFlag adds the flag that names the operators' listeners of nodes.
func nodesFlag(c *kingpin.CmdClause, nodes *[]netip.AddrPort) {
	c.Flag("nodes", "Operators' listeners of nodes, separated by commas; the flag may be repeated.").
		PlaceHolder("IP:PORT,...").Required().SetValue(nodesValue{nodes: nodes})
}

// formatFlag adds the flag that selects the output format.
func formatFlag(c *kingpin.CmdClause, format *string) {
	c.Flag("format", "Print text or json.").Default(formatText).EnumVar(format, formatText, formatJSON)
}

// printJSON prints v as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

// yesNo formats a boolean for a table.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// orDash returns text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
