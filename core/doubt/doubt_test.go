package doubt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/doubt"
)

var start = time.Unix(1000, 0)

func TestJudge(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name   string
		waited time.Duration
		c      doubt.Case
		want   doubt.Verdict
	}{
		{"known", 0, doubt.Case{Known: true, RulesAge: time.Hour}, doubt.Serve},
		{"unknown, a version may be on its way", 0, doubt.Case{RulesAge: 100 * ms}, doubt.Hold},
		{"unknown, confirmed since", 50 * ms, doubt.Case{RulesAge: 40 * ms}, doubt.Refuse},
		{"unknown, a version may still be on its way", 450 * ms, doubt.Case{RulesAge: 900 * ms}, doubt.Hold},
		{"unknown, propagation over", 500 * ms, doubt.Case{RulesAge: 900 * ms}, doubt.Refuse},
		{"unknown, rules overdue", 450 * ms, doubt.Case{RulesAge: 1300 * ms}, doubt.Hold},
		{"unknown, nobody confirms", 500 * ms, doubt.Case{RulesAge: 1300 * ms}, doubt.Unconfirmed},
		{"unknown, nobody ever confirmed", 500 * ms, doubt.Case{RulesAge: 1<<63 - 1}, doubt.Unconfirmed},
		{"unknown, no room", 0, doubt.Case{RulesAge: 100 * ms, Full: true}, doubt.Refuse},
		{"unknown, no room, rules overdue", 0, doubt.Case{RulesAge: 1300 * ms, Full: true}, doubt.Unconfirmed},
		{"unknown, impatient caller", 50 * ms, doubt.Case{RulesAge: 1300 * ms, TimeLeft: 200 * ms}, doubt.Unconfirmed},
		{"known, after a pause", 0, doubt.Case{Known: true, Checking: true}, doubt.Hold},
		{"known, after a pause, no room", 0, doubt.Case{Known: true, Checking: true, Full: true}, doubt.Unconfirmed},
		{"known, arrived before the pause", time.Minute, doubt.Case{Known: true, Checking: true}, doubt.Unconfirmed},
		{"known, check after a pause has ended", 500 * ms, doubt.Case{Known: true, RulesAge: time.Minute}, doubt.Serve},
		{"unknown, after a pause", 300 * ms, doubt.Case{Checking: true, RulesAge: 900 * ms}, doubt.Hold},
		{"known, isolated", 0, doubt.Case{Known: true, MaxAge: 5 * time.Second, RulesAge: 6 * time.Second}, doubt.Hold},
		{"known, isolated, waited", 500 * ms, doubt.Case{Known: true, MaxAge: 5 * time.Second, RulesAge: 6 * time.Second}, doubt.Unconfirmed},
		{"known, in contact", 0, doubt.Case{Known: true, MaxAge: 5 * time.Second, RulesAge: time.Second}, doubt.Serve},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.c.ArrivedAt = start
			qt.New(t).Check(tt.c.Judge(start.Add(tt.waited)), qt.Equals, tt.want)
		})
	}
}

// Whatever the rules' age does, a request is held for at most half a second, and an unknown
// credential is neither served nor refused while a version that brings it may have been published
// before its request arrived and more than the usual time ago.
func TestEachRequestIsDecidedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := doubt.Case{
			ArrivedAt: start,
			TimeLeft:  time.Duration(rapid.IntRange(0, 5000).Draw(t, "left")) * time.Millisecond,
			Known:     rapid.Bool().Draw(t, "known"),
			MaxAge:    time.Duration(rapid.SampledFrom([]int{0, 5}).Draw(t, "max")) * time.Second,
		}
		confirmedAt := start.Add(-time.Duration(rapid.IntRange(0, 20_000).Draw(t, "age")) * time.Millisecond)
		const step, limit = 50 * time.Millisecond, 500 * time.Millisecond
		for now := start; ; now = now.Add(step) {
			if now.Sub(start) > limit {
				t.Fatalf("held for %v", now.Sub(start))
			}
			if rapid.IntRange(0, 9).Draw(t, "confirmed") == 0 {
				confirmedAt = now.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(t, "confirmedAge")) * time.Millisecond)
			}
			c.RulesAge = now.Sub(confirmedAt)
			c.Checking = rapid.Bool().Draw(t, "checking")
			c.Full = rapid.Bool().Draw(t, "full")
			switch v := c.Judge(now); {
			case v == doubt.Hold:
				continue
			case v == doubt.Serve && !c.Known:
				t.Fatal("unknown credential is served")
			case v == doubt.Refuse && (c.Known || c.RulesAge > 1200*time.Millisecond):
				t.Fatalf("refused with rules of age %v, known %v", c.RulesAge, c.Known)
			}
			return
		}
	})
}
