// Package fleet holds the instance list of the platform and its text form.
//
// The list lags. It may hold an instance that is gone beside a new one that
// has the same addresses, so only names are unique in it.
//
// # Usage
//
//	instances, err := fleet.Parse(text)
//	if err != nil {
//		return err // a *fleet.ParseError
//	}
package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"strings"
)

// States of an instance in the text form.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// maxLife is the length in bytes of the longest name of a life.
const maxLife = 200

// name is the form of the names of instances, data centres and services.
var name = regexp.MustCompile(`^[a-z0-9-]{1,32}$`)

// Instance is one entry of the instance list.
type Instance struct {
	// Name is the name of the instance.
	Name string
	// Centre is the data centre of the instance.
	Centre string
	// Service is the service of the backend server of the instance.
	Service string
	// Nodes is the listener for requests that other nodes forward.
	Nodes netip.AddrPort
	// Control is the listener for net/rpc calls between nodes.
	Control netip.AddrPort
	// Life names the present life of the backend server; it is empty where the
	// platform tells none.
	Life string
	// Slots is the number of requests that the backend server runs at once, or 0
	// where the platform does not tell it.
	Slots int
	// Leaving tells that the instance takes no new work.
	Leaving bool
}

// ParseError is an instance list that cannot be read.
type ParseError struct {
	// Index is the place of the entry at fault, or -1 when the text is not a list.
	Index int
	// Problem says what is wrong.
	Problem string
	// Cause is the failure of the decoder, or nil.
	Cause error
}

// Error names the entry at fault and what is wrong with it.
func (e *ParseError) Error() string {
	text := "instance list: "
	if e.Index >= 0 {
		text = fmt.Sprintf("instance list, entry %d: ", e.Index)
	}
	if e.Cause != nil {
		return fmt.Sprintf("%s%s: %v", text, e.Problem, e.Cause)
	}
	return text + e.Problem
}

// Unwrap returns the cause.
func (e *ParseError) Unwrap() error { return e.Cause }

// entry is the text form of an instance.
type entry struct {
	Name    string         `json:"name"`
	Centre  string         `json:"centre"`
	Service string         `json:"service"`
	Nodes   netip.AddrPort `json:"nodes"`
	Control netip.AddrPort `json:"control"`
	Life    string         `json:"life,omitempty"`
	Slots   int            `json:"slots,omitempty"`
	State   string         `json:"state"`
}

// Parse reads an instance list. It fails with a *ParseError for an unknown key,
// a missing or impossible value, a name that stands twice, and text after the list.
func Parse(text string) ([]Instance, error) {
	entries, err := decode(text)
	if err != nil {
		return nil, err
	}
	instances := make([]Instance, len(entries))
	seen := make(map[string]bool, len(entries))
	for i, e := range entries {
		if problem := e.problem(); problem != "" {
			return nil, &ParseError{Index: i, Problem: problem}
		}
		if seen[e.Name] {
			return nil, &ParseError{Index: i, Problem: fmt.Sprintf("name %q stands twice", e.Name)}
		}
		seen[e.Name] = true
		instances[i] = e.instance()
	}
	return instances, nil
}

// Format returns the text form of an instance list.
func Format(instances []Instance) (string, error) {
	entries := make([]entry, len(instances))
	for i, in := range instances {
		entries[i] = entryOf(in)
		if problem := entries[i].problem(); problem != "" {
			return "", &ParseError{Index: i, Problem: problem}
		}
	}
	text, err := json.Marshal(entries)
	if err != nil {
		return "", &ParseError{Index: -1, Problem: "cannot be written", Cause: err}
	}
	return string(text), nil
}

// decode reads the entries of the list and nothing after it.
func decode(text string) ([]entry, error) {
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	var entries []entry
	if err := d.Decode(&entries); err != nil {
		return nil, &ParseError{Index: -1, Problem: "cannot be read", Cause: err}
	}
	if entries == nil {
		return nil, &ParseError{Index: -1, Problem: "must be an array, not null"}
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, &ParseError{Index: -1, Problem: "has text after the array"}
	}
	return entries, nil
}

// problem says what is wrong with an entry, or returns "".
func (e entry) problem() string {
	for _, f := range []struct{ key, value string }{
		{"name", e.Name},
		{"centre", e.Centre},
		{"service", e.Service},
	} {
		if !name.MatchString(f.value) {
			return fmt.Sprintf("%s %q is not 1 to 32 characters from a-z, 0-9 and -", f.key, f.value)
		}
	}
	for _, f := range []struct {
		key   string
		value netip.AddrPort
	}{
		{"nodes", e.Nodes},
		{"control", e.Control},
	} {
		if !reachable(f.value) {
			return fmt.Sprintf("%s %q is not an IP number and port of one instance", f.key, f.value)
		}
	}
	if len(e.Life) > maxLife {
		return fmt.Sprintf("life is longer than %d bytes", maxLife)
	}
	if e.Slots < 0 {
		return fmt.Sprintf("slots %d is below 0", e.Slots)
	}
	if e.State != stateLive && e.State != stateLeaving {
		return fmt.Sprintf("state %q is neither %q nor %q", e.State, stateLive, stateLeaving)
	}
	return ""
}

// reachable tells whether a can be the address of a listener of one instance.
func reachable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// instance returns the instance that e stands for.
func (e entry) instance() Instance {
	return Instance{
		Name:    e.Name,
		Centre:  e.Centre,
		Service: e.Service,
		Nodes:   e.Nodes,
		Control: e.Control,
		Life:    e.Life,
		Slots:   e.Slots,
		Leaving: e.State == stateLeaving,
	}
}

// entryOf returns the entry that stands for in.
func entryOf(in Instance) entry {
	e := entry{
		Name:    in.Name,
		Centre:  in.Centre,
		Service: in.Service,
		Nodes:   in.Nodes,
		Control: in.Control,
		Life:    in.Life,
		Slots:   in.Slots,
		State:   stateLive,
	}
	if in.Leaving {
		e.State = stateLeaving
	}
	return e
}
