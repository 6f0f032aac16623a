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

// uses finds the names of metrics in the code.
var uses = regexp.MustCompile(`(?:Counter|Gauge|Histogram)\("([a-z_]+)"|effect\.Count\{Name: "([a-z_]+)"`)

// rows finds the names of metrics in the table of the page.
var rows = regexp.MustCompile("(?m)^\\| `([a-z_]+)[`{]")

// TestPageNamesEveryMetric compares docs/METRICS.md with the code.
func TestPageNamesEveryMetric(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	c.Assert(err, qt.IsNil)
	told := make(map[string]bool)
	for _, m := range rows.FindAllStringSubmatch(string(page), -1) {
		// Kinds of events are named by another page.
		if !strings.HasPrefix(m[1], "event_") {
			told[m[1]] = true
		}
	}
	used := map[string]bool{"control_received": true, "control_sent": true}
	for _, root := range []string{"../../core", "../../io"} {
		c.Assert(filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, m := range uses.FindAllStringSubmatch(string(text), -1) {
				used[m[1]+m[2]] = true
			}
			return err
		}), qt.IsNil)
	}
	delete(used, "event_")
	c.Check(told, qt.DeepEquals, used)
}
