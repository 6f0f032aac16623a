package fleet

import (
	"errors"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// validList is a list with one live instance.
const validList = `[{"name":"a-1","centre":"east","service":"ledger",` +
	`"nodes":"10.0.0.1:8001","control":"10.0.0.1:8002","state":"live"}]`

func TestParseReadsWhatFormatWrote(t *testing.T) {
	c := qt.New(t)
	want := []Instance{
		{
			Name: "a-1", Centre: "east", Service: "ledger",
			ForwardAddr: netip.MustParseAddrPort("10.0.0.1:8001"), ControlAddr: netip.MustParseAddrPort("10.0.0.1:8002"),
		},
		{
			Name: "b-1", Centre: "west", Service: "ledger", Leaving: true,
			ForwardAddr: netip.MustParseAddrPort("[fd00::1]:8001"), ControlAddr: netip.MustParseAddrPort("[fd00::1]:8002"),
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

func TestParseErrors(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"empty", "", "instance list: cannot be decoded: EOF"},
		{"null", "null", ".* must be an array, not null"},
		{"unknown key", strings.Replace(validList, `"state"`, `"zone":1,"state"`, 1), `.* unknown field "zone"`},
		{"text after the array", validList + "x", ".* has text after the array"},
		{"missing name", strings.Replace(validList, `"name":"a-1",`, "", 1), `instance list, entry 0: name "" is not .*`},
		{"bad centre", strings.Replace(validList, "east", "East", 1), `.* entry 0: centre "East" is not .*`},
		{"port 0", strings.Replace(validList, ":8001", ":0", 1), `.* entry 0: nodes .* is not a unicast IP address .*`},
		{"missing address", strings.Replace(validList, `"control":"10.0.0.1:8002",`, "", 1), `.* entry 0: control .*`},
		{"host name", strings.Replace(validList, "10.0.0.1:8001", "host:8001", 1), `.* cannot be decoded: .*`},
		{"slots below 0", strings.Replace(validList, `"state"`, `"slots":-1,"state"`, 1), `.* entry 0: slots -1 is not from 0 to 65536`},
		{"slots above the limit", strings.Replace(validList, `"state"`, `"slots":65537,"state"`, 1), `.* entry 0: slots 65537 is not .*`},
		{"bad state", strings.Replace(validList, "live", "gone", 1), `.* entry 0: state "gone" is neither .*`},
		{"name twice", validList[:len(validList)-1] + "," + validList[1:], `.* entry 1: duplicate name "a-1"`},
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
