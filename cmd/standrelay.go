package cmd

import (
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/io/fake"
)

// registerStandRelay adds the command that runs a plain reverse proxy to one server.
func registerStandRelay(parent *kingpin.CmdClause, s streams) {
	var address netip.AddrPort
	c := parent.Command("relay", "Run a plain reverse proxy to a server, as the baseline for the latency that a node adds.")
	listenFlag(c, &address)
	server := c.Flag("server", "IP:PORT of the server.").Required().String()
	c.Action(func(*kingpin.ParseContext) error {
		target, err := netip.ParseAddrPort(*server)
		if err != nil {
			return err
		}
		return runUntilSignal(address, fake.NewRelay(target), s.out)
	})
}
