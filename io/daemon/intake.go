package daemon

import (
	"net"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"bulrushlock/io/conf"
	"bulrushlock/io/frame"
	"bulrushlock/io/front"
	"bulrushlock/io/intake"
)

const (
	// intakeShare is the part of the memory that is held at most for requests which haven't been
	// accepted, and connectionShare the part that incoming connections take at most.
	intakeShare     = 12
	connectionShare = 3
	// The listeners take these parts of all descriptors, of shares in all. The rest is for files and
	// for outgoing connections, of which a request that is handled takes one.
	shares         = 64
	callersShare   = 24
	nodesShare     = 12
	controlShare   = 4
	operatorsShare = 1
	// minConnections is the least number of connections that a listener takes.
	minConnections = 4
	// defaultMemory is the memory in megabytes, and defaultFiles the number of descriptors, where
	// neither the settings nor the system tell.
	defaultMemory = 512
	defaultFiles  = 1024
)

// memoryOf returns the memory of the instance in bytes.
func memoryOf(s *conf.Settings) int64 {
	if s.MemoryMegabytes > 0 {
		return int64(s.MemoryMegabytes) * megabyte
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return defaultMemory * megabyte
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// filesOf returns the number of descriptors that the node may have open.
func filesOf(s *conf.Settings) int64 {
	if s.Files > 0 {
		return int64(s.Files)
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultFiles
	}
	return int64(min(limit.Cur, unix.RLIM_INFINITY>>1))
}

// boundIntake bounds what clients hold on the listeners of l.
func (d *Daemon) boundIntake(l *listeners, scope tally.Scope) {
	memory := memoryOf(d.settings)
	d.intake = intake.New(intake.Options{
		Memory:      memory / intakeShare,
		Limits:      requestLimits(),
		HeadTimeout: headerTimeout,
		Logger:      d.logger,
		Scope:       scope,
	})
	room := min(filesOf(d.settings), memory/connectionShare/intake.ConnectionCost)
	for _, b := range []struct {
		name     string
		listener *net.Listener
		share    int64
		buffer   int64
	}{
		{"callers", &l.callers, callersShare, front.BufferLimit},
		{"nodes", &l.nodes, nodesShare, 0},
		{"control", &l.control, controlShare, 0},
		{"operators", &l.operators, operatorsShare, 0},
		{"ready", &l.ready, operatorsShare, 0},
	} {
		if *b.listener == nil {
			continue
		}
		*b.listener = d.intake.Listen(*b.listener, intake.ListenerOptions{
			Name:        b.name,
			Connections: int(max(room*b.share/shares, minConnections)),
			Buffer:      b.buffer,
			Raw:         b.listener == &l.control,
		})
	}
}

// requestLimits returns the limits on the requests of clients.
func requestLimits() frame.Limits {
	l := frame.DefaultLimits()
	l.Head = maxHeaderSize
	return l
}
