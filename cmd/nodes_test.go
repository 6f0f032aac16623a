package cmd

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newFakeNode starts a server that stands in for the operators' listener of a node.
// responses maps request URIs to response bodies. It returns the address of the server.
func newFakeNode(t *testing.T, responses map[string]string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, ok := responses[r.RequestURI]
		if !ok {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte(text))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// ledgerStatus and auditStatus are the status responses of two nodes, beside a backend
// server of the service ledger and one of the service audit.
const (
	ledgerStatus = `{"instance":"ledger-1","life":"7","centre":"patan","service":"ledger","rules":3,"fleet":1,"age":1500,` +
		`"trust":"fresh","watches":true,"busy":4,"queued":1,"limit":10,"cold":false,"leaving":false,"requests":5}`
	auditStatus = `{"instance":"audit-1","life":"8","centre":"kirtipur","service":"audit","rules":0,"fleet":0,` +
		`"age":9223372036854,"trust":"alone","watches":true,"closed":"rules","busy":0,"queued":0,"limit":0,` +
		`"cold":true,"leaving":true,"requests":0}`
)

func TestStatus(t *testing.T) {
	c := qt.New(t)
	ledger := newFakeNode(t, map[string]string{"/status": ledgerStatus})
	audit := newFakeNode(t, map[string]string{"/status": auditStatus})
	notFound := newFakeNode(t, nil)
	var out, errOut bytes.Buffer
	got := Main([]string{"status", "--nodes", ledger + "," + notFound, "--nodes", audit}, &out, &errOut)
	c.Check(got, qt.Equals, statusFailed)
	c.Check(out.String(), qt.Equals, strings.ReplaceAll(`
instance  centre    service  rules  age    trust  busy  queued  limit  cold  closed  leaving  requests
ledger-1  patan     ledger   3      1.5s   fresh  4     1       10     no    -       no       5
audit-1   kirtipur  audit    0      never  alone  0     0       0      yes   rules   yes      0
not reached: BAD: status 404: 404 page not found
`[1:], "BAD", notFound))
	c.Check(errOut.String(), qt.Equals, "bulrushlock: status: 1 node was not reached\n")
	out.Reset()
	c.Check(Main([]string{"status", "--nodes", ledger, "--format", "json"}, &out, &errOut), qt.Equals, statusOK)
	c.Check(out.String(), qt.Contains, `"instance": "ledger-1"`)
	c.Check(out.String(), qt.Contains, `"unreached": []`)
}

func TestTimeline(t *testing.T) {
	record := func(stamp, instance, kind, text string) string {
		return `{"stamp":"` + stamp + `","at":"2026-01-02T03:04:0` + stamp[:1] + `Z","instance":"` + instance +
			`","centre":"patan","kind":"` + kind + `","text":"` + text + `"}`
	}
	a := newFakeNode(t, map[string]string{
		"/timeline?since=0": `{"life":"1","next":9,"dropped":7,"records":[` +
			record("1.0", "ledger-1", "rules", "revision 2") + "," + record("3.0", "ledger-1", "back", "") + "]}",
		"/timeline?since=9": `{"life":"1","next":9}`,
	})
	b := newFakeNode(t, map[string]string{
		"/timeline?since=0": `{"life":"1","next":1,"records":[` + record("2.0", "ledger-2", "out", "out") + "]}",
		"/timeline?since=1": `{"life":"1","next":1}`,
	})
	tests := []struct {
		name   string
		args   []string
		want   string
		errOut string
		status int
	}{
		{
			name: "merged order",
			args: []string{"--nodes", a, "--nodes", b},
			want: "" +
				"2026-01-02T03:04:01.000000Z  ledger-1              patan       rules     revision 2\n" +
				"2026-01-02T03:04:02.000000Z  ledger-2              patan       out       out\n" +
				"2026-01-02T03:04:03.000000Z  ledger-1              patan       back\n",
			errOut: "dropped: " + a + " has lost 7 older events\n",
		},
		{
			name: "since a time",
			args: []string{"--nodes", b, "--since", "2026-01-02T03:04:03Z"},
		},
		{
			name: "filtered by kind and centre",
			args: []string{"--nodes", a + "," + b, "--kind", "out", "--centre", "patan"},
			want: "2026-01-02T03:04:02.000000Z  ledger-2              patan       out       out\n",

			errOut: "dropped: " + a + " has lost 7 older events\n",
		},
		{
			name:   "not reached",
			args:   []string{"--nodes", "127.0.0.1:1"},
			errOut: "(?s)not reached: 127.0.0.1:1: .*1 node was not reached\n",
			status: statusFailed,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var out, errOut bytes.Buffer
			c.Check(Main(append([]string{"timeline"}, tt.args...), &out, &errOut), qt.Equals, tt.status)
			c.Check(out.String(), qt.Equals, tt.want)
			c.Check(errOut.String(), qt.Matches, tt.errOut)
		})
	}
}

func TestExplainNode(t *testing.T) {
	c := qt.New(t)
	rules := "service ledger slots=10  # Asha: ten workers\n" +
		"route GET /lines/* service=ledger idempotent=yes  # Bina: officers look up lines\n"
	node := newFakeNode(t, map[string]string{
		"/rules": rules,
		"/peers?service=ledger": `{"instance":"ledger-1","service":"ledger","peers":[` +
			`{"instance":"ledger-1","centre":"patan","state":"ready","busy":2,"limit":10,"age":20,"latency":5100},` +
			`{"instance":"ledger-2","centre":"patan","state":"out","cold":true,"age":-1,"failures":1}]}`,
	})
	want := `
GET /lines/7
line 2  route GET /lines/* service=ledger idempotent=yes time=2s tries=4 rank=3 body=1MB
        asked for by Bina: officers look up lines
line 1  service ledger slots=10 conns=20 cold=1 warm=40 queue=5ms shed=no
        asked for by Asha: ten workers
backend servers as ledger-1 knows them
instance  centre  state  busy  queued  limit  cold  outstanding  failures  report    latency
ledger-1  patan   ready  2     0       10     no    0            0         20ms old  5.1ms
ledger-2  patan   out    0     0       0      yes   0            1         none      0s
`[1:]
	file := filepath.Join(t.TempDir(), "rules.txt")
	c.Assert(os.WriteFile(file, []byte(rules), 0o600), qt.IsNil)
	for _, args := range [][]string{{"--node", node}, {"--rules", file, "--node", node}} {
		var out, errOut bytes.Buffer
		c.Check(Main(append([]string{"explain", "GET", "/lines/7"}, args...), &out, &errOut), qt.Equals, statusOK)
		c.Check(out.String(), qt.Equals, want)
		c.Check(errOut.String(), qt.Equals, "")
	}
}

func TestTimelineFollow(t *testing.T) {
	c := qt.New(t)
	node := newFakeNode(t, map[string]string{
		"/timeline?since=0": `{"life":"1","next":1,"records":[{"stamp":"1.0","at":"2026-01-02T03:04:01Z","instance":"ledger-1","kind":"out"}]}`,
		"/timeline?since=1": `{"life":"1","next":2,"records":[{"stamp":"2.0","at":"2026-01-02T03:04:02Z","instance":"ledger-1","kind":"back"}]}`,
		"/timeline?since=2": `{"life":"1","next":2}`,
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(3*followInterval, cancel)
	var out, errOut bytes.Buffer
	f := timelineFlags{nodes: []netip.AddrPort{netip.MustParseAddrPort(node)}, follow: true, format: formatText}
	c.Assert(runTimeline(ctx, f, streams{out: &out, err: &errOut}), qt.IsNil)
	c.Check(out.String(), qt.Matches, "(?s).*ledger-1 .*out\n.*ledger-1 .*back\n")
	c.Check(errOut.String(), qt.Equals, "")
}
