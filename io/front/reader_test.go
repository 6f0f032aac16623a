package front

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/core/shaper"
	"bulrushlock/io/egress"
	"bulrushlock/io/loop"
	"bulrushlock/io/proto"
)

// lateReader is an exchanger whose first attempt is rejected before it reads the body, and reads it
// while the second attempt is under way, as a goroutine that forwards a body may.
type lateReader struct {
	mutex sync.Mutex
	first io.Reader
	// taken is the number of bytes that the first attempt read.
	taken int
	// received is the body that the second attempt read to its end.
	received []byte
	err      error
}

// Exchange rejects the first attempt and runs the second.
func (l *lateReader) Exchange(_ context.Context, attempt proto.Attempt) (proto.Response, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.first == nil {
		l.first = attempt.Body
		return proto.Response{Outcome: effect.NotRun, Reason: effect.ReasonOverloaded, Body: http.NoBody}, nil
	}
	l.taken, _ = l.first.Read(make([]byte, 32<<10))
	l.received, l.err = io.ReadAll(attempt.Body)
	return proto.Response{Outcome: effect.Run, Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
}

func TestRejectedAttemptTakesNothingOfBody(t *testing.T) {
	for _, path := range []string{"/lines/1", "/claims"} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s chunked=%v", path, chunked), func(t *testing.T) {
				c := qt.New(t)
				l := loop.New(node.New(node.Config{Instance: "desk-1", Incarnation: 1, Centre: "north", Service: "desk"}, pick.NewLoadAware()),
					loop.Options{Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Execute: func(effect.Effect) {}})
				c.Cleanup(l.Stop)
				exchanger := &lateReader{}
				callers := httptest.NewServer(New(l, Options{Local: exchanger, Remote: exchanger, Scope: tally.NoopScope, Egress: egress.New(shaper.New(0))}))
				c.Cleanup(callers.Close)
				text, err := fleet.Format([]fleet.Instance{
					{Name: "filing-1", Centre: "north", Service: "filing", ForwardAddr: netip.MustParseAddrPort("127.0.0.1:1"), ControlAddr: netip.MustParseAddrPort("127.0.0.1:1")},
					{Name: "filing-2", Centre: "north", Service: "filing", ForwardAddr: netip.MustParseAddrPort("127.0.0.1:2"), ControlAddr: netip.MustParseAddrPort("127.0.0.1:2")},
				})
				c.Assert(err, qt.IsNil)
				l.Process(event.DocumentRead{At: time.Now(), Document: event.Rules, Text: testRules, Revision: 1})
				l.Process(event.DocumentRead{At: time.Now(), Document: event.Fleet, Text: text, Revision: 1})

				sent := bytes.Repeat([]byte("0123456789"), 20_000)
				r, err := http.NewRequest(http.MethodPost, callers.URL+path, io.NopCloser(bytes.NewReader(sent)))
				c.Assert(err, qt.IsNil)
				if !chunked {
					r.ContentLength = int64(len(sent))
				}
				resp, err := callers.Client().Do(r)
				c.Assert(err, qt.IsNil)
				c.Assert(resp.Body.Close(), qt.IsNil)
				exchanger.mutex.Lock()
				defer exchanger.mutex.Unlock()
				c.Check(exchanger.taken, qt.Equals, 0, qt.Commentf("bytes that the rejected attempt took"))
				c.Check(exchanger.err, qt.IsNil)
				c.Check(bytes.Equal(exchanger.received, sent), qt.IsTrue, qt.Commentf("sent %d bytes, received %d", len(sent), len(exchanger.received)))
				c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
			})
		}
	}
}
