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

// namePattern matches the names of instances, data centres and services.
var namePattern = regexp.MustCompile(`^[a-z0-9-]{1,32}$`)

// stringValue returns the text of a string scalar and adds a fault for a value of
// another type.
func (d *decoder) stringValue(n ast.Node, name, want string) (string, bool) {
	switch t := n.(type) {
	case *ast.StringNode:
		return t.Value, true
	case *ast.LiteralNode:
		return t.Value.Value, true
	}
	d.addFault(n, name, fmt.Sprintf("must be %s, not %s", want, typeName(n)))
	return "", false
}

// typeName describes the type of a value for a fault, with a hint if quotes are missing.
func typeName(n ast.Node) string {
	switch n.Type() {
	case ast.IntegerType, ast.FloatType, ast.BoolType, ast.InfinityType, ast.NanType:
		return fmt.Sprintf("of type %s (put quotes around a string)", n.Type().YAMLName())
	case ast.MappingValueType:
		return "of type mapping"
	}
	return "of type " + n.Type().YAMLName()
}

// nameInto returns a function that reads a name into field.
func (d *decoder) nameInto(key string, field *string) func(ast.Node) {
	const want = "a name of 1 to 32 characters from a-z, 0-9 and -"
	return func(n ast.Node) {
		text, ok := d.stringValue(n, key, want)
		if !ok {
			return
		}
		if !namePattern.MatchString(text) {
			d.addFault(n, key, fmt.Sprintf("must be %s, not %q", want, text))
			return
		}
		*field = text
	}
}

// listenerInto returns a function that reads the address of a listener into field.
func (d *decoder) listenerInto(key string, field *netip.AddrPort) func(ast.Node) {
	return func(n ast.Node) {
		a, ok := d.address(n, key)
		if !ok {
			return
		}
		if a.Addr().IsMulticast() {
			d.addFault(n, key, fmt.Sprintf("%s is a multicast address and cannot be a listener", a.Addr()))
			return
		}
		*field = a
	}
}

// dialAddressInto returns a function that reads an address to connect to into field.
func (d *decoder) dialAddressInto(key string, field *netip.AddrPort) func(ast.Node) {
	return func(n ast.Node) {
		if a, ok := d.dialAddress(n, key); ok {
			*field = a
		}
	}
}

// dialAddress reads an address that can be connected to.
func (d *decoder) dialAddress(n ast.Node, key string) (netip.AddrPort, bool) {
	a, ok := d.address(n, key)
	if !ok {
		return a, false
	}
	if a.Port() == 0 {
		d.addFault(n, key, "port 0 is for listeners only, give a port from 1 to 65535")
		return a, false
	}
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		d.addFault(n, key, fmt.Sprintf("%s is not a unicast address", a.Addr()))
		return a, false
	}
	return a, true
}

// address reads an IP address and a port.
func (d *decoder) address(n ast.Node, key string) (netip.AddrPort, bool) {
	const want = "an IP address and a port from 1 to 65535 such as 127.0.0.1:8080 or \"[::1]:8080\""
	text, ok := d.stringValue(n, key, want)
	if !ok {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		d.addFault(n, key, fmt.Sprintf("must be %s, not %q", want, text))
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
}

// readPeers reads the sequence of peers.
func (d *decoder) readPeers(n ast.Node) {
	const key = "peers"
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addFault(n, key, fmt.Sprintf("must be a sequence of addresses, not %s", typeName(n)))
		return
	}
	for _, v := range s.Values {
		a, ok := d.dialAddress(v, key)
		if !ok {
			continue
		}
		if slices.Contains(d.settings.Peers, a) {
			d.addFault(v, key, fmt.Sprintf("%s is listed twice", a))
			continue
		}
		d.settings.Peers = append(d.settings.Peers, a)
	}
}

// choiceInto returns a function that reads one of two words into field.
func (d *decoder) choiceInto(key string, field *string, first, second string) func(ast.Node) {
	want := fmt.Sprintf("%q or %q", first, second)
	return func(n ast.Node) {
		text, ok := d.stringValue(n, key, want)
		if !ok {
			return
		}
		if text != first && text != second {
			d.addFault(n, key, fmt.Sprintf("must be %s, not %q", want, text))
			return
		}
		*field = text
	}
}

// countInto returns a function that reads an integer from low to high into field.
func (d *decoder) countInto(key string, field *int, low, high int) func(ast.Node) {
	want := fmt.Sprintf("a whole number from %d to %d", low, high)
	return func(n ast.Node) {
		i, ok := n.(*ast.IntegerNode)
		if !ok {
			d.addFault(n, key, fmt.Sprintf("must be %s, not %s", want, typeName(n)))
			return
		}
		count, err := strconv.Atoi(i.GetToken().Value)
		if err != nil || count < low || count > high {
			d.addFault(n, key, fmt.Sprintf("must be %s, not %s", want, i.GetToken().Value))
			return
		}
		*field = count
	}
}

// numberInto returns a function that reads a number from low to high into field.
func (d *decoder) numberInto(key string, field *float64, low, high int) func(ast.Node) {
	want := fmt.Sprintf("a number from %d to %d", low, high)
	return func(n ast.Node) {
		if n.Type() != ast.IntegerType && n.Type() != ast.FloatType {
			d.addFault(n, key, fmt.Sprintf("must be %s, not %s", want, typeName(n)))
			return
		}
		number, err := strconv.ParseFloat(n.GetToken().Value, 64)
		if err != nil || number < float64(low) || number > float64(high) {
			d.addFault(n, key, fmt.Sprintf("must be %s, not %s", want, n.GetToken().Value))
			return
		}
		*field = number
	}
}

// readCross reads the price of bytes between data centres: a time, or the word that derives it
// from the link.
func (d *decoder) readCross(n ast.Node) {
	const key, want = "cross", "link, or a time with its unit such as 500ms"
	text, ok := d.stringValue(n, key, want)
	switch {
	case !ok:
		return
	case text == crossByLink:
		d.crossFromLink = true
		return
	}
	price, err := time.ParseDuration(text)
	if err != nil {
		d.addFault(n, key, fmt.Sprintf("must be %s, not %q", want, text))
		return
	}
	if price < minCrossPrice || price > maxCrossPrice {
		d.addFault(n, key, fmt.Sprintf("must be from %s to %s, not %s", minCrossPrice, maxCrossPrice, price))
		return
	}
	d.settings.CrossPrice = price
}

// deriveCrossPrice sets the price of bytes between data centres to the time that they take on
// the links of both instances, if the settings say so and the links are narrow.
func (d *decoder) deriveCrossPrice() {
	link := d.settings.LinkMegabits
	if !d.crossFromLink || link <= 0 || link >= ampleLinkMegabits {
		return
	}
	const links = 2
	d.settings.CrossPrice = time.Duration(links * megabyteMegabits / link * float64(time.Second))
}

// readRules reads lines of rules. It parses each line on its own, together with a service
// rule, because rules without any service are invalid.
func (d *decoder) readRules(n ast.Node) {
	const key = "rules"
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addFault(n, key, fmt.Sprintf("must be a sequence of rules, not %s", typeName(n)))
		return
	}
	for _, v := range s.Values {
		text, ok := d.stringValue(v, key, "a rule")
		if !ok {
			continue
		}
		if _, err := rules.Parse(text + "\nservice any slots=1   # settings: rules need a service"); err != nil {
			d.addFault(v, key, err.Error())
			continue
		}
		d.settings.Rules = append(d.settings.Rules, text)
	}
}

// setDefaultInstance derives the name of the instance from its IP address if the
// settings have none.
func (d *decoder) setDefaultInstance() {
	s := &d.settings
	if s.Instance == "" && s.Nodes.IsValid() {
		s.Instance = strings.NewReplacer(".", "-", ":", "-").Replace(s.Nodes.Addr().String())
	}
}

// durationInto returns a function that reads a duration from least to most into field.
func (d *decoder) durationInto(key string, field *time.Duration, least, most time.Duration) func(ast.Node) {
	const want = "a time with its unit such as 3s or 500ms"
	return func(n ast.Node) {
		text, ok := d.stringValue(n, key, want)
		if !ok {
			return
		}
		duration, err := time.ParseDuration(text)
		if err != nil {
			d.addFault(n, key, fmt.Sprintf("must be %s, not %q", want, text))
			return
		}
		if duration < least || duration > most {
			d.addFault(n, key, fmt.Sprintf("must be from %s to %s, not %s", least, most, duration))
			return
		}
		*field = duration
	}
}
