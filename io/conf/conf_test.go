package conf

import (
	"errors"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// good holds every required key, one per line, in this order.
const good = `instance: ledger-1
centre: patan
service: ledger
callers: 127.0.0.1:8000
nodes: 127.0.0.1:8001
control: 127.0.0.1:8002
operators: 127.0.0.1:8003
server: 127.0.0.1:9000
platform: 127.0.0.1:9100
`

// replace returns good with the line of one key replaced.
func replace(key, line string) string {
	lines := strings.Split(good, "\n")
	for i, l := range lines {
		if strings.HasPrefix(l, key+":") {
			lines[i] = line
		}
	}
	return strings.Join(lines, "\n")
}

func TestLoad(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "node.yaml")
	text := good + "peers:\n  - 10.0.0.2:8002\n  - \"[fd00::2]:8002\"\nisolated: refuse\ndrain: 1500ms\nlag: 30s\nrevoke: 5s\n"
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	s, err := Load(path)
	c.Assert(err, qt.IsNil)
	want := &Settings{
		Instance: "ledger-1", Centre: "patan", Service: "ledger",
		Callers:   netip.MustParseAddrPort("127.0.0.1:8000"),
		Nodes:     netip.MustParseAddrPort("127.0.0.1:8001"),
		Control:   netip.MustParseAddrPort("127.0.0.1:8002"),
		Operators: netip.MustParseAddrPort("127.0.0.1:8003"),
		Server:    netip.MustParseAddrPort("127.0.0.1:9000"),
		Platform:  netip.MustParseAddrPort("127.0.0.1:9100"),
		Peers: []netip.AddrPort{
			netip.MustParseAddrPort("10.0.0.2:8002"), netip.MustParseAddrPort("[fd00::2]:8002"),
		},
		Isolated:     IsolatedReject,
		Dialect:      DialectPlain,
		LogRate:      200,
		DrainTime:    1500 * time.Millisecond,
		MaxStaleness: 30 * time.Second,

		MaxCredentialAge: 5 * time.Second,
		HoldMegabytes:    16,
	}
	c.Assert(reflect.DeepEqual(s, want), qt.IsTrue, qt.Commentf("got %+v", s))
	_, err = Load(filepath.Join(t.TempDir(), "none.yaml"))
	var r *ReadError
	c.Assert(errors.As(err, &r), qt.IsTrue)
	c.Assert(errors.Is(err, fs.ErrNotExist), qt.IsTrue)
}

func TestParseDefaults(t *testing.T) {
	c := qt.New(t)
	s, err := Parse("node.yaml", []byte(replace("callers", "callers: 0.0.0.0:0")))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Isolated, qt.Equals, IsolatedServe)
	c.Assert(s.DrainTime, qt.Equals, 3*time.Second)
	c.Assert(s.MaxStaleness, qt.Equals, 2*time.Minute)
	c.Assert(s.MaxCredentialAge, qt.Equals, time.Duration(0))
	c.Assert(s.Peers, qt.HasLen, 0)
}

func TestParseFaults(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"unknown key", good + "port: 7\n", `n:10:1: key "port": unknown key, .*`},
		{"missing key", replace("centre", ""), `n:1:1: key "centre": is missing`},
		{"no value", replace("centre", "centre:"), `n:2:1: key "centre": has no value`},
		{"number for name", replace("instance", "instance: 7"), `n:1:11: key "instance": must be a name .* type int .*`},
		{"bad name", replace("instance", "instance: Ledger_1"), `n:1:11: key "instance": must be a name .*`},
		{"long name", replace("instance", "instance: "+strings.Repeat("a", 33)), `n:1:11: key "instance": .*`},
		{"address without port", replace("nodes", "nodes: 127.0.0.1"), `n:5:8: key "nodes": must be an IP address .*`},
		{"host name", replace("server", "server: localhost:80"), `n:8:9: key "server": must be an IP address .*`},
		{"port too large", replace("server", "server: 127.0.0.1:65536"), `n:8:9: key "server": must be an IP address .*`},
		{"port 0", replace("platform", "platform: 127.0.0.1:0"), `n:9:11: key "platform": port 0 .*`},
		{"unspecified target", replace("server", "server: 0.0.0.0:80"), `n:8:9: key "server": 0.0.0.0 is not .*`},
		{"unquoted IPv6", replace("server", "server: [::1]:80"), `n:8:.*`},
		{"same listeners", replace("nodes", "nodes: 127.0.0.1:8000"), `n:5:8: key "nodes": .* already the address of callers`},
		{"overlapping listeners", replace("nodes", "nodes: 0.0.0.0:8000"), `n:5:8: key "nodes": .* already the address of callers`},
		{"server is a listener", replace("server", "server: 127.0.0.1:8001"), `n:8:9: key "server": .* already the address of nodes`},
		{"peers not a sequence", good + "peers: 10.0.0.2:1\n", `n:10:8: key "peers": must be a sequence .*`},
		{"bad peer", good + "peers:\n- 10.0.0.2\n", `n:11:3: key "peers": must be an IP address .*`},
		{"peer twice", good + "peers: ['10.0.0.2:1', '10.0.0.2:1']\n", `n:10:23: key "peers": .* is listed twice`},
		{"bad isolated", good + "isolated: maybe\n", `n:10:11: key "isolated": must be "serve" or "refuse".*`},
		{"drain without unit", good + "drain: 3\n", `n:10:8: key "drain": must be a time .*`},
		{"revoke below 0", good + "revoke: -1s\n", `n:10:9: key "revoke": must be from 0s .*`},
		{"lag too short", good + "lag: 10ms\n", `n:10:6: key "lag": must be from 1s .*`},
		{"negative drain", good + "drain: -3s\n", `n:10:8: key "drain": must be from 0s .*`},
		{"key twice", good + "centre: thimi\n", `n:10:1: mapping key "centre" already defined.*`},
		{"not a mapping", "- a\n", `(?s)n:1:\d: settings must be a mapping .*`},
		{"alias", "instance: &a ledger-1\n" + replace("instance", "")[1:], `n:1:11: key "instance": .* type anchor`},
		{"two documents", good + "---\n" + good, `n:11:\d+: a second YAML document .*`},
		{"not YAML", good + "\t{", `n:10:.*`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Parse("n", []byte(tt.text))
			var f *FaultsError
			c.Assert(errors.As(err, &f), qt.IsTrue)
			c.Assert(err, qt.ErrorMatches, tt.want)
		})
	}
}

func TestParsePlatform(t *testing.T) {
	c := qt.New(t)
	text := replace("instance", "") + "ready: 127.0.0.1:8004\ndialect: platform\nask: 3\nlines: 50\nlink: 12.5\nmemory: 184\nfiles: 4100\n" +
		"rules:\n  - \"budget look=20   # team: speed\"\n"
	s, err := Parse("n", []byte(text))
	c.Assert(err, qt.IsNil)
	c.Check(s.Instance, qt.Equals, "127-0-0-1")
	c.Check(s.ReadinessAddress, qt.Equals, netip.MustParseAddrPort("127.0.0.1:8004"))
	c.Check(s.Dialect, qt.Equals, DialectPlatform)
	c.Check(s.ProbeCount, qt.Equals, 3)
	c.Check(s.LogRate, qt.Equals, 50)
	c.Check(s.LinkMegabits, qt.Equals, 12.5)
	c.Check(s.MemoryMegabytes, qt.Equals, 184)
	c.Check(s.Files, qt.Equals, 4100)
	c.Check(s.Rules, qt.DeepEquals, []string{"budget look=20   # team: speed"})
}

func TestParsePlatformFaults(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"ready is another listener", "ready: 127.0.0.1:8000\n", `n:10:8: key "ready": .* already the address of callers`},
		{"unknown dialect", "dialect: other\n", `n:10:10: key "dialect": must be "plain" or "platform".*`},
		{"ask too many", "ask: 17\n", `n:10:6: key "ask": must be a whole number from 0 to 16, not 17`},
		{"link no number", "link: fast\n", `n:10:7: key "link": must be a number from 0 to 1000000, not of type string.*`},
		{"link below 0", "link: -1\n", `n:10:7: key "link": must be a number from 0 to 1000000, not -1`},
		{"cross no time", "cross: much\n", `n:10:8: key "cross": must be link, or a time .*, not "much"`},
		{"cross without unit", "cross: 5\n", `n:10:8: key "cross": must be link, or a time .*, not of type int.*`},
		{"cross too low", "cross: 1us\n", `n:10:8: key "cross": must be from 1ms to 1h0m0s, not 1µs`},
		{"cross too high", "cross: 2h\n", `n:10:8: key "cross": must be from 1ms to 1h0m0s, not 2h0m0s`},
		{"memory too small", "memory: 15\n", `n:10:9: key "memory": must be a whole number from 16 to 1048576, not 15`},
		{"memory with unit", "memory: 184MB\n", `n:10:9: key "memory": must be a whole number .*`},
		{"files too few", "files: 63\n", `n:10:8: key "files": must be a whole number from 64 to 16777216, not 63`},
		{"ask no number", "ask: some\n", `n:10:6: key "ask": must be a whole number .*`},
		{"no lines", "lines: 0\n", `n:10:8: key "lines": must be a whole number from 1 .*`},
		{"hold below 0", "hold: -1\n", `n:10:7: key "hold": must be a whole number from 0 to 65536, not -1`},
		{"hold too large", "hold: 70000\n", `n:10:7: key "hold": must be a whole number from 0 to 65536, not 70000`},
		{"rules no sequence", "rules: out centre=a\n", `n:10:8: key "rules": must be a sequence .*`},
		{"rule without who", "rules:\n- out centre=a\n", `n:11:3: key "rules": rules: 1:.*does not tell who.*`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("n", []byte(good+tt.text))
			qt.New(t).Assert(err, qt.ErrorMatches, tt.want)
		})
	}
}

// The price of a megabyte follows from the time that it takes on both links, unless the links
// are wide or not known.
func TestPriceOfCrossing(t *testing.T) {
	tests := []struct {
		text string
		want time.Duration
	}{
		{"", 0},
		{"link: 10\n", 0},
		{"cross: link\n", 0},
		{"cross: link\nlink: 10\n", 1600 * time.Millisecond},
		{"link: 200\ncross: link\n", 80 * time.Millisecond},
		{"link: 1000\ncross: link\n", 0},
		{"link: 1000\ncross: 2s\n", 2 * time.Second},
	}
	for _, tt := range tests {
		s, err := Parse("n", []byte(good+tt.text))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, s.CrossPrice, qt.Equals, tt.want, qt.Commentf("%q", tt.text))
	}
}

func TestKeysThatNeedRestart(t *testing.T) {
	c := qt.New(t)
	a, err := Parse("n", []byte(good))
	c.Assert(err, qt.IsNil)
	b, err := Parse("n", []byte(replace("server", "server: 127.0.0.1:9001")+"ask: 2\n"))
	c.Assert(err, qt.IsNil)
	c.Check(b.ChangedRestartKeys(a), qt.DeepEquals, []string{"server"})
}

func TestParseAllFaultsAtOnce(t *testing.T) {
	c := qt.New(t)
	_, err := Parse("n", []byte("centre: 7\nport: 1\n"))
	var f *FaultsError
	c.Assert(errors.As(err, &f), qt.IsTrue)
	c.Assert(f.File, qt.Equals, "n")
	c.Assert(f.Faults, qt.HasLen, 9)
	_, err = Parse("n", nil)
	c.Assert(errors.As(err, &f), qt.IsTrue)
	c.Assert(f.Faults, qt.HasLen, 8)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("peers: [a, {b: *c}]\n<<: &d [e\n---\n- ? g\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("n", text)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
	})
}
