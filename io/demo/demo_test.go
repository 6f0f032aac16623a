package demo

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDemoHoldsItsInvariants(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	r, err := New(&out).Run(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(r.Print(&out), qt.IsNil)
	c.Check(r.Passed(), qt.IsTrue, qt.Commentf("%s", out.String()))
	c.Assert(r.Rows, qt.HasLen, 3)
	for _, row := range r.Rows {
		c.Check(row.Run > 0, qt.IsTrue, qt.Commentf("%+v", row))
		c.Check(row.Sent, qt.Equals, row.Run+row.NotRun+row.Unknown)
	}
}

func TestReportFailsWithABrokenInvariant(t *testing.T) {
	c := qt.New(t)
	r := Report{Invariants: []Invariant{newInvariant("one", ""), newInvariant("two", "it ran 3 requests")}}
	c.Check(r.Passed(), qt.IsFalse)
	var out bytes.Buffer
	c.Assert(r.Print(&out), qt.IsNil)
	c.Check(out.String(), qt.Contains, "broken: it ran 3 requests")
}
