package daemon

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// metricUses matches the metric names in the code.
var metricUses = regexp.MustCompile(`(?:Counter|Gauge|Histogram)\("([a-z_]+)"|effect\.IncrementCounter\{Name: "([a-z_]+)"`)

// metricRows matches the metric names in the table of docs/METRICS.md.
var metricRows = regexp.MustCompile("(?m)^\\| `([a-z_]+)[`{]")

// TestMetricsAreDocumented checks that docs/METRICS.md lists exactly the metrics in the
// code.
func TestMetricsAreDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	c.Assert(err, qt.IsNil)
	documented := make(map[string]bool)
	for _, m := range metricRows.FindAllStringSubmatch(string(page), -1) {
		// Event kinds are documented on another page.
		if !strings.HasPrefix(m[1], "event_") {
			documented[m[1]] = true
		}
	}
	used := map[string]bool{"control_received": true, "control_sent": true}
	for _, root := range []string{"../../core", "../../io"} {
		c.Assert(filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, m := range metricUses.FindAllStringSubmatch(string(text), -1) {
				used[m[1]+m[2]] = true
			}
			return err
		}), qt.IsNil)
	}
	delete(used, "event_")
	c.Check(documented, qt.DeepEquals, used)
}
