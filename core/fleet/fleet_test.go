package fleet

import (
	"errors"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// good is the text of one live instance.
const good = `[{"name":"a-1","centre":"east","service":"ledger",` +
	`"nodes":"10.0.0.1:8001","control":"10.0.0.1:8002","state":"live"}]`

func TestParseReadsWhatFormatWrote(t *testing.T) {
	c := qt.New(t)
	want := []Instance{
		{
			Name: "a-1", Centre: "east", Service: "ledger",
			Nodes: netip.MustParseAddrPort("10.0.0.1:8001"), Control: netip.MustParseAddrPort("10.0.0.1:8002"),
		},
		{
			Name: "b-1", Centre: "west", Service: "ledger", Leaving: true,
			Nodes: netip.MustParseAddrPort("[fd00::1]:8001"), Control: netip.MustParseAddrPort("[fd00::1]:8002"),
		},
	}
	text, err := Format(want)
	c.Assert(err, qt.IsNil)
	got, err := Parse(text)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, len(want))
	for i := range want {
		c.Assert(got[i], qt.Equals, want[i])
	}
	got, err = Parse("[]")
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, 0)
}

func TestParseFaults(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"empty", "", "instance list: cannot be read: EOF"},
		{"null", "null", ".* must be an array, not null"},
		{"unknown key", strings.Replace(good, `"state"`, `"zone":1,"state"`, 1), `.* unknown field "zone"`},
		{"text after the array", good + "x", ".* has text after the array"},
		{"missing name", strings.Replace(good, `"name":"a-1",`, "", 1), `instance list, entry 0: name "" is not .*`},
		{"bad centre", strings.Replace(good, "east", "East", 1), `.* entry 0: centre "East" is not .*`},
		{"port 0", strings.Replace(good, ":8001", ":0", 1), `.* entry 0: nodes .* is not an IP number .*`},
		{"missing address", strings.Replace(good, `"control":"10.0.0.1:8002",`, "", 1), `.* entry 0: control .*`},
		{"host name", strings.Replace(good, "10.0.0.1:8001", "host:8001", 1), `.* cannot be read: .*`},
		{"bad state", strings.Replace(good, "live", "gone", 1), `.* entry 0: state "gone" is neither .*`},
		{"name twice", good[:len(good)-1] + "," + good[1:], `.* entry 1: name "a-1" stands twice`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Parse(tt.text)
			var p *ParseError
			c.Assert(errors.As(err, &p), qt.IsTrue)
			c.Assert(err, qt.ErrorMatches, tt.want)
		})
	}
}
