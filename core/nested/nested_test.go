package nested_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/nested"
)

func ExampleIncoming() {
	limits, _ := nested.Incoming(nested.Limits{}, time.Second)
	outgoing, _ := limits.Outgoing(200 * time.Millisecond)
	fmt.Println(outgoing.NoRetry())
	_, err := outgoing.Outgoing(time.Second)
	fmt.Println(err)
	// Output:
	// 1/800ms/final
	// leave: deadline of the call at depth 1 passed by 200ms
}

// TestNestedCallLimits follows a chain of nested calls, each with a limit of its own,
// until one fails.
func TestNestedCallLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(1 << 62)
		shortest := rapid.SampledFrom([]int64{0, 1 << 39}).Draw(t, "shortest")
		call, final := nested.Limits{}, false
		for level := 1; ; level++ {
			limit := time.Duration(rapid.Int64Range(shortest, 1<<40).Draw(t, "limit"))
			spent := time.Duration(rapid.Int64Range(-1, 1<<33).Draw(t, "spent"))
			left = min(left, limit)
			entered, err := nested.Incoming(call, limit)
			if err == nil {
				left -= max(spent, 0)
				call, err = entered.Outgoing(spent)
			}
			if err != nil {
				deep, late := new(nested.DepthError), new(nested.DeadlineError)
				if errors.As(err, &deep) != (level > nested.MaxDepth) || errors.As(err, &late) != (level <= nested.MaxDepth && left <= 0) {
					t.Fatalf("level %d with %v left: %v", level, left, err)
				}
				return
			}
			if rapid.Bool().Draw(t, "retries") {
				call, final = call.NoRetry(), true
			}
			if want := (nested.Limits{Depth: level, TimeLeft: left, RetryForbidden: final}); call != want {
				t.Fatalf("got %v, want %v", call, want)
			}
			if call, err = nested.Parse(call.String()); err != nil || call.TimeLeft != left || call.RetryForbidden != final {
				t.Fatalf("got %v: %v", call, err)
			}
		}
	})
}

func TestParseFails(t *testing.T) {
	for _, text := range []string{"1", "x/1s", "-1/1s", "20/1s", "1/-1s", "1/x", "1/1s/x", "1/1s/final/final"} {
		_, err := nested.Parse(text)
		if fault := new(nested.ParseError); !errors.As(err, &fault) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestIncomingKeepsExternalDeadline(t *testing.T) {
	c := qt.New(t)
	call, err := nested.Incoming(nested.Limits{TimeLeft: time.Second}, time.Minute)
	c.Assert(err, qt.IsNil)
	c.Check(call, qt.Equals, nested.Limits{Depth: 1, TimeLeft: time.Second})
	call, err = nested.Incoming(nested.Limits{TimeLeft: time.Hour}, time.Minute)
	c.Assert(err, qt.IsNil)
	c.Check(call, qt.Equals, nested.Limits{Depth: 1, TimeLeft: time.Minute})
}
