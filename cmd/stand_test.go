package cmd

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRunStandUntilCancelled(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "rules")
	c.Assert(os.WriteFile(path, []byte("text"), 0o600), qt.IsNil)
	p, err := newFakePlatform(platformFiles{rules: path})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	in, out := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- runFake(ctx, netip.MustParseAddrPort("127.0.0.1:0"), p, out) }()
	line, err := bufio.NewReader(in).ReadString('\n')
	c.Assert(err, qt.IsNil)
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	c.Assert(ok, qt.IsTrue)
	resp, err := http.Get("http://" + address + "/rules")
	c.Assert(err, qt.IsNil)
	text, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(string(text), qt.Equals, "text")
	cancel()
	c.Assert(<-ended, qt.IsNil)
}

func TestStandErrors(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want string
	}{
		{"host name", []string{"stand", "server", "--listen", "localhost:80"}, "(?s).*read address.*"},
		{"no such file", []string{"stand", "platform", "--rules", "/no/such/file"}, "(?s).*read rules.*"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var out, errOut bytes.Buffer
			c.Assert(Main(tt.args, &out, &errOut), qt.Equals, statusUsage)
			c.Assert(errOut.String(), qt.Matches, tt.want)
		})
	}
}
