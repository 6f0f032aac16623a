// Package conf reads the settings of a node from YAML.
//
// Parsing is strict: an unknown key, a value of the wrong type, and a missing or
// out-of-range value are faults. All faults are reported together, each with its
// position and its key.
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
	// IsolatedServe makes an isolated node continue with its last view.
	IsolatedServe = "serve"
	// IsolatedReject makes an isolated node reject new requests.
	IsolatedReject = "refuse"
)

// Values of the key "dialect".
const (
	// DialectPlain is bulrushlock's own dialect.
	DialectPlain = "plain"
	// DialectPlatform is the dialect of the platform that package platform adapts to.
	DialectPlatform = "platform"
)

// Limits and default of the keys "ask" and "lines".
const (
	maxAsk       = 16
	defaultLines = 200
	maxLines     = 100_000
)

// maxLinkMegabits is the largest value of the key "link", in megabits per second.
const maxLinkMegabits = 1_000_000

// The key "cross".
const (
	// crossByLink is the value that derives the price from the key "link".
	crossByLink = "link"
	// minCrossPrice and maxCrossPrice bound the waiting time that a megabyte is worth.
	minCrossPrice = time.Millisecond
	maxCrossPrice = time.Hour
	// ampleLinkMegabits is the bandwidth in megabits per second from which a link is no
	// reason to keep bytes at home.
	ampleLinkMegabits = 500
	// megabyteMegabits is the size of a megabyte in megabits.
	megabyteMegabits = 8
)

// Limits of the keys "memory", in megabytes, and "files".
const (
	minMemory = 16
	maxMemory = 1 << 20
	minFiles  = 64
	maxFiles  = 1 << 24
)

// Limits and default of the key "hold", in megabytes.
const (
	defaultHold = 16
	maxHold     = 65_536
)

// Limits and defaults of the keys "drain", "lag" and "revoke".
const (
	defaultDrain = 3 * time.Second
	maxDrain     = time.Hour
	defaultLag   = 2 * time.Minute
	minLag       = time.Second
	maxLag       = time.Hour
	maxRevoke    = time.Hour
)

// Settings are the settings of a node: its identity, its listeners, the addresses that
// it connects to, and its limits.
type Settings struct {
	// Instance is the name of the instance that the node runs on. The default is derived
	// from the IP address of Nodes.
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
	// Operators is the listener for status, metrics and the event log.
	Operators netip.AddrPort
	// ReadinessAddress is the listener for the platform's readiness checks; it is invalid
	// if there is none.
	ReadinessAddress netip.AddrPort
	// Server is the address of the backend server beside the node.
	Server netip.AddrPort
	// Platform is the address of the platform, which publishes the rules and the instance
	// list.
	Platform netip.AddrPort
	// Peers are the control listeners of some other nodes, which the node contacts at
	// start.
	Peers []netip.AddrPort
	// Isolated is what the node does with new requests while it reaches neither the
	// platform nor a peer: IsolatedServe or IsolatedReject.
	Isolated string
	// DrainTime is the time for which a draining node keeps its listeners open, so that
	// senders that do not know yet that it drains get a rejection.
	DrainTime time.Duration
	// MaxStaleness is the staleness bound of a view. While a view is within the bound, the
	// owner of an idempotency key is certain. It must be the same on every node.
	MaxStaleness time.Duration
	// MaxCredentialAge is the age of the rules up to which a credential that they know counts; 0
	// means any.
	MaxCredentialAge time.Duration
	// Dialect selects the protocol used with callers, the backend server and the
	// platform: DialectPlain or DialectPlatform.
	Dialect string
	// ProbeCount is the number of guards whose load is probed before a request is sent.
	ProbeCount int
	// LinkMegabits is the bandwidth of the instance's network link in megabits per
	// second, or 0 if unknown.
	LinkMegabits float64
	// CrossPrice is the waiting time that is as bad as one megabyte sent to another data
	// centre, or 0 if bytes between data centres have no price.
	CrossPrice time.Duration
	// MemoryMegabytes is the memory that the instance has for the node in megabytes, or 0 for
	// that of the whole machine.
	MemoryMegabytes int
	// Files is the number of descriptors that the node may have open, or 0 for the limit of the
	// process.
	Files int
	// HoldMegabytes is the memory in megabytes for the bodies of uploads that arrive; with 0
	// they are forwarded while they arrive.
	HoldMegabytes int
	// LogRate is the rate in log lines per second above which lines of successful requests
	// are omitted.
	LogRate int
	// Rules are lines of rules that are added to those that the platform publishes.
	Rules []string
}

// Fault is one problem in a text of settings.
type Fault struct {
	// Line is the line of the fault and starts at 1.
	Line int
	// Column is the column of the fault and starts at 1.
	Column int
	// Key is the invalid key; it is empty if the text is not YAML.
	Key string
	// Problem says what is wrong and what would be valid.
	Problem string
}

// FaultsError lists all faults of a text of settings, ordered by line and column.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error returns one line per fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s", e.File, f.Line, f.Column, f.text())
	}
	return strings.Join(lines, "\n")
}

// text returns the problem, prefixed with the key if there is one.
func (f Fault) text() string {
	if f.Key == "" {
		return f.Problem
	}
	return fmt.Sprintf("key %q: %s", f.Key, f.Problem)
}

// ReadError is returned for a settings file that cannot be read.
type ReadError struct {
	File  string
	Cause error
}

// Error returns a message with the file name and the cause.
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

// Parse parses the settings in text. The name is the file name used in faults. It fails
// with a *FaultsError.
func Parse(name string, text []byte) (*Settings, error) {
	d := newDecoder()
	d.decode(text)
	d.checkListeners()
	d.deriveCrossPrice()
	d.setDefaultInstance()
	if len(d.faults) > 0 {
		return nil, &FaultsError{File: name, Faults: d.sortedFaults()}
	}
	return &d.settings, nil
}

// ChangedRestartKeys returns the keys that take effect only when the node starts and
// whose values differ from those of o.
func (s *Settings) ChangedRestartKeys(o *Settings) []string {
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
		{"ready", s.ReadinessAddress == o.ReadinessAddress},
		{"server", s.Server == o.Server},
		{"platform", s.Platform == o.Platform},
		{"peers", slices.Equal(s.Peers, o.Peers)},
		{"lag", s.MaxStaleness == o.MaxStaleness},
		{"revoke", s.MaxCredentialAge == o.MaxCredentialAge},
		{"link", s.LinkMegabits == o.LinkMegabits},
		{"cross", s.CrossPrice == o.CrossPrice},
		{"memory", s.MemoryMegabytes == o.MemoryMegabytes},
		{"files", s.Files == o.Files},
		{"hold", s.HoldMegabytes == o.HoldMegabytes},
		{"dialect", s.Dialect == o.Dialect},
		{"rules", slices.Equal(s.Rules, o.Rules)},
	} {
		if !f.same {
			keys = append(keys, f.key)
		}
	}
	return keys
}
