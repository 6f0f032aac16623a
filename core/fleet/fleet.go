// Package fleet defines the instance list that the platform publishes, and its JSON form.
//
// The list is published with a delay. It may contain an instance that no longer exists
// together with a new one at the same addresses. Addresses in the list are therefore not
// unique; names are.
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

// States of an instance in the JSON form.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// maxIncarnationBytes is the maximum length of Instance.Incarnation in bytes.
const maxIncarnationBytes = 200

// maxSlots is the maximum of Instance.Slots, as in the rules. Limits are computed from multiples of it.
const maxSlots = 65_536

// namePattern matches the names of instances, data centres and services.
var namePattern = regexp.MustCompile(`^[a-z0-9-]{1,32}$`)

// Instance is one entry of the instance list.
type Instance struct {
	Name string
	// Centre is the data centre of the instance.
	Centre string
	// Service is the service of the backend server of the instance.
	Service string
	// ForwardAddr is the listener for requests that other nodes forward.
	ForwardAddr netip.AddrPort
	// ControlAddr is the listener for net/rpc calls between nodes.
	ControlAddr netip.AddrPort
	// Incarnation identifies the current incarnation of the backend server; it is empty if the
	// platform does not report one.
	Incarnation string
	// Slots is the number of requests that the backend server runs concurrently, or 0 if the
	// platform does not report it.
	Slots int
	// Leaving reports that the instance accepts no new work.
	Leaving bool
}

// ParseError reports an instance list that cannot be parsed or formatted.
type ParseError struct {
	// Index is the index of the invalid entry, or -1 if the whole list is invalid.
	Index int
	// Problem describes the error.
	Problem string
	// Cause is the error of the JSON encoder or decoder, or nil.
	Cause error
}

// Error returns a message that names the invalid entry and describes the error.
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

// instanceJSON is the JSON form of an instance.
type instanceJSON struct {
	Name    string         `json:"name"`
	Centre  string         `json:"centre"`
	Service string         `json:"service"`
	Nodes   netip.AddrPort `json:"nodes"`
	Control netip.AddrPort `json:"control"`
	Life    string         `json:"life,omitempty"`
	Slots   int            `json:"slots,omitempty"`
	State   string         `json:"state"`
}

// Parse parses an instance list. It returns a *ParseError for an unknown key, a missing or
// invalid value, a duplicate name, or text after the list.
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
			return nil, &ParseError{Index: i, Problem: fmt.Sprintf("duplicate name %q", e.Name)}
		}
		seen[e.Name] = true
		instances[i] = e.instance()
	}
	return instances, nil
}

// Format returns the JSON form of an instance list. It returns a *ParseError for an invalid
// instance; it does not check for duplicate names.
func Format(instances []Instance) (string, error) {
	entries := make([]instanceJSON, len(instances))
	for i, in := range instances {
		entries[i] = instanceJSONOf(in)
		if problem := entries[i].problem(); problem != "" {
			return "", &ParseError{Index: i, Problem: problem}
		}
	}
	text, err := json.Marshal(entries)
	if err != nil {
		return "", &ParseError{Index: -1, Problem: "cannot be encoded", Cause: err}
	}
	return string(text), nil
}

// decode decodes the entries of the list and rejects any text after it.
func decode(text string) ([]instanceJSON, error) {
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	var entries []instanceJSON
	if err := d.Decode(&entries); err != nil {
		return nil, &ParseError{Index: -1, Problem: "cannot be decoded", Cause: err}
	}
	if entries == nil {
		return nil, &ParseError{Index: -1, Problem: "must be an array, not null"}
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, &ParseError{Index: -1, Problem: "has text after the array"}
	}
	return entries, nil
}

// problem describes the first error in an entry, or returns "".
func (e instanceJSON) problem() string {
	for _, f := range []struct{ key, value string }{
		{"name", e.Name},
		{"centre", e.Centre},
		{"service", e.Service},
	} {
		if !namePattern.MatchString(f.value) {
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
		if !isListenerAddress(f.value) {
			return fmt.Sprintf("%s %q is not a unicast IP address and port", f.key, f.value)
		}
	}
	if len(e.Life) > maxIncarnationBytes {
		return fmt.Sprintf("life is longer than %d bytes", maxIncarnationBytes)
	}
	if e.Slots < 0 || e.Slots > maxSlots {
		return fmt.Sprintf("slots %d is not from 0 to %d", e.Slots, maxSlots)
	}
	if e.State != stateLive && e.State != stateLeaving {
		return fmt.Sprintf("state %q is neither %q nor %q", e.State, stateLive, stateLeaving)
	}
	return ""
}

// isListenerAddress reports whether a can be the address of a listener of one instance.
func isListenerAddress(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// instance converts e to an Instance.
func (e instanceJSON) instance() Instance {
	return Instance{
		Name:        e.Name,
		Centre:      e.Centre,
		Service:     e.Service,
		ForwardAddr: e.Nodes,
		ControlAddr: e.Control,
		Incarnation: e.Life,
		Slots:       e.Slots,
		Leaving:     e.State == stateLeaving,
	}
}

// instanceJSONOf converts in to its JSON form.
func instanceJSONOf(in Instance) instanceJSON {
	e := instanceJSON{
		Name:    in.Name,
		Centre:  in.Centre,
		Service: in.Service,
		Nodes:   in.ForwardAddr,
		Control: in.ControlAddr,
		Life:    in.Incarnation,
		Slots:   in.Slots,
		State:   stateLive,
	}
	if in.Leaving {
		e.State = stateLeaving
	}
	return e
}
