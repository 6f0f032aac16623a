package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// fakeShutdownTimeout is the time that in-flight requests get to finish after SIGTERM or
// SIGINT.
const fakeShutdownTimeout = 2 * time.Second

// registerStand adds the commands that run fakes of external systems as separate
// processes.
func registerStand(a *kingpin.Application, s streams) {
	c := a.Command("stand", "Run a fake of an external system, for trials and tests.")
	registerStandServer(c, s)
	registerStandRelay(c, s)
	registerStandPlatform(c, s)
}

// addressValue is a flag that holds an IP address and a port.
type addressValue struct {
	address *netip.AddrPort
}

var _ kingpin.Value = addressValue{}

// Set parses the address.
func (v addressValue) Set(text string) error {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("read address: %w", err)
	}
	*v.address = a
	return nil
}

// String returns the address, or an empty string if there is none.
func (v addressValue) String() string {
	if v.address == nil || !v.address.IsValid() {
		return ""
	}
	return v.address.String()
}

// listenFlag adds the flag for the listen address of a fake.
func listenFlag(c *kingpin.CmdClause, address *netip.AddrPort) {
	*address = netip.MustParseAddrPort("127.0.0.1:0")
	f := c.Flag("listen", "IP address and port to listen on; with port 0 the system selects a free port.")
	f.Default(address.String()).SetValue(addressValue{address: address})
}

// runUntilSignal runs a fake until SIGTERM or SIGINT.
func runUntilSignal(address netip.AddrPort, h http.Handler, out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return runFake(ctx, address, h, out)
}

// runFake listens at address, prints the actual address to out, and serves requests
// until ctx ends.
func runFake(ctx context.Context, address netip.AddrPort, h http.Handler, out io.Writer) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return &failedError{cause: fmt.Errorf("listen: %w", err)}
	}
	if _, err := fmt.Fprintf(out, "listening %s\n", l.Addr()); err != nil {
		_ = l.Close()
		return &failedError{cause: fmt.Errorf("print address: %w", err)}
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	select {
	case err := <-ended:
		return &failedError{cause: fmt.Errorf("serve: %w", err)}
	case <-ctx.Done():
	}
	return shutdownFake(s)
}

// shutdownFake shuts a fake down and aborts requests that take longer than
// fakeShutdownTimeout.
func shutdownFake(s *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), fakeShutdownTimeout)
	defer cancel()
	err := s.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = s.Close()
	}
	if err != nil {
		return &failedError{cause: fmt.Errorf("shut down: %w", err)}
	}
	return nil
}
