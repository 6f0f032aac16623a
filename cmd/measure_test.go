package cmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/simul"
)

func TestMeasure(t *testing.T) {
	c := qt.New(t)
	var out, errOut bytes.Buffer
	file := filepath.Join(t.TempDir(), "plot.svg")
	args := []string{"measure", "--scene", "slow", "--size", "bagmati", "--length", "100ms", "--format", "json", "--plot", file}
	c.Assert(Main(args, &out, &errOut), qt.Equals, statusOK, qt.Commentf("%s", errOut.String()))
	var results []simul.Result
	c.Assert(json.Unmarshal(out.Bytes(), &results), qt.IsNil)
	c.Assert(results, qt.HasLen, len(simul.Policies()))
	svg, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(svg), "<svg"), qt.IsTrue)
}

func TestMeasureUnknownScenario(t *testing.T) {
	c := qt.New(t)
	var out, errOut bytes.Buffer
	c.Assert(Main([]string{"measure", "--scene", "nothing"}, &out, &errOut), qt.Equals, statusUsage)
}
