package pick

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestFresh(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh := func(c Candidate) Candidate {
		c.Reported, c.Near, c.Limit = now, true, 7
		return c
	}
	tests := []struct {
		name       string
		candidates []Candidate
		want       int
		none       bool
	}{
		{name: "nobody was asked", candidates: []Candidate{{Limit: 7}, {Limit: 7, Reported: now.Add(-time.Second)}}, none: true},
		{name: "the fast one", candidates: []Candidate{fresh(Candidate{Slow: 400}), fresh(Candidate{Slow: 100, InFlight: 5})}, want: 1},
		{name: "the idle one", candidates: []Candidate{fresh(Candidate{InFlight: 6}), fresh(Candidate{InFlight: 1})}, want: 1},
		{name: "not the one that calls itself unfit", candidates: []Candidate{fresh(Candidate{Ill: true}), fresh(Candidate{InFlight: 6})}, want: 1},
		{name: "what was sent since counts", candidates: []Candidate{fresh(Candidate{Sent: 6}), fresh(Candidate{InFlight: 2})}, want: 1},
		{
			name:       "the shorter wait",
			candidates: []Candidate{fresh(Candidate{InFlight: 7, Wait: time.Second, Usual: time.Second}), fresh(Candidate{InFlight: 7})}, want: 1,
		},
		{name: "near goes before far", candidates: []Candidate{{Limit: 7, Reported: now}, fresh(Candidate{})}, want: 1},
		{name: "far goes before near and slow", candidates: []Candidate{{Limit: 7, Reported: now}, fresh(Candidate{Slow: 400})}, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			for random := range uint64(8) {
				i, ok := NewFresh().Pick(now, random, tt.candidates)
				c.Assert(ok, qt.Equals, !tt.none)
				if ok {
					c.Assert(i, qt.Equals, tt.want)
				}
			}
		})
	}
}
