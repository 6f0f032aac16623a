package declog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
)

// output collects what is written to it.
type output struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write appends b to the buffer.
func (o *output) Write(b []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.buffer.Write(b)
}

// lines returns the lines written so far.
func (o *output) lines() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return strings.Split(strings.TrimSpace(o.buffer.String()), "\n")
}

// newDecision returns a decision about the request with the given name.
func newDecision(name string, failed bool) effect.Decision {
	return effect.Decision{
		Kind: effect.DecisionSelected, Name: name, Entry: "desk-1", Attempt: 26, Failed: failed,
		Facts:          []effect.Fact{{Key: "guard", Text: "ledger-1"}, {Key: "left_us", Value: -7}},
		CandidateLoads: []effect.CandidateLoad{{Guard: "ledger-1", Busy: 1, Limit: 7, Slow: 400, Age: time.Millisecond}, {Guard: "ledger-2"}},
	}
}

func TestEncodeDecision(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"a1", "", "quote \" and \\ and \n", "ütf", "\xff"} {
		line := encodeDecision(time.Unix(0, 0), newDecision(name, true))
		var got struct {
			Msg, Level, ID, Attempt, Guard string
			Left                           int64 `json:"left_us"`
			Seen                           []struct{ Guard string }
		}
		c.Assert(json.Unmarshal(line, &got), qt.IsNil, qt.Commentf("%s", line))
		c.Check(got.Msg, qt.Equals, "placed")
		c.Check(got.Level, qt.Equals, "WARN")
		c.Check(got.Attempt, qt.Equals, "desk-1.1a")
		c.Check(got.Left, qt.Equals, int64(-7))
		c.Check(got.Seen, qt.HasLen, 2)
		if name != "\xff" {
			c.Check(got.ID, qt.Equals, name)
		}
	}
}

// An output that blocks delays no caller, and the lines that do not fit are counted.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	c := qt.New(t)
	r, w := io.Pipe()
	d := New(Options{Out: w, Rate: 1 << 20})
	now := time.Unix(1000, 0)
	for i := range 4 * queueSize {
		d.LogDecision(now, newDecision(fmt.Sprint(i), false))
	}
	lost, _ := d.Dropped()
	c.Check(lost > 0, qt.IsTrue)
	_ = r.Close()
	d.Close()
}

// At ten times the rate, every node omits the lines of the same requests, and no line of a
// failure is omitted.
func TestRateLimitsLines(t *testing.T) {
	c := qt.New(t)
	const rate, seconds = 100, 5
	linesByID := make([]map[string]int, 2)
	for n := range linesByID {
		linesByID[n] = make(map[string]int)
		var out output
		d := New(Options{Out: &out, Rate: rate})
		now := time.Unix(1000, 0)
		for i := range 10 * rate * seconds {
			now = now.Add(time.Second / (10 * rate))
			d.LogDecision(now, newDecision(fmt.Sprintf("r%d", i/5), i%50 == 49))
			if i%64 == 0 {
				time.Sleep(100 * time.Microsecond)
			}
		}
		d.Close()
		failures := 0
		for _, line := range out.lines() {
			if strings.Contains(line, "WARN") {
				failures++
				continue
			}
			var got struct{ ID string }
			c.Assert(json.Unmarshal([]byte(line), &got), qt.IsNil, qt.Commentf("%s", line))
			linesByID[n][got.ID]++
		}
		c.Check(failures, qt.Equals, 10*rate*seconds/50)
		total := 0
		for _, count := range linesByID[n] {
			total += count
		}
		// The sampling adapts only after the first second.
		c.Check(total <= 10*rate+2*rate*(seconds-1), qt.IsTrue, qt.Commentf("%d", total))
		c.Check(total > 0, qt.IsTrue)
	}
	c.Check(linesByID[0], qt.DeepEquals, linesByID[1])
}
