package loop

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
)

const testRules = `
service filing slots=1 cold=1 warm=1 queue=0s   # Test: one service
`

// newLoop returns a loop whose node has rules, and a function that returns the effects
// that were passed to Options.Execute so far.
func newLoop(c *qt.C, logs *strings.Builder) (*Loop, func() []effect.Effect) {
	var mutex sync.Mutex
	var carried []effect.Effect
	n := node.New(node.Config{Instance: "filing-1", Incarnation: 1, Centre: "north", Service: "filing"}, pick.NewLoadAware())
	l := New(n, Options{
		Instance: "filing-1",
		Centre:   "north",
		Logger:   slog.New(slog.NewTextHandler(logs, nil)),
		Scope:    tally.NoopScope,
		Execute: func(e effect.Effect) {
			mutex.Lock()
			defer mutex.Unlock()
			carried = append(carried, e)
		},
	})
	c.Cleanup(l.Stop)
	l.Process(event.DocumentRead{At: time.Now(), Document: event.Rules, Text: testRules, Revision: 1})
	return l, func() []effect.Effect {
		mutex.Lock()
		defer mutex.Unlock()
		return append([]effect.Effect(nil), carried...)
	}
}

func TestEffectsReachOnlyTheirMailbox(t *testing.T) {
	c := qt.New(t)
	l, _ := newLoop(c, &strings.Builder{})
	one, first := l.OpenMailbox()
	two, second := l.OpenMailbox()
	c.Check(one == two, qt.IsFalse)
	l.Process(event.Request{At: time.Now(), ID: one, Method: "GET", Path: "/none"})
	c.Check((<-first).(effect.ReplyFromEntry).ID, qt.Equals, one)
	c.Check(len(second), qt.Equals, 0)
	c.Check(l.OpenMailboxes(), qt.Equals, 2)
	l.CloseMailbox(one)
	l.CloseMailbox(two)
	c.Check(l.OpenMailboxes(), qt.Equals, 0)
	l.Process(event.Request{At: time.Now(), ID: one, Method: "GET", Path: "/none"})
	c.Check(len(first), qt.Equals, 0)
}

func TestFullMailboxDoesNotBlock(t *testing.T) {
	c := qt.New(t)
	l, _ := newLoop(c, &strings.Builder{})
	id, box := l.OpenMailbox()
	for range 2 * mailboxSize {
		l.Process(event.Request{At: time.Now(), ID: id, Method: "GET", Path: "/none"})
	}
	c.Check(len(box), qt.Equals, mailboxSize)
}

func TestLoopTicksUntilItIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := node.New(node.Config{Instance: "filing-1", Incarnation: 1, Centre: "north", Service: "filing"}, pick.NewLoadAware())
		executed := 0
		stopped := New(n, Options{Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Execute: func(effect.Effect) { executed++ }})
		time.Sleep(5 * time.Second)
		stopped.Stop()
		before := executed
		c.Check(before > 0, qt.IsTrue)
		time.Sleep(5 * time.Second)
		c.Check(executed, qt.Equals, before)

		l, carried := newLoop(c, &strings.Builder{})
		time.Sleep(5 * time.Second)
		healthChecks := 0
		for _, e := range carried() {
			if _, ok := e.(effect.CheckHealth); ok {
				healthChecks++
			}
		}
		// Unless the rules set another budget, two health checks a second are allowed.
		c.Check(healthChecks >= 8 && healthChecks <= 12, qt.IsTrue, qt.Commentf("%d health checks", healthChecks))
		l.View(func(n *node.Node) { c.Check(n.Status(time.Now()).Versions.Rules.Revision, qt.Equals, uint64(1)) })
	})
}

func TestEventLogIsOrderedByStamp(t *testing.T) {
	c := qt.New(t)
	var logs strings.Builder
	l, _ := newLoop(c, &logs)
	l.MergeStamp("nonsense")
	l.MergeStamp(l.Stamp())
	l.Process(event.DocumentRead{At: time.Now(), Document: event.Rules, Text: "nonsense", Revision: 2})
	l.Process(event.ShutdownRequested{At: time.Now()})
	records, next, dropped := l.Events(0, 100)
	var kinds []string
	for i, r := range records {
		kinds = append(kinds, r.Kind)
		c.Check(r.Instance+"/"+r.Centre, qt.Equals, "filing-1/north")
		if i > 0 {
			c.Check(records[i-1].Stamp < r.Stamp, qt.IsTrue, qt.Commentf("%s then %s", records[i-1].Stamp, r.Stamp))
		}
	}
	c.Check(kinds, qt.DeepEquals, []string{"start", "rules", "invalid", "leave"})
	c.Check(dropped, qt.Equals, uint64(0))
	rest, _, _ := l.Events(next, 100)
	c.Check(len(rest), qt.Equals, 0)
	for _, k := range kinds {
		c.Check(strings.Contains(logs.String(), fmt.Sprintf("msg=%s", k)), qt.IsTrue)
	}
}
