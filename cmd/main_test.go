package cmd

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestMainStatus(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want int
	}{
		{name: "version", args: []string{"version"}, want: statusOK},
		{name: "help", args: []string{"--help"}, want: statusOK},
		{name: "unknown command", args: []string{"nothing"}, want: statusUsage},
		{name: "unknown flag", args: []string{"version", "--nothing"}, want: statusUsage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var out, errOut bytes.Buffer
			c.Assert(Main(tt.args, &out, &errOut), qt.Equals, tt.want)
		})
	}
}
