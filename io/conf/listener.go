package conf

import (
	"fmt"
	"net/netip"
	"slices"
)

// listener is a listener by its key.
type listener struct {
	key     string
	address netip.AddrPort
}

// checkListeners adds a fault for each listener that takes the address of
// another one, and for a backend server that is a listener of the node itself.
func (r *reader) checkListeners() {
	s := &r.settings
	all := []listener{
		{"callers", s.Callers},
		{"nodes", s.Nodes},
		{"control", s.Control},
		{"operators", s.Operators},
		{"ready", s.Ready},
	}
	// A backend server may have an address of its own beside a listener on all addresses.
	if s.Server.Addr().IsLoopback() || slices.ContainsFunc(all, func(l listener) bool { return l.address == s.Server }) {
		all = append(all, listener{"server", s.Server})
	}
	for i, b := range all {
		for _, a := range all[:i] {
			if !clash(a.address, b.address) {
				continue
			}
			r.add(r.seen[b.key], b.key, fmt.Sprintf("%s is the address of %s already", b.address, a.key))
			break
		}
	}
}

// clash tells whether two addresses cannot stand for two listeners of one instance.
func clash(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() == 0 || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
