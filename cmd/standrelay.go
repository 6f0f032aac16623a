package cmd

import (
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/io/stand"
)

// registerStandRelay adds the command that runs a bare relay to one server.
func registerStandRelay(parent *kingpin.CmdClause, s streams) {
	var address netip.AddrPort
	c := parent.Command("relay", "Run a bare relay to a server, the baseline for the time that a node adds.")
	listenFlag(c, &address)
	server := c.Flag("server", "IP:PORT of the server.").Required().String()
	c.Action(func(*kingpin.ParseContext) error {
		target, err := netip.ParseAddrPort(*server)
		if err != nil {
			return err
		}
		return untilSignal(address, stand.NewRelay(target), s.out)
	})
}
