package cmd

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/core/creds"
	"bulrushlock/core/rules"
	"bulrushlock/io/admin"
	"bulrushlock/io/fetch"
)

// explainFlags are the arguments and flags of the command explain.
type explainFlags struct {
	method string
	path   string
	host   string
	rules  string
	digest string
	node   netip.AddrPort
	format string
}

// explainedRule is a rule with its origin: its line, who requested it and why.
type explainedRule struct {
	Line int    `json:"line"`
	Rule string `json:"rule"`
	Who  string `json:"who"`
	Why  string `json:"why"`
}

// explainReport is the output of the command explain.
type explainReport struct {
	Method  string        `json:"method"`
	Path    string        `json:"path"`
	Route   explainedRule `json:"route"`
	Service explainedRule `json:"service"`
	// Access says who may send the request; it is empty if the rules have no customers.
	Access string `json:"access,omitempty"`
	// Customer is the rule of the customer that holds the credential; nil if there is none.
	Customer *explainedRule `json:"customer,omitempty"`
	// Candidates is nil if the flag --node is not set.
	Candidates *admin.Peers `json:"candidates,omitempty"`
}

// explainUsageError is returned if no flag names a source of rules.
type explainUsageError struct{}

// Error says which flags are missing.
func (*explainUsageError) Error() string { return "explain: give --rules, --node or both" }

// noRouteError is returned for a request that no rule matches.
type noRouteError struct {
	method string
	path   string
}

// Error returns a message with the request and how a node responds to it.
func (e *noRouteError) Error() string {
	return fmt.Sprintf("explain: no rule matches %s %s, so a node answers not-run with reason route", e.method, e.path)
}

// noCustomerError is returned for a credential that no customer holds, on a route that needs one.
type noCustomerError struct {
	digest string
}

// Error returns a message with the start of the digest and how a node responds to it.
func (e *noCustomerError) Error() string {
	return fmt.Sprintf("explain: no customer holds the credential %s, so a node answers not-run with reason credential", creds.Short(e.digest))
}

// Values of explainReport.Access.
const (
	accessPublic   = "public: needs no credential"
	accessCustomer = "customers: needs the credential of one"
)

// registerExplain adds the command that shows how a request is routed.
func registerExplain(a *kingpin.Application, s streams) {
	var f explainFlags
	c := a.Command("explain", "Show the rule of a request, who requested it and why, and the backend servers that a "+
		"node may select for it. The rules are read from the file, or else from the node. "+
		"The exit status is 0 when a rule matches, 1 when none does or the node was not reached, "+
		"and 2 for invalid flags or an invalid file.\n\n"+
		"Example: bulrushlock explain GET /lines/7 --rules rules.txt --node 10.10.1.11:8083")
	c.Arg("method", "The method of the request, such as GET.").Required().StringVar(&f.method)
	c.Arg("path", "The path of the request, such as /lines/7.").Required().StringVar(&f.path)
	c.Flag("host", "The host of the request, without a port.").StringVar(&f.host)
	c.Flag("rules", "The rules file.").PlaceHolder("FILE").StringVar(&f.rules)
	c.Flag("digest", "The digest of the caller's credential: the first 32 digits of its SHA-256.").PlaceHolder("DIGEST").StringVar(&f.digest)
	c.Flag("node", "The operators' listener of a node.").PlaceHolder("IP:PORT").SetValue(addressValue{address: &f.node})
	formatFlag(c, &f.format)
	c.Action(func(*kingpin.ParseContext) error {
		return runExplain(f, s)
	})
}

// runExplain prints the rule of a request and, if a node is given, the backend servers
// for it.
func runExplain(f explainFlags, s streams) error {
	ctx := context.Background()
	client := fetch.New(nodeTimeout)
	set, err := f.readRules(ctx, client)
	if err != nil {
		return err
	}
	r, err := explain(f, set)
	if err != nil {
		return err
	}
	if f.node.IsValid() {
		path := "/peers?service=" + url.QueryEscape(r.name)
		resp := fetch.One[admin.Peers](ctx, client, f.node, path)
		if resp.Err != nil {
			return &failedError{cause: fmt.Errorf("explain: %w", resp.Err)}
		}
		r.Candidates = &resp.Value
	}
	show := writeExplain
	if f.format == formatJSON {
		show = func(w io.Writer, r explanation) error { return printJSON(w, r.explainReport) }
	}
	if err := show(s.out, r); err != nil {
		return &failedError{cause: err}
	}
	return nil
}

// readRules reads the rules from the file, or else from the node.
func (f explainFlags) readRules(ctx context.Context, client *fetch.Client) (*rules.Set, error) {
	if f.rules != "" {
		text, err := os.ReadFile(f.rules)
		if err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
		return rules.Parse(string(text))
	}
	if !f.node.IsValid() {
		return nil, &explainUsageError{}
	}
	text, err := client.Text(ctx, f.node, "/rules")
	if err != nil {
		return nil, &failedError{cause: fmt.Errorf("explain: %w", err)}
	}
	set, err := rules.Parse(text)
	if err != nil {
		return nil, &failedError{cause: fmt.Errorf("explain: rules of %v: %w", f.node, err)}
	}
	return set, nil
}

// explanation is a report with the name of the service that the request is routed to.
type explanation struct {
	explainReport
	name string
}

// explain finds the rules of a request. It fails with a *failedError that wraps a
// *noRouteError or a *noCustomerError.
func explain(f explainFlags, set *rules.Set) (explanation, error) {
	route, ok := set.Route(f.method, f.host, f.path)
	if !ok {
		return explanation{}, &failedError{cause: &noRouteError{method: f.method, path: f.path}}
	}
	service, _ := set.Service(route.Service)
	r := explanation{
		explainReport: explainReport{
			Method:  f.method,
			Path:    f.path,
			Route:   newExplainedRule(route.String(), route.Origin),
			Service: newExplainedRule(service.String(), service.Origin),
		},
		name: route.Service,
	}
	return r, r.addCustomer(f.digest, route, set)
}

// addCustomer adds who may send the request, and the customer that holds the credential with the
// given digest, which may be empty. It fails with a *failedError that wraps a *noCustomerError.
func (r *explainReport) addCustomer(digest string, route rules.Route, set *rules.Set) error {
	if !set.HasCustomers() {
		return nil
	}
	r.Access = accessCustomer
	if route.Public {
		r.Access = accessPublic
	}
	customer, ok := set.CustomerOf(digest)
	switch {
	case ok:
		rule := newExplainedRule(customer.String(), customer.Origin)
		r.Customer = &rule
	case digest != "" && !route.Public:
		return &failedError{cause: &noCustomerError{digest: digest}}
	}
	return nil
}

// newExplainedRule returns a rule with its origin.
func newExplainedRule(rule string, o rules.Origin) explainedRule {
	return explainedRule{Line: o.Line, Rule: rule, Who: o.RequestedBy, Why: o.Reason}
}

// writeExplain writes a report as text.
func writeExplain(w io.Writer, r explanation) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s %s\n", r.Method, r.Path)
	if r.Access != "" {
		_, _ = fmt.Fprintln(t, r.Access)
	}
	shown := []explainedRule{r.Route, r.Service}
	if r.Customer != nil {
		shown = append(shown, *r.Customer)
	}
	for _, rule := range shown {
		_, _ = fmt.Fprintf(t, "line %d\t%s\n\tasked for by %s: %s\n", rule.Line, rule.Rule, rule.Who, rule.Why)
	}
	if r.Candidates != nil {
		_, _ = fmt.Fprintf(t, "backend servers as %s knows them\n", r.Candidates.Instance)
		_, _ = fmt.Fprintln(t, "instance\tcentre\tstate\tbusy\tqueued\tlimit\tcold\toutstanding\tfailures\treport\tlatency")
		for _, p := range r.Candidates.Peers {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%d\t%d\t%s\t%s\n",
				p.Instance, p.Centre, p.State, p.InFlight, p.Queued, p.Limit, yesNo(p.Cold),
				p.Outstanding, p.Failures, formatReportAge(p.Age), time.Duration(p.Latency)*time.Microsecond)
		}
	}
	return t.Flush()
}

// formatReportAge formats the age of a load report, which is negative if there is none.
func formatReportAge(milliseconds int64) string {
	if milliseconds < 0 {
		return "none"
	}
	return (time.Duration(milliseconds) * time.Millisecond).String() + " old"
}
