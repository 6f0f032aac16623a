package cmd

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/core/fleet"
	"bulrushlock/io/fake"
)

// platformFiles names the files with the documents that a fake platform publishes at
// start.
type platformFiles struct {
	rules     string
	instances string
}

// registerStandPlatform adds the command that runs a fake platform.
func registerStandPlatform(parent *kingpin.CmdClause, s streams) {
	var address netip.AddrPort
	var files platformFiles
	c := parent.Command("platform", "Run a fake of the platform, which publishes rules and the instance list.")
	listenFlag(c, &address)
	c.Flag("rules", "File with the rules to publish at start.").StringVar(&files.rules)
	c.Flag("instances", "File with the instance list to publish at start.").StringVar(&files.instances)
	c.Action(func(*kingpin.ParseContext) error {
		p, err := newFakePlatform(files)
		if err != nil {
			return err
		}
		return runUntilSignal(address, p, s.out)
	})
}

// newFakePlatform returns a fake platform that has published the documents in files.
func newFakePlatform(files platformFiles) (*fake.Platform, error) {
	p := fake.NewPlatform()
	if files.rules != "" {
		text, err := os.ReadFile(files.rules)
		if err != nil {
			return nil, fmt.Errorf("read rules: %w", err)
		}
		p.PublishRules(string(text))
	}
	if files.instances == "" {
		return p, nil
	}
	text, err := os.ReadFile(files.instances)
	if err != nil {
		return nil, fmt.Errorf("read instance list: %w", err)
	}
	instances, err := fleet.Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", files.instances, err)
	}
	p.PublishInstances(instances)
	return p, nil
}
