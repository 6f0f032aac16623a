// Package conf reads the settings of a node from YAML.
//
// The text is read strictly: an unknown key, a value of the wrong type, and a
// missing or impossible value are faults. All faults of a text are reported
// together, each with its place and its key.
//
// # Usage
//
//	s, err := conf.Load("node.yaml")
//	var f *conf.FaultsError
//	if errors.As(err, &f) {
//		return f // lists every fault with its file, line and key
//	}
package conf

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

// Values of the key "isolated".
const (
	// Serve makes an isolated node go on with the view that it has.
	Serve = "serve"
	// Refuse makes an isolated node refuse new work.
	Refuse = "refuse"
)

// Values of the key "dialect".
const (
	// Plain is the product's own dialect.
	Plain = "plain"
	// Platform is the dialect of the users' platform.
	Platform = "platform"
)

// Bounds and default of the keys "ask" and "lines".
const (
	mostAsked    = 16
	defaultLines = 200
	mostLines    = 100_000
)

// mostLink is the largest value of the key "link", in megabits a second.
const mostLink = 1_000_000

// Bounds and defaults of the keys "drain" and "lag".
const (
	defaultDrain = 3 * time.Second
	longestDrain = time.Hour
	defaultLag   = 2 * time.Minute
	shortestLag  = time.Second
	longestLag   = time.Hour
)

// Settings tell a node who it is, where it listens and whom it asks.
type Settings struct {
	// Instance is the name of the instance that the node runs on; where the text has
	// none it is made of the IP number of Nodes.
	Instance string
	// Centre is the name of the data centre of the instance.
	Centre string
	// Service is the service of the backend server beside the node.
	Service string
	// Callers is the listener for requests of callers.
	Callers netip.AddrPort
	// Nodes is the listener for requests that other nodes forward.
	Nodes netip.AddrPort
	// Control is the listener for net/rpc calls between nodes.
	Control netip.AddrPort
	// Operators is the listener for status, metrics and the time line.
	Operators netip.AddrPort
	// Ready is the listener that tells the platform whether the node is ready; it is
	// not valid where there is none.
	Ready netip.AddrPort
	// Server is the address of the backend server beside the node.
	Server netip.AddrPort
	// Platform is the address of the configuration service and the instance list.
	Platform netip.AddrPort
	// Peers are the control listeners of a few other nodes, which are asked at start.
	Peers []netip.AddrPort
	// Isolated is what the node does with new work while it reaches neither the
	// platform nor a peer: Serve or Refuse.
	Isolated string
	// Drain is the time that a leaving node keeps its listeners open for late senders.
	Drain time.Duration
	// Lag is the longest lag of a view for which the owner of a key is certain. It
	// has to be the same on every node.
	Lag time.Duration
	// Dialect is how callers, the backend server and the platform are spoken with:
	// Plain or Platform.
	Dialect string
	// Ask is the number of guards that are asked for their load before a request is sent.
	Ask int
	// Link is what the network link of the instance carries, in megabits a second; 0
	// where that is not known.
	Link float64
	// Lines is the number of log lines a second from which lines of requests that went
	// well are left out.
	Lines int
	// Rules are lines of rules that are added to what the platform publishes.
	Rules []string
}

// Fault is one thing that is wrong with a text of settings.
type Fault struct {
	// Line is the line of the fault and starts at 1.
	Line int
	// Column is the column of the fault and starts at 1.
	Column int
	// Key is the key that is at fault; it is empty when the text is not YAML.
	Key string
	// Problem says what is wrong and what would be right.
	Problem string
}

// FaultsError lists all faults of a text of settings in the order of their lines.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error returns one line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s", e.File, f.Line, f.Column, f.text())
	}
	return strings.Join(lines, "\n")
}

// text returns the problem, led by the key where there is one.
func (f Fault) text() string {
	if f.Key == "" {
		return f.Problem
	}
	return fmt.Sprintf("key %q: %s", f.Key, f.Problem)
}

// ReadError is a file of settings that cannot be read.
type ReadError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *ReadError) Error() string {
	return fmt.Sprintf("read settings %s: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// Load reads the settings in the file at path. It fails with a *ReadError or a
// *FaultsError.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &ReadError{File: path, Cause: err}
	}
	return Parse(path, text)
}

// Parse reads the settings in text, which came from the file name. It fails
// with a *FaultsError.
func Parse(name string, text []byte) (*Settings, error) {
	r := newReader()
	r.readText(text)
	r.checkListeners()
	r.nameInstance()
	if len(r.faults) > 0 {
		return nil, &FaultsError{File: name, Faults: r.sorted()}
	}
	return &r.settings, nil
}

// Fixed returns the keys whose values differ from those of o and take effect only
// at the start of a node.
func (s *Settings) Fixed(o *Settings) []string {
	var keys []string
	for _, f := range []struct {
		key  string
		same bool
	}{
		{"instance", s.Instance == o.Instance},
		{"centre", s.Centre == o.Centre},
		{"service", s.Service == o.Service},
		{"callers", s.Callers == o.Callers},
		{"nodes", s.Nodes == o.Nodes},
		{"control", s.Control == o.Control},
		{"operators", s.Operators == o.Operators},
		{"ready", s.Ready == o.Ready},
		{"server", s.Server == o.Server},
		{"platform", s.Platform == o.Platform},
		{"peers", slices.Equal(s.Peers, o.Peers)},
		{"lag", s.Lag == o.Lag},
		{"link", s.Link == o.Link},
		{"dialect", s.Dialect == o.Dialect},
		{"rules", slices.Equal(s.Rules, o.Rules)},
	} {
		if !f.same {
			keys = append(keys, f.key)
		}
	}
	return keys
}
