package conf

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"bulrushlock/core/rules"
)

// name is the form of the names of instances, data centres and services.
var name = regexp.MustCompile(`^[a-z0-9-]{1,32}$`)

// text returns the text of a scalar and adds a fault for a value of another type.
func (r *reader) text(n ast.Node, name, want string) (string, bool) {
	switch t := n.(type) {
	case *ast.StringNode:
		return t.Value, true
	case *ast.LiteralNode:
		return t.Value.Value, true
	}
	r.add(n, name, fmt.Sprintf("must be %s, not %s", want, kind(n)))
	return "", false
}

// kind names the type of a value, with the remedy where the value lacks quotes.
func kind(n ast.Node) string {
	switch n.Type() {
	case ast.IntegerType, ast.FloatType, ast.BoolType, ast.InfinityType, ast.NanType:
		return fmt.Sprintf("of type %s (put quotes around a text)", n.Type().YAMLName())
	case ast.MappingValueType:
		return "of type mapping"
	}
	return "of type " + n.Type().YAMLName()
}

// nameInto returns a function that reads a name into field.
func (r *reader) nameInto(key string, field *string) func(ast.Node) {
	const want = "a name of 1 to 32 characters from a-z, 0-9 and -"
	return func(n ast.Node) {
		text, ok := r.text(n, key, want)
		if !ok {
			return
		}
		if !name.MatchString(text) {
			r.add(n, key, fmt.Sprintf("must be %s, not %q", want, text))
			return
		}
		*field = text
	}
}

// listenerInto returns a function that reads the address of a listener into field.
func (r *reader) listenerInto(key string, field *netip.AddrPort) func(ast.Node) {
	return func(n ast.Node) {
		a, ok := r.address(n, key)
		if !ok {
			return
		}
		if a.Addr().IsMulticast() {
			r.add(n, key, fmt.Sprintf("%s is a multicast address, which cannot be a listener", a.Addr()))
			return
		}
		*field = a
	}
}

// targetInto returns a function that reads an address to connect to into field.
func (r *reader) targetInto(key string, field *netip.AddrPort) func(ast.Node) {
	return func(n ast.Node) {
		if a, ok := r.target(n, key); ok {
			*field = a
		}
	}
}

// target reads an address that can be connected to.
func (r *reader) target(n ast.Node, key string) (netip.AddrPort, bool) {
	a, ok := r.address(n, key)
	if !ok {
		return a, false
	}
	if a.Port() == 0 {
		r.add(n, key, "port 0 is for listeners only, give a port from 1 to 65535")
		return a, false
	}
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		r.add(n, key, fmt.Sprintf("%s is not the address of one instance", a.Addr()))
		return a, false
	}
	return a, true
}

// address reads an IP number and a port.
func (r *reader) address(n ast.Node, key string) (netip.AddrPort, bool) {
	const want = "an IP number and a port from 1 to 65535 such as 127.0.0.1:8080 or \"[::1]:8080\""
	text, ok := r.text(n, key, want)
	if !ok {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		r.add(n, key, fmt.Sprintf("must be %s, not %q", want, text))
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
}

// readPeers reads the sequence of peers.
func (r *reader) readPeers(n ast.Node) {
	const key = "peers"
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		r.add(n, key, fmt.Sprintf("must be a sequence of addresses, not %s", kind(n)))
		return
	}
	for _, v := range s.Values {
		a, ok := r.target(v, key)
		if !ok {
			continue
		}
		if slices.Contains(r.settings.Peers, a) {
			r.add(v, key, fmt.Sprintf("%s stands twice", a))
			continue
		}
		r.settings.Peers = append(r.settings.Peers, a)
	}
}

// wordInto returns a function that reads one of two words into place.
func (r *reader) wordInto(key string, place *string, first, second string) func(ast.Node) {
	want := fmt.Sprintf("%q or %q", first, second)
	return func(n ast.Node) {
		text, ok := r.text(n, key, want)
		if !ok {
			return
		}
		if text != first && text != second {
			r.add(n, key, fmt.Sprintf("must be %s, not %q", want, text))
			return
		}
		*place = text
	}
}

// countInto returns a function that reads a whole number from low to high into place.
func (r *reader) countInto(key string, place *int, low, high int) func(ast.Node) {
	want := fmt.Sprintf("a whole number from %d to %d", low, high)
	return func(n ast.Node) {
		i, ok := n.(*ast.IntegerNode)
		if !ok {
			r.add(n, key, fmt.Sprintf("must be %s, not %s", want, kind(n)))
			return
		}
		count, err := strconv.Atoi(i.GetToken().Value)
		if err != nil || count < low || count > high {
			r.add(n, key, fmt.Sprintf("must be %s, not %s", want, i.GetToken().Value))
			return
		}
		*place = count
	}
}

// numberInto returns a function that reads a number from low to high into place.
func (r *reader) numberInto(key string, place *float64, low, high int) func(ast.Node) {
	want := fmt.Sprintf("a number from %d to %d", low, high)
	return func(n ast.Node) {
		if n.Type() != ast.IntegerType && n.Type() != ast.FloatType {
			r.add(n, key, fmt.Sprintf("must be %s, not %s", want, kind(n)))
			return
		}
		number, err := strconv.ParseFloat(n.GetToken().Value, 64)
		if err != nil || number < float64(low) || number > float64(high) {
			r.add(n, key, fmt.Sprintf("must be %s, not %s", want, n.GetToken().Value))
			return
		}
		*place = number
	}
}

// readRules reads the lines of rules and checks them as a part of a whole text.
func (r *reader) readRules(n ast.Node) {
	const key = "rules"
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		r.add(n, key, fmt.Sprintf("must be a sequence of rules, not %s", kind(n)))
		return
	}
	for _, v := range s.Values {
		text, ok := r.text(v, key, "a rule")
		if !ok {
			continue
		}
		if _, err := rules.Parse(text + "\nservice any slots=1   # settings: a text needs a service"); err != nil {
			r.add(v, key, err.Error())
			continue
		}
		r.settings.Rules = append(r.settings.Rules, text)
	}
}

// nameInstance names the instance by its IP number where the text gives no name.
func (r *reader) nameInstance() {
	s := &r.settings
	if s.Instance == "" && s.Nodes.IsValid() {
		s.Instance = strings.NewReplacer(".", "-", ":", "-").Replace(s.Nodes.Addr().String())
	}
}

// timeInto returns a function that reads a time between least and most into place.
func (r *reader) timeInto(key string, place *time.Duration, least, most time.Duration) func(ast.Node) {
	const want = "a time with its unit such as 3s or 500ms"
	return func(n ast.Node) {
		text, ok := r.text(n, key, want)
		if !ok {
			return
		}
		d, err := time.ParseDuration(text)
		if err != nil {
			r.add(n, key, fmt.Sprintf("must be %s, not %q", want, text))
			return
		}
		if d < least || d > most {
			r.add(n, key, fmt.Sprintf("must be from %s to %s, not %s", least, most, d))
			return
		}
		*place = d
	}
}
