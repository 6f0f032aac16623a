package cmd

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/io/conf"
	"bulrushlock/io/daemon"
	"bulrushlock/platform"
)

// registerNode adds the command that runs a node.
func registerNode(a *kingpin.Application, s streams) {
	c := a.Command("node", "Run the node beside a backend server until SIGTERM or SIGINT makes it leave.")
	settings := c.Flag("settings", "The settings of the node, in YAML.").Required().Envar(platform.SettingsVariable).String()
	c.Action(func(*kingpin.ParseContext) error {
		return runNode(*settings, s)
	})
}

// runNode runs a node until it has left.
func runNode(path string, s streams) error {
	settings, err := conf.Load(path)
	if err != nil {
		return err
	}
	logger := slog.New(slog.NewJSONHandler(s.out, nil))
	var options []daemon.Option
	if settings.Dialect == conf.Platform {
		options = append(options, daemon.WithAdapter(platform.New(settings, logger)))
	}
	d, err := daemon.New(settings, logger, options...)
	if err != nil {
		return &failedError{cause: err}
	}
	if _, err := fmt.Fprintf(s.out, "serving callers on %v\n", d.Settings().Callers); err != nil {
		return &failedError{cause: err}
	}
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-leave
		d.Leave()
	}()
	d.Wait()
	return nil
}
