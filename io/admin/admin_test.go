package admin

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/io/loop"
)

const testRules = `
service filing slots=10   # Test: one service
`

// A node without an instance list cannot forward any request.
func TestReadyNeedsRulesAndInstanceList(t *testing.T) {
	c := qt.New(t)
	n := node.New(node.Config{Instance: "filing-1", Incarnation: 1, Centre: "north", Service: "filing"}, pick.NewLoadAware())
	l := loop.New(n, loop.Options{Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Execute: func(effect.Effect) {}})
	defer l.Stop()
	o := New(l, http.NotFoundHandler())
	ready := func() int {
		w := httptest.NewRecorder()
		o.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ready", http.NoBody))
		return w.Code
	}
	c.Check(ready(), qt.Equals, http.StatusServiceUnavailable)
	l.Process(event.DocumentRead{At: time.Now(), Document: event.Rules, Text: testRules, Revision: 1})
	c.Check(ready(), qt.Equals, http.StatusServiceUnavailable)
	l.Process(event.DocumentRead{At: time.Now(), Document: event.Fleet, Text: "[]", Revision: 1})
	c.Check(ready(), qt.Equals, http.StatusOK)
	l.Process(event.ShutdownRequested{At: time.Now()})
	c.Check(ready(), qt.Equals, http.StatusServiceUnavailable)
}
