package cmd

import (
	"bytes"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/io/conf"
	"bulrushlock/io/daemon"
	"bulrushlock/io/diary"
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
	// Before anything else: SIGHUP ends a process that does not take it.
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings, err := conf.Load(path)
	if err != nil {
		return err
	}
	book := diary.New(diary.Options{Out: s.out, Rate: settings.Lines})
	defer book.Close()
	logger := slog.New(slog.NewJSONHandler(book, nil))
	options := []daemon.Option{daemon.WithDiary(book)}
	if settings.Dialect == conf.Platform {
		options = append(options, daemon.WithAdapter(platform.New(settings, logger)))
	}
	d, err := daemon.New(settings, logger, options...)
	if err != nil {
		return &failedError{cause: err}
	}
	logger.Info("serving callers", "address", d.Settings().Callers.String())
	go watch(d, path, signals, logger)
	d.Wait()
	return nil
}

const (
	// signalBuffer is the number of signals that may wait to be taken.
	signalBuffer = 4
	// settingsTime is the time between two looks whether the file of settings has
	// changed without a signal.
	settingsTime = 2 * time.Second
)

// watch makes d leave, or read its settings again, as signals and the file of
// settings tell.
func watch(d *daemon.Daemon, path string, signals <-chan os.Signal, logger *slog.Logger) {
	t := time.NewTicker(settingsTime)
	defer t.Stop()
	file := newSettingsFile(path, logger)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				d.Leave()
				return
			}
			file.reload(d, "signal")
		case <-t.C:
			if file.hasChanged() {
				file.reload(d, "file")
			}
		}
	}
}

// settingsFile is the file of settings of a running node.
type settingsFile struct {
	path   string
	logger *slog.Logger
	text   []byte
}

// newSettingsFile returns the file at path as it is now.
func newSettingsFile(path string, logger *slog.Logger) *settingsFile {
	f := &settingsFile{path: path, logger: logger}
	text, err := os.ReadFile(path)
	if err != nil {
		// The next look finds the text as a change.
		logger.Warn("settings not read", "error", err)
	}
	f.text = text
	return f
}

// hasChanged reports whether the file holds another text than before.
func (f *settingsFile) hasChanged() bool {
	text, err := os.ReadFile(f.path)
	return err == nil && !bytes.Equal(text, f.text)
}

// reload makes d take over the settings of the file. Where they are bad, those
// before stay in force, and the log tells what is wrong with them.
func (f *settingsFile) reload(d *daemon.Daemon, why string) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		f.logger.Error("settings not read, those before stay", "why", why, "error", err)
		return
	}
	f.text = text
	s, err := conf.Parse(f.path, text)
	if err != nil {
		f.logger.Error("settings refused, those before stay", "why", why, "error", err)
		return
	}
	f.logger.Info("settings read", "why", why)
	d.Reload(s)
}
