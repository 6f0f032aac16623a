package cmd

import (
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/io/fake"
)

// registerStandServer adds the command that runs a fake backend server.
func registerStandServer(parent *kingpin.CmdClause, s streams) {
	var address netip.AddrPort
	var o fake.ServerOptions
	c := parent.Command("server", "Run a fake of a backend server.")
	listenFlag(c, &address)
	c.Flag("name", "Server name in the responses.").Default("server").StringVar(&o.Name)
	c.Flag("slots", "Number of requests that can run at once.").Default("10").IntVar(&o.Slots)
	c.Flag("queue", "Queue length above which requests are shed.").Default("0").IntVar(&o.Queue)
	c.Flag("cold", "Number of requests that can run at once during cold start; 0 for no cold start.").
		Default("0").IntVar(&o.ColdLimit)
	c.Flag("warm", "Number of completed requests that end a cold start.").Default("20").IntVar(&o.WarmupRequests)
	c.Flag("service-time", "Service time of a request without the header Work.").
		Default("5ms").DurationVar(&o.ServiceTime)
	c.Action(func(*kingpin.ParseContext) error {
		return runUntilSignal(address, fake.NewServer(o), s.out)
	})
}
