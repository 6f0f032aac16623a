package ticket

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestParseRestoresTicket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name, number := rapid.StringMatching(`[a-z0-9-]{1,32}`), rapid.Uint64()
		want := Ticket{
			Entry:    NodeID{Instance: name.Draw(t, "entry"), Incarnation: number.Draw(t, "entry incarnation")},
			Sequence: number.Draw(t, "sequence"),
			Nonce:    number.Draw(t, "nonce"),
			Guard:    NodeID{Instance: name.Draw(t, "guard"), Incarnation: number.Draw(t, "guard incarnation")},
			Service:  name.Draw(t, "service"),
		}
		if got, err := Parse(want.String()); err != nil || got != want {
			t.Fatalf("%+v, %v, want %+v", got, err, want)
		}
	})
}

func TestParseRejectsMalformedTickets(t *testing.T) {
	for _, text := range []string{
		"", "......", "a.1.2.3.b.4", "a.1.2.3.b.4.c.d", ".1.2.3.b.4.c", "a.1.2.3..4.c", "a.1.2.3.b.4.", "a.x.2.3.b.4.c",
		"a.1.-2.3.b.4.c", "a.1.2.10000000000000000.b.4.c",
	} {
		_, err := Parse(text)
		var malformed *ParseError
		qt.Check(t, errors.As(err, &malformed), qt.IsTrue, qt.Commentf("%q: %v", text, err))
	}
}
