package cmd

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"

	"bulrushlock/core/rules"
	"bulrushlock/io/conf"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bulrushlock": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScript(t *testing.T) {
	examples, err := filepath.Abs("../examples")
	qt.Assert(t, err, qt.IsNil)
	testscript.Run(t, testscript.Params{
		Dir:  "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"status": scriptStatus},
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples)
			return nil
		},
	})
}

// scriptStatus implements the script command "status N PROGRAM ARG...", which fails
// unless the program exits with status N.
func scriptStatus(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: status N PROGRAM ARG...")
	}
	err := ts.Exec(args[1], args[2:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if strconv.Itoa(got) != args[0] {
		ts.Fatalf("exit status %d, want %s", got, args[0])
	}
}

func TestExampleSizes(t *testing.T) {
	tests := []struct {
		name string
		// servers maps each service to the number of its backend servers.
		servers map[string]int
		slots   int
	}{
		{name: "bagmati", servers: map[string]int{"ledger": 6, "filing": 4, "audit": 3}, slots: 10},
		{name: "cairnstane", servers: map[string]int{"record": 6, "works": 4, "photo": 3}, slots: 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			text, err := os.ReadFile(filepath.Join("../examples", tt.name, "rules.txt"))
			c.Assert(err, qt.IsNil)
			s, err := rules.Parse(string(text))
			c.Assert(err, qt.IsNil)
			c.Assert(s.Services, qt.HasLen, len(tt.servers))
			for _, v := range s.Services {
				nodes, err := filepath.Glob(filepath.Join("../examples", tt.name, "nodes", v.Name+"-*.yaml"))
				c.Assert(err, qt.IsNil)
				c.Check(nodes, qt.HasLen, tt.servers[v.Name])
				for _, path := range nodes {
					settings, err := conf.Load(path)
					c.Assert(err, qt.IsNil)
					c.Check(settings.Service, qt.Equals, v.Name)
					c.Check(settings.Instance+".yaml", qt.Equals, filepath.Base(path))
				}
				c.Check(v.Slots, qt.Equals, tt.slots)
				c.Check(v.Connections, qt.Equals, 250)
			}
		})
	}
}
