package rules

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCompare(t *testing.T) {
	tests := []struct {
		name   string
		before string
		after  string
		want   []Edit
	}{
		{name: "same"},
		{name: "another comment", before: "out centre=a # a: b", after: "out centre=a # c: d"},
		{name: "default budget", after: "budget probe=5 # a: b"},
		{name: "budget", before: "budget retry=1% # a: b", want: []Edit{
			{Kind: KindBudget, Action: ActionChange, Values: []KeyChange{{Key: "retry", Before: "1%", After: "10%"}}},
		}},
		{name: "out and back", before: "out centre=a # a: b\nout instance=c # a: b", after: "out centre=b # a: b", want: []Edit{
			{Kind: KindCentre, Action: ActionOut, Name: "b"},
			{Kind: KindCentre, Action: ActionInService, Name: "a"},
			{Kind: KindInstance, Action: ActionInService, Name: "c"},
		}},
		{
			name:   "service of a route",
			before: "service a slots=1 conns=9 warm=9 # a: b\nroute GET / service=a idempotent=no # a: b",
			after:  "service a slots=2 conns=9 warm=9 # a: b\nroute GET / service=a idempotent=yes # a: b",
			want: []Edit{
				{Kind: KindService, Action: ActionChange, Name: "a", Values: []KeyChange{{Key: "slots", Before: "1", After: "2"}}, Routes: []string{"GET /"}},
				{Kind: KindRoute, Action: ActionChange, Name: "GET /", Values: []KeyChange{{Key: "idempotent", Before: "no", After: "yes"}}},
			},
		},
		{
			name:   "route moved",
			before: "route GET /a service=ledger idempotent=no # a: b",
			after:  "route GET /b service=ledger idempotent=no # a: b",
			want: []Edit{
				{Kind: KindRoute, Action: ActionAdd, Name: "GET /b", Values: []KeyChange{
					{Key: "service", After: "ledger"}, {Key: "idempotent", After: "no"},
					{Key: "time", After: "2s"}, {Key: "tries", After: "4"}, {Key: "rank", After: "3"}, {Key: "body", After: "1MB"},
				}},
				{Kind: KindRoute, Action: ActionRemove, Name: "GET /a", Values: []KeyChange{
					{Key: "service", Before: "ledger"}, {Key: "idempotent", Before: "no"},
					{Key: "time", Before: "2s"}, {Key: "tries", Before: "4"}, {Key: "rank", Before: "3"}, {Key: "body", Before: "1MB"},
				}},
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			before, err := Parse(validService + tt.before)
			c.Assert(err, qt.IsNil)
			after, err := Parse(validService + tt.after)
			c.Assert(err, qt.IsNil)
			c.Assert(Compare(before, after).Edits, qt.DeepEquals, tt.want)
		})
	}
}
