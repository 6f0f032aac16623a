package conf

import (
	"fmt"
	"net/netip"
	"slices"
)

// listener is the address of a listener with its settings key.
type listener struct {
	key     string
	address netip.AddrPort
}

// checkListeners adds a fault for each listener whose address overlaps that of another
// one, and for a backend server address that is a listener of the node itself.
func (d *decoder) checkListeners() {
	s := &d.settings
	all := []listener{
		{"callers", s.Callers},
		{"nodes", s.Nodes},
		{"control", s.Control},
		{"operators", s.Operators},
		{"ready", s.ReadinessAddress},
	}
	// A backend server with its own IP address may use the port of a listener on all
	// addresses, unless its address is a loopback address.
	if s.Server.Addr().IsLoopback() || slices.ContainsFunc(all, func(l listener) bool { return l.address == s.Server }) {
		all = append(all, listener{"server", s.Server})
	}
	for i, b := range all {
		for _, a := range all[:i] {
			if !overlaps(a.address, b.address) {
				continue
			}
			d.addFault(d.values[b.key], b.key, fmt.Sprintf("%s is already the address of %s", b.address, a.key))
			break
		}
	}
}

// overlaps reports whether two listeners of one instance cannot both use their
// addresses. Port 0 overlaps with none.
func overlaps(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() == 0 || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
