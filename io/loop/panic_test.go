package loop

import (
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
)

// address is the address of an instance that no test connects to.
var address = netip.MustParseAddrPort("127.0.0.1:1")

// faultyPolicy is a policy that panics.
type faultyPolicy struct{ pick.Policy }

// Pick panics.
func (faultyPolicy) Pick(time.Time, uint64, []pick.Candidate) (int, bool) { panic("no candidate") }

// A panic in the reducer must neither end the process, nor hold the lock, nor leave the
// caller of the request without a response.
func TestPanicOfReducerEndsOneRequest(t *testing.T) {
	c := qt.New(t)
	var logs strings.Builder
	scope := tally.NewTestScope("", nil)
	n := node.New(node.Config{Instance: "filing-1", Incarnation: 1, Centre: "north", Service: "filing"}, faultyPolicy{pick.NewLoadAware()})
	l := New(n, Options{Logger: slog.New(slog.NewTextHandler(&logs, nil)), Scope: scope, Execute: func(effect.Effect) {}})
	defer l.Stop()
	list, err := fleet.Format([]fleet.Instance{{Name: "filing-2", Centre: "north", Service: "filing", ForwardAddr: address, ControlAddr: address}})
	c.Assert(err, qt.IsNil)
	rules := testRules + "route GET /lines/* service=filing idempotent=yes   # Test: lookups\n"
	l.Process(event.DocumentRead{At: time.Now(), Document: event.Rules, Text: rules, Revision: 1})
	l.Process(event.DocumentRead{At: time.Now(), Document: event.Fleet, Text: list, Revision: 1})
	for range 2 {
		id, mailbox := l.OpenMailbox()
		l.Process(event.Request{At: time.Now(), ID: id, Method: "GET", Path: "/lines/1"})
		reply, ok := (<-mailbox).(effect.ReplyFromEntry)
		c.Assert(ok, qt.IsTrue)
		c.Check(reply.Outcome, qt.Equals, effect.Unknown)
		l.CloseMailbox(id)
	}
	c.Check(scope.Snapshot().Counters()["panics+"].Value(), qt.Equals, int64(2))
	c.Check(strings.Count(logs.String(), "no candidate") >= 2, qt.IsTrue, qt.Commentf("%s", logs.String()))
	c.Check(strings.Contains(logs.String(), "event.Request"), qt.IsTrue)
}

// Each event that somebody waits for has an effect that ends the wait.
func TestPanicEndsEachWait(t *testing.T) {
	c := qt.New(t)
	const id = 7
	for _, e := range []event.Event{
		event.Request{ID: id}, event.CandidatesProbed{ID: id}, event.AttemptEnded{ID: id}, event.OutcomeReported{ID: id}, event.HedgeDelayPassed{ID: id},
		event.Attempt{Arrival: id}, event.QueueTimedOut{Arrival: id}, event.OutcomeQueried{Query: id}, event.LoadRequested{Query: id},
	} {
		box, ok := mailboxOf(unknownOutcome(e))
		c.Check(ok, qt.IsTrue, qt.Commentf("%T", e))
		c.Check(box, qt.Equals, uint64(id), qt.Commentf("%T", e))
	}
	c.Check(unknownOutcome(event.Tick{}), qt.IsNil)
}

func TestRecoverCountsAndLogs(t *testing.T) {
	c := qt.New(t)
	var logs strings.Builder
	l, _ := newLoop(c, &logs)
	func() {
		defer l.Recover("test")
		panic("broken")
	}()
	c.Check(strings.Contains(logs.String(), "place=test error=broken"), qt.IsTrue, qt.Commentf("%s", logs.String()))
}
