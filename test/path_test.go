package test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/fake"
)

func TestEveryEntryServesEveryKindOfRequest(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	for i := range s.instances {
		id := fmt.Sprintf("lookup-%d", i)
		a := s.send(i, lookup(id))
		c.Assert(a.err, qt.IsNil)
		c.Assert(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
		c.Assert(strings.Contains(a.body, `"id":"`+id+`"`), qt.IsTrue)

		id = fmt.Sprintf("claim-%d", i)
		a = s.send(i, claim(id, ""))
		c.Assert(a.err, qt.IsNil)
		c.Assert(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
		c.Assert(a.ticket, qt.Not(qt.Equals), "")
		c.Assert(s.runsOf(id), qt.Equals, 1)

		id = fmt.Sprintf("export-%d", i)
		a = s.send(i, export(id, "size=3000000"))
		c.Assert(a.err, qt.IsNil)
		c.Assert(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
		want, err := io.ReadAll(fake.Export(id, 3000000))
		c.Assert(err, qt.IsNil)
		c.Assert(a.body == string(want), qt.IsTrue, qt.Commentf("%d bytes", len(a.body)))
	}
}
