package test

import (
	"fmt"
	"io"
	"net/http"
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

// A request without an id of its caller can be found in the logs by the id in its response,
// at its entry and at its guard. An id that the caller chose is kept.
func TestEveryRequestHasID(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	send := func(id string) http.Header {
		r, err := http.NewRequest(http.MethodGet, "http://"+s.instances[0].callers.String()+"/claims/id", http.NoBody)
		c.Assert(err, qt.IsNil)
		if id != "" {
			r.Header.Set("Bulrushlock-Id", id)
		}
		resp, err := http.DefaultClient.Do(r)
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		return resp.Header
	}
	assigned := send("").Get("Bulrushlock-Id")
	c.Assert(assigned, qt.Matches, "[0-9a-f]{16}")
	c.Check(send("chosen").Get("Bulrushlock-Id"), qt.Equals, "")
	for _, id := range []string{assigned, "chosen"} {
		for _, message := range []string{"placed", "admitted"} {
			waitUntil(c, message+" of "+id+" is logged", func() bool {
				for _, n := range s.instances {
					for line := range strings.SplitSeq(n.node.output.String(), "\n") {
						if strings.Contains(line, `"msg":"`+message+`"`) && strings.Contains(line, `"id":"`+id+`"`) {
							return true
						}
					}
				}
				return false
			})
		}
	}
}
