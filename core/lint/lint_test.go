package lint_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/lint"
	"bulrushlock/core/rules"
)

// goodRules have no warnings. The tests add one line each, the third.
const goodRules = "service ledger slots=10   # Asha: test\nroute GET /lines/* service=ledger idempotent=yes aim=1s time=2s   # Asha: test\n"

func TestCheck(t *testing.T) {
	tests := []struct{ name, line, want string }{
		{"good", "", ""},
		{"method that nodes reject", "route CONNECT /x service=ledger idempotent=no", "3: no request matches CONNECT: nodes reject it (delete the route)"},
		{"target after the timeout", "route GET /x service=ledger idempotent=no aim=3s time=2s", "3: aim=3s is after the timeout time=2s (lower aim or raise time)"},
		{"whole response before its header", "route GET /x service=ledger idempotent=no time=2s whole=1s", "3: whole=1s ends before the timeout time=2s of the header (raise whole or lower time)"},
		{"public without customers", "route GET /x service=ledger idempotent=no public=yes", "3: public=yes has no effect without customers (delete public or add customers)"},
		{"service without routes", "service archive slots=10", "3: no route goes to service archive (add a route to it)"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			text := goodRules
			if tt.line != "" {
				text += tt.line + "   # Asha: test\n"
			}
			s, err := rules.Parse(text)
			c.Assert(err, qt.IsNil)
			var got string
			for _, w := range lint.Check(s) {
				got += w.String()
			}
			c.Check(got, qt.Equals, tt.want)
		})
	}
}

func TestQueueLongerThanAnyTimeout(t *testing.T) {
	c := qt.New(t)
	s, err := rules.Parse("service ledger slots=10 queue=3s   # Asha: test\nroute GET /x split=ledger:1,archive:1 idempotent=yes time=2s   # Asha: test\nservice archive slots=10   # Asha: test\n")
	c.Assert(err, qt.IsNil)
	c.Check(lint.Check(s), qt.DeepEquals, []lint.Warning{{
		Line: 1, Problem: "queue=3s is not below time=2s, the longest of its routes", Fix: "lower queue or raise time of its routes",
	}})
}
