package ledger

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/ticket"
)

func ExampleLedger() {
	l := New[string](10, time.Minute)
	t := ticket.Ticket{Sequence: 1}
	now := time.Unix(0, 0)
	fmt.Println(l.Begin(t, now), l.Begin(t, now))
	l.Finish(t, "done", now)
	fmt.Println(l.Find(t))
	fmt.Println(l.Void(ticket.Ticket{Sequence: 2}, now))
	// Output:
	// unseen running
	// done ran true
	// voided
}

// Compares the ledger with a map that evicts nothing.
func TestLedgerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keep = 20 * time.Second
		capacity := rapid.IntRange(0, 8).Draw(t, "capacity")
		l := New[uint64](capacity, keep)
		l.incarnations.limit = rapid.IntRange(1, 3).Draw(t, "lives")
		truth := map[ticket.Ticket]State{}
		now := time.Unix(0, 0)
		draw := func(t *rapid.T) ticket.Ticket {
			incarnation := rapid.Uint64Range(0, 4).Draw(t, "life")
			return ticket.Ticket{Entry: ticket.NodeID{Instance: "a", Incarnation: incarnation}, Sequence: rapid.Uint64Range(1, 12).Draw(t, "sequence")}
		}
		agree := func(t *rapid.T, k ticket.Ticket, got State) {
			if got == truth[k] || got == Lost && truth[k] != Running {
				return
			}
			t.Fatalf("%v: got %v, want %v", k, got, truth[k])
		}
		end := func(call func(ticket.Ticket), s State) func(*rapid.T) {
			return func(t *rapid.T) {
				k := draw(t)
				call(k)
				if truth[k] == Running {
					truth[k] = s
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				k := draw(t)
				s := l.Begin(k, now)
				agree(t, k, s)
				if s == Unseen {
					truth[k] = Running
				}
			},
			"finish": end(func(k ticket.Ticket) { l.Finish(k, k.Sequence, now) }, Ran),
			"refuse": end(func(k ticket.Ticket) { l.MarkNotRun(k, now) }, NotRun),
			"void": func(t *rapid.T) {
				k := draw(t)
				s := l.Void(k, now)
				if s == Voided && truth[k] == Unseen {
					truth[k] = Voided
				}
				agree(t, k, s)
			},
			"drop": func(t *rapid.T) { l.DropResponse(draw(t)) },
			"wait": func(*rapid.T) { now = now.Add(keep / 4) },
			"": func(t *rapid.T) {
				running := 0
				for k, s := range truth {
					response, got, kept := l.Find(k)
					agree(t, k, got)
					if kept && (got != Ran || response != k.Sequence) {
						t.Fatalf("%v: %v with the response %d", k, got, response)
					}
					if s == Running {
						running++
					}
				}
				if l.Len() > capacity+running || len(l.incarnations.floors) > l.incarnations.limit {
					t.Fatalf("%d records and %d floors", l.Len(), len(l.incarnations.floors))
				}
			},
		})
	})
}

// Only an eviction may make attempts lost, and age alone must evict all records except
// those of running attempts.
func TestNothingIsLostWithinBounds(t *testing.T) {
	c := qt.New(t)
	l := New[int](2, time.Minute)
	now := time.Unix(0, 0)
	for i := range uint64(3) {
		k := ticket.Ticket{Sequence: 3 - i}
		c.Assert(l.Begin(k, now), qt.Equals, Unseen)
		l.Finish(k, 0, now)
	}
	c.Assert(l.Begin(ticket.Ticket{Sequence: 2}, now), qt.Equals, Ran)
	c.Assert(l.Begin(ticket.Ticket{Sequence: 3}, now), qt.Equals, Lost)
	c.Assert(l.Begin(ticket.Ticket{Sequence: 4}, now), qt.Equals, Unseen)
	c.Assert(l.Begin(ticket.Ticket{Entry: ticket.NodeID{Incarnation: 1}}, now), qt.Equals, Unseen)
	c.Assert(l.Begin(ticket.Ticket{Sequence: 5}, now.Add(time.Minute+1)), qt.Equals, Unseen)
	c.Assert(l.Len(), qt.Equals, 3)
}
