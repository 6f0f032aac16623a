package pick

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLeastExpectedTime(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh := func(c Candidate) Candidate {
		c.ReportedAt, c.SameCentre, c.Limit = now, true, 7
		return c
	}
	tests := []struct {
		name       string
		candidates []Candidate
		want       int
		none       bool
	}{
		{name: "no recent report", candidates: []Candidate{{Limit: 7}, {Limit: 7, ReportedAt: now.Add(-time.Second)}}, none: true},
		{name: "faster candidate", candidates: []Candidate{fresh(Candidate{SlowPercent: 400}), fresh(Candidate{SlowPercent: 100, InFlight: 5})}, want: 1},
		{name: "less busy candidate", candidates: []Candidate{fresh(Candidate{InFlight: 6}), fresh(Candidate{InFlight: 1})}, want: 1},
		{name: "unhealthy candidate is avoided", candidates: []Candidate{fresh(Candidate{Unhealthy: true}), fresh(Candidate{InFlight: 6})}, want: 1},
		{name: "requests sent since the report count", candidates: []Candidate{fresh(Candidate{Sent: 6}), fresh(Candidate{InFlight: 2})}, want: 1},
		{
			name:       "shorter wait",
			candidates: []Candidate{fresh(Candidate{InFlight: 7, Wait: time.Second, TypicalTime: time.Second}), fresh(Candidate{InFlight: 7})}, want: 1,
		},
		{name: "own data centre first", candidates: []Candidate{{Limit: 7, ReportedAt: now}, fresh(Candidate{})}, want: 1},
		{name: "other data centre before a slow one", candidates: []Candidate{{Limit: 7, ReportedAt: now}, fresh(Candidate{SlowPercent: 400})}, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			for random := range uint64(8) {
				i, ok := NewLeastExpectedTime().Pick(now, random, tt.candidates)
				c.Assert(ok, qt.Equals, !tt.none)
				if ok {
					c.Assert(i, qt.Equals, tt.want)
				}
			}
		})
	}
}
