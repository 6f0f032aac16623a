package cmd

import (
	"bytes"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/io/conf"
	"bulrushlock/io/daemon"
	"bulrushlock/io/declog"
	"bulrushlock/platform"
)

// registerNode adds the command that runs a node.
func registerNode(a *kingpin.Application, s streams) {
	c := a.Command("node", "Run the node beside a backend server. SIGTERM and SIGINT make it drain and exit; "+
		"SIGHUP makes it read its settings again.")
	settings := c.Flag("settings", "The settings file of the node, in YAML.").Required().Envar(platform.SettingsVariable).String()
	c.Action(func(*kingpin.ParseContext) error {
		return runNode(*settings, s)
	})
}

// runNode runs a node until it has drained.
func runNode(path string, s streams) error {
	// This comes first, because SIGHUP ends a process that does not handle it.
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	debug.SetGCPercent(gcPercent)
	settings, err := conf.Load(path)
	if err != nil {
		return err
	}
	limitMemory(settings.MemoryMegabytes)
	decisionLog := declog.New(declog.Options{Out: s.out, Rate: settings.LogRate})
	defer decisionLog.Close()
	logger := slog.New(slog.NewJSONHandler(decisionLog, nil))
	options := []daemon.Option{daemon.WithDecisionLog(decisionLog)}
	if settings.Dialect == conf.DialectPlatform {
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

// limitMemory makes the garbage collector keep the heap within a part of the memory of the instance,
// which is given in megabytes. The variable GOMEMLIMIT, if set, goes first.
func limitMemory(megabytes int) {
	if megabytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(megabytes) << megabyteBits / 100 * heapPercent)
	}
}

const (
	// megabyteBits converts megabytes to bytes by a shift.
	megabyteBits = 20
	// heapPercent is the part of the memory from which on garbage is collected more often.
	heapPercent = 40
	// gcPercent is the growth of the heap in percent that starts a garbage collection. A node
	// keeps little alive, and its instance has little memory beside the backend server.
	gcPercent = 50
	// signalBuffer is the number of signals that can be pending.
	signalBuffer = 4
	// settingsPollInterval is the time between two checks whether the settings file has
	// changed without a signal.
	settingsPollInterval = 2 * time.Second
)

// watch makes d drain or reload its settings on signals, and reload them when the
// settings file changes.
func watch(d *daemon.Daemon, path string, signals <-chan os.Signal, logger *slog.Logger) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	file := newSettingsFile(path, logger)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				d.Drain()
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

// settingsFile is the settings file of a running node.
type settingsFile struct {
	path   string
	logger *slog.Logger
	text   []byte
}

// newSettingsFile returns the file at path with its current text.
func newSettingsFile(path string, logger *slog.Logger) *settingsFile {
	f := &settingsFile{path: path, logger: logger}
	text, err := os.ReadFile(path)
	if err != nil {
		// The next poll reports the text as a change.
		logger.Warn("cannot read settings", "error", err)
	}
	f.text = text
	return f
}

// hasChanged reports whether the text of the file differs from the last one read.
func (f *settingsFile) hasChanged() bool {
	text, err := os.ReadFile(f.path)
	return err == nil && !bytes.Equal(text, f.text)
}

// reload makes d apply the settings in the file. If they cannot be read or are invalid,
// it logs the faults and the previous settings stay in force.
func (f *settingsFile) reload(d *daemon.Daemon, why string) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		f.logger.Error("cannot read settings; keeping the previous ones", "why", why, "error", err)
		return
	}
	f.text = text
	s, err := conf.Parse(f.path, text)
	if err != nil {
		f.logger.Error("invalid settings; keeping the previous ones", "why", why, "error", err)
		return
	}
	f.logger.Info("settings read", "why", why)
	d.Reload(s)
}
