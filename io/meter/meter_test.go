package meter_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"bulrushlock/io/meter"
)

func TestCountsReceivedAndSentBytes(t *testing.T) {
	c := qt.New(t)
	scope := tally.NewTestScope("", nil)
	m := meter.New(scope, "control")
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := m.Listener(plain)
	defer func() { _ = l.Close() }()
	go func() {
		accepted, err := l.Accept()
		if err == nil {
			_, _ = io.Copy(accepted, io.LimitReader(accepted, 5))
			_ = accepted.Close()
		}
	}()
	dialled, err := m.Dialer(&net.Dialer{})(t.Context(), "tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	_, err = dialled.Write([]byte("whole"))
	c.Assert(err, qt.IsNil)
	echo, err := io.ReadAll(dialled)
	c.Assert(err, qt.IsNil)
	c.Assert(string(echo), qt.Equals, "whole")
	counters := scope.Snapshot().Counters()
	c.Assert(counters["control_sent+"].Value(), qt.Equals, int64(10))
	c.Assert(counters["control_received+"].Value(), qt.Equals, int64(10))
}
