package reqlog_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/reqlog"
)

// lines holds the log lines of two nodes about one request. Their clocks differ by a second.
const lines = `  18.1 node-1 {"time":"2026-01-01T00:00:10.000Z","level":"INFO","msg":"placed","id":"a1","attempt":"e.1","guard":"g-1"}
{"time":"2026-01-01T00:00:11.002Z","level":"WARN","msg":"refused","id":"a1","attempt":"e.1","reason":"busy"}
{"time":"2026-01-01T00:00:10.004Z","level":"WARN","msg":"broken","id":"a1","attempt":"e.1","verdict":"not-run","reason":"busy"}
{"time":"2026-01-01T00:00:10.005Z","level":"INFO","msg":"placed","id":"a1","attempt":"e.2","guard":"g-2"}
{"time":"2026-01-01T00:00:09.006Z","level":"INFO","msg":"admitted","id":"a1","attempt":"e.2"}
{"time":"2026-01-01T00:00:10.900Z","level":"WARN","msg":"broken","id":"a1","attempt":"e.2","guard":"g-2","verdict":"broken","reason":"","spent_us":890000}
{"time":"2026-01-01T00:00:10.901Z","level":"WARN","msg":"failed","id":"a1","outcome":"unknown","reason":"lost"}
{"time":"2026-01-01T00:00:10.000Z","level":"INFO","msg":"placed","id":"a11","attempt":"e.3"}
{"msg":"a1 is no decision"}
not a1 {
`

func TestOrderAndCause(t *testing.T) {
	for _, reverse := range []bool{false, true} {
		c := qt.New(t)
		all := strings.Split(strings.TrimSpace(lines), "\n")
		log := reqlog.New("a1")
		for i := range all {
			if reverse {
				log.Add(all[len(all)-1-i])
				continue
			}
			log.Add(all[i])
		}
		var kinds []string
		for _, s := range log.Decisions() {
			kinds = append(kinds, s.Kind)
		}
		c.Check(kinds, qt.DeepEquals, []string{"placed", "refused", "broken", "placed", "admitted", "broken", "failed"})
		c.Check(log.Cause(), qt.Equals,
			"unknown: the guard that held it restarted, so it may have run (attempt 2: guard=g-2 verdict=broken spent_us=890000)")
	}
}

func TestCause(t *testing.T) {
	tests := []struct{ name, line, want string }{
		{"none", "", "no log line mentions the request"},
		{"done", `{"msg":"done","id":"a","guard":"g","status":200}`, "response from g with status 200"},
		{"gone", `{"msg":"gone","id":"a"}`, "the caller disconnected"},
		{"cut short", `{"msg":"placed","id":"a"}`, "the log lines end before the request does"},
		{"another reason", `{"msg":"failed","id":"a","outcome":"not-run","reason":"other"}`, "not-run: other"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			log := reqlog.New("a")
			log.Add(tt.line)
			qt.New(t).Check(log.Cause(), qt.Equals, tt.want)
		})
	}
}
