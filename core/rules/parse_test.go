package rules

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	validService = "service ledger slots=10   # Asha: ten workers\n"
	validRoute   = "route GET /lines/* service=ledger idempotent=yes   # Asha: officers\n"
)

func TestParseValid(t *testing.T) {
	c := qt.New(t)
	s, err := Parse("# the desk\n\n" +
		"service ledger slots=10 conns=250 cold=2 warm=30 queue=7ms shed=yes # Asha: ten: workers # each\r\n" +
		"\troute POST /claims\tservice=ledger idempotent=no time=5s rank=1 body=64KB#Bina:claims\n" +
		"budget probe=0 retry=7.25% # Asha: small fleet\n" +
		"out centre=north # Asha: repairs\n" +
		"out instance=south-1 # Asha: a noisy neighbour")
	c.Assert(err, qt.IsNil)
	c.Assert(s.Services, qt.DeepEquals, []Service{{
		Name: "ledger", Slots: 10, Connections: 250, ColdSlots: 2, WarmupRequests: 30, QueueTimeout: 7 * time.Millisecond, ShedsBeforeRunning: true,
		Origin: Origin{Line: 3, RequestedBy: "Asha", Reason: "ten: workers # each"},
	}})
	c.Assert(s.Routes, qt.DeepEquals, []Route{{
		Method: "POST", Path: "/claims", Service: "ledger", HeaderTimeout: 5 * time.Second, TotalTimeout: 5 * time.Second, Priority: 1, MaxBodyBytes: 64_000, MaxAttempts: 4,
		Origin: Origin{Line: 4, RequestedBy: "Bina", Reason: "claims"},
	}})
	c.Assert(s.Budget, qt.DeepEquals, Budget{
		HealthCheckRate: 2, RetryFraction: 0.0725, HedgeFraction: 0.02, ColdRateFactor: 1, ColdRateSlack: 2, Origin: Origin{Line: 5, RequestedBy: "Asha", Reason: "small fleet"},
	})
	c.Assert(s.IsOutOfService("north-1", "north"), qt.IsTrue)
	c.Assert(s.IsOutOfService("south-1", "south"), qt.IsTrue)
	c.Assert(s.IsOutOfService("south-2", "south"), qt.IsFalse)
	c.Assert(s.IsOutOfService("north", "south-1"), qt.IsFalse)
}

func TestUploadRoute(t *testing.T) {
	c := qt.New(t)
	s, err := Parse(validService + "route POST /files service=ledger idempotent=no upload=yes # Asha: scans\nroute * /new/* idempotent=no refuse=yes # Asha: not yet")
	c.Assert(err, qt.IsNil)
	r, ok := s.Route("POST", "", "/files")
	c.Assert(ok, qt.IsTrue)
	c.Check(r.Upload, qt.IsTrue)
	c.Check(s.HasUploads(), qt.IsTrue)
	c.Check(r.String(), qt.Contains, " upload=yes")
	r, ok = s.Route("POST", "", "/new/1")
	c.Assert(ok, qt.IsTrue)
	c.Check(r.Refused, qt.IsTrue)
	again, err := Parse(s.String())
	c.Assert(err, qt.IsNil)
	c.Check(again.String(), qt.Equals, s.String())

	s, err = Parse(validService + validRoute)
	c.Assert(err, qt.IsNil)
	c.Check(s.HasUploads(), qt.IsFalse)
	c.Check(s.String(), qt.Not(qt.Contains), "upload")

	_, err = Parse(validService + "route POST /files service=ledger idempotent=yes upload=yes # Asha: scans")
	var faults *FaultsError
	c.Assert(errors.As(err, &faults), qt.IsTrue)
	c.Check(faults.Faults[0].Problem, qt.Equals, "upload=yes contradicts idempotent=yes")
}

func TestParseDefaults(t *testing.T) {
	c := qt.New(t)
	s, err := Parse(validService + validRoute)
	c.Assert(err, qt.IsNil)
	v, ok := s.Service("ledger")
	c.Assert(ok, qt.IsTrue)
	v.Origin = Origin{}
	c.Assert(v, qt.DeepEquals, Service{
		Name: "ledger", Slots: 10, Connections: 20, ColdSlots: 1, WarmupRequests: 40, QueueTimeout: 5 * time.Millisecond,
	})
	r, ok := s.Route("GET", "", "/lines/7")
	c.Assert(ok, qt.IsTrue)
	r.Origin = Origin{}
	c.Assert(r, qt.DeepEquals, Route{
		Method: "GET", Path: "/lines/*", Service: "ledger", Idempotent: true, HeaderTimeout: 2 * time.Second, TotalTimeout: 2 * time.Second, Priority: 3, MaxBodyBytes: 1_000_000, MaxAttempts: 4,
	})
	c.Assert(s.Budget, qt.DeepEquals, Budget{ProbeRate: 5, HealthCheckRate: 2, RetryFraction: 0.1, HedgeFraction: 0.02, ColdRateFactor: 1, ColdRateSlack: 2})
	_, ok = s.Service("other")
	c.Assert(ok, qt.IsFalse)
}

func TestParseFaults(t *testing.T) {
	tests := []struct {
		name string
		// text is placed after validService, on line 2, unless alone is set.
		text  string
		alone bool
		want  []string
	}{
		{name: "empty", alone: true, want: []string{"1:1: the text describes no service"}},
		{name: "too long", text: strings.Repeat(" ", MaxTextBytes), want: []string{"1:1: the text is longer than 4194304 bytes"}},
		{name: "no comment", text: "out centre=a", want: []string{"2:13: the rule does not tell who asked"}},
		{name: "no who", text: "out centre=a # : why", want: []string{"2:14: the rule does not tell who asked"}},
		{name: "no why", text: "out centre=a # who:", want: []string{"2:14: the rule does not tell who asked"}},
		{name: "no colon", text: "out centre=a # who why", want: []string{"2:14: the rule does not tell who asked"}},
		{name: "unknown rule", text: "  limit a=1 # a: b", want: []string{`2:3: "limit" is not a kind of rule`}},
		{name: "NUL", text: "out centre=a\x00 # a: b", want: []string{"2:13: the line contains a control character"}},
		{name: "control in comment", text: "# a\x1b[2J", want: []string{"2:4: the line contains a control character"}},
		{name: "bidirectional control", text: "# a\u202e b", want: []string{"2:4: the line contains a control character"}},
		{name: "line separator", text: "# a\u2028out centre=a", want: []string{"2:4: the line contains a control character"}},
		{name: "not UTF-8", text: "out centre=a # a: \xff", want: []string{"2:19: the line contains a control character or is not UTF-8"}},
		{name: "service without name", text: "service # a: b", want: []string{"2:1: the service needs a name of 1 to 32"}},
		{name: "bad name", text: "service Ledger slots=1 # a: b", want: []string{"2:9: the service needs a name of 1 to 32"}},
		{name: "long name", text: "service " + strings.Repeat("a", 33) + " slots=1 # a: b", want: []string{"2:9: the service needs a name of 1 to 32"}},
		{name: "service twice", text: "service ledger slots=1 # a: b", want: []string{"2:9: service ledger is already defined on line 1"}},
		{name: "no slots", text: "service a # a: b", want: []string{"2:9: key slots is missing"}},
		{name: "zero slots", text: "service a slots=0 # a: b", want: []string{`2:11: slots="0" is not a whole number from 1`}},
		{name: "negative", text: "service a slots=-1 # a: b", want: []string{`2:11: slots="-1" is not`}},
		{name: "overflow", text: "service a slots=99999999999999999999 # a: b", want: []string{`2:11: slots="99999999999999999999" is not`}},
		{name: "cold over slots", text: "service a slots=2 cold=3 # a: b", want: []string{"2:19: cold=3 is more than slots=2"}},
		{name: "cold zero", text: "service a slots=2 cold=0 # a: b", want: []string{`2:19: cold="0" is not`}},
		{name: "few connections", text: "service a slots=2 conns=1 # a: b", want: []string{"2:19: conns=1 is less than slots=2"}},
		{name: "many slots", text: "service a slots=65537 # a: b", want: []string{`2:11: slots="65537" is not`}},
		{name: "key twice", text: "service a slots=2 slots=3 # a: b", want: []string{"2:19: key slots is given twice"}},
		{name: "unknown key", text: "service a slots=2 hot=3 # a: b", want: []string{`2:19: "hot=3" is not a key of a service rule`}},
		{name: "no value", text: "service a slots=2 shed # a: b", want: []string{`2:19: "shed" is not a key`}},
		{name: "empty value", text: "service a slots=2 shed= # a: b", want: []string{`2:19: shed="" is not yes or no`}},
		{name: "no unit", text: "service a slots=2 queue=5 # a: b", want: []string{`2:19: queue="5" is not a duration`}},
		{name: "route without path", text: "route GET # a: b", want: []string{"2:1: the route has no method and path"}},
		{name: "lower-case method", text: "route get / service=ledger idempotent=no # a: b", want: []string{`2:7: "get" is not an upper-case method`}},
		{name: "relative path", text: "route GET a service=ledger idempotent=no # a: b", want: []string{`2:11: path "a" does not start with /`}},
		{name: "inner star", text: "route GET /*/a service=ledger idempotent=no # a: b", want: []string{`2:11: path "/*/a" has a * before its end`}},
		{name: "query", text: "route GET /a?b service=ledger idempotent=no # a: b", want: []string{`2:11: path "/a?b" has a query`}},
		{name: "dot segment", text: "route GET /a/../b service=ledger idempotent=no # a: b", want: []string{`2:11: path "/a/../b" has a . or .. segment`}},
		{name: "idempotent missing", text: "route GET / service=ledger # a: b", want: []string{"2:11: key idempotent is missing"}},
		{name: "unknown service", text: "route GET / service=other idempotent=no # a: b", want: []string{"2:13: no rule describes service other"}},
		{name: "no time", text: "route GET / service=ledger idempotent=no time=0s # a: b", want: []string{`2:42: time="0s" is not`}},
		{name: "long time", text: "route GET / service=ledger idempotent=no time=25h # a: b", want: []string{`2:42: time="25h" is not`}},
		{name: "rank", text: "route GET / service=ledger idempotent=no rank=0 # a: b", want: []string{`2:42: rank="0" is not`}},
		{name: "size", text: "route GET / service=ledger idempotent=no body=9999GB # a: b", want: []string{`2:42: body="9999GB" is not`}},
		{name: "route twice", text: validRoute + validRoute, want: []string{"3:7: route GET /lines/* is already defined on line 2"}},
		{name: "retry over 100%", text: "budget retry=100.01% # a: b", want: []string{`2:8: retry="100.01%" is not a percentage`}},
		{name: "three decimals", text: "budget retry=1.234% # a: b", want: []string{`2:8: retry="1.234%" is not`}},
		{name: "decimals without integer part", text: "budget retry=.5% # a: b", want: []string{`2:8: retry=".5%" is not`}},
		{name: "point without decimals", text: "budget retry=7.% # a: b", want: []string{`2:8: retry="7.%" is not`}},
		{name: "percentage without sign", text: "budget hedge=0.1 # a: b", want: []string{`2:8: hedge="0.1" is not`}},
		{name: "budget twice", text: "budget # a: b\nbudget # a: b", want: []string{"3:1: budget is already defined on line 2"}},
		{name: "out of nothing", text: "out # a: b", want: []string{"2:1: the out rule must name exactly one"}},
		{name: "out of both", text: "out centre=a instance=b # a: b", want: []string{"2:1: the out rule must name exactly one"}},
		{name: "out twice", text: "out centre=a # a: b\nout centre=a # a: b", want: []string{"3:1: out centre=a is already defined on line 2"}},
		{name: "all at once", text: "budget look=x hedge=y\nroute GET / service=no idempotent=maybe # a: b", want: []string{
			`2:8: look="x" is not`, `2:15: hedge="y" is not`, "2:22: the rule does not tell",
			"3:13: no rule describes service no", `3:24: idempotent="maybe" is not yes or no`,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			text := validService + tt.text
			if tt.alone {
				text = tt.text
			}
			s, err := Parse(text)
			c.Assert(s, qt.IsNil)
			var faults *FaultsError
			c.Assert(errors.As(err, &faults), qt.IsTrue)
			c.Assert(faults.Faults, qt.HasLen, len(tt.want), qt.Commentf("%v", faults.Faults))
			for i, f := range faults.Faults {
				c.Check(strings.HasPrefix(f.String(), tt.want[i]), qt.IsTrue, qt.Commentf("%v", f))
				c.Check(f.Fix, qt.Not(qt.Equals), "")
			}
		})
	}
}

func TestRoute(t *testing.T) {
	text := "service ledger slots=10 conns=10 cold=10 # a: the bounds are good\n"
	for i, rule := range []string{"GET /a", "GET /a*", "* /a/*", "GET /a/b/*", "* /a/b/*", "POST /a/b/c", "* /d"} {
		text += fmt.Sprintf("route %s service=ledger idempotent=yes rank=%d # a: b\n", rule, i+1)
	}
	tests := []struct {
		name, method, path string
		// want is the priority of the matching route, or 0 if none matches.
		want int
	}{
		{name: "literal before prefix", method: "GET", path: "/a", want: 1},
		{name: "prefix", method: "GET", path: "/ab", want: 2},
		{name: "nothing after prefix", method: "GET", path: "/a/", want: 3},
		{name: "long prefix of any method", method: "GET", path: "/a/c", want: 3},
		{name: "method before any", method: "GET", path: "/a/b/c", want: 4},
		{name: "any method", method: "PUT", path: "/a/b/c", want: 5},
		{name: "literal of another method", method: "POST", path: "/a/b/c", want: 6},
		{name: "literal of any method", method: "PUT", path: "/d", want: 7},
		{name: "longer than literal", method: "PUT", path: "/d/e"},
		{name: "other method", method: "POST", path: "/a"},
		{name: "empty path", method: "GET"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s, err := Parse(text)
			c.Assert(err, qt.IsNil)
			r, ok := s.Route(tt.method, "desk.example", tt.path)
			c.Assert(ok, qt.Equals, tt.want > 0)
			c.Assert(r.Priority, qt.Equals, tt.want)
			allocations := testing.AllocsPerRun(100, func() { s.Route(tt.method, "desk.example", tt.path) })
			c.Assert(allocations, qt.Equals, 0.0)
		})
	}
}

func BenchmarkRoute(b *testing.B) {
	s, err := Parse(validService + validRoute + "route GET / service=ledger idempotent=yes # a: b\nroute GET /lines/old/* service=ledger idempotent=yes # a: b")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Route("GET", "", "/lines/2026/07")
	}
}

// drawSet draws a valid rules text and returns its Set.
func drawSet(t *rapid.T) *Set {
	name := rapid.StringMatching(`[a-z0-9-]{1,8}`)
	comment := rapid.StringMatching(`   # [A-Za-z]{1,8}: ?[A-Za-z:#é ]{0,8}[a-z]`)
	services := rapid.SliceOfNDistinct(name, 1, 4, rapid.ID).Draw(t, "services")
	var b strings.Builder
	for _, v := range services {
		slots := rapid.IntRange(1, 300).Draw(t, "slots")
		fmt.Fprintf(&b, "service %s slots=%d cold=%d queue=%v%s\n", v, slots, rapid.IntRange(1, slots).Draw(t, "cold"),
			time.Duration(rapid.Int64Range(0, int64(maxDuration)).Draw(t, "queue")), comment.Draw(t, "comment"))
	}
	for _, path := range rapid.SliceOfNDistinct(rapid.StringMatching(`/[a-z/]{0,6}\*?`), 0, 6, rapid.ID).Draw(t, "paths") {
		fmt.Fprintf(&b, "route %s %s service=%s idempotent=yes body=%dB%s\n",
			rapid.SampledFrom([]string{"GET", "*"}).Draw(t, "method"), path, rapid.SampledFrom(services).Draw(t, "service"),
			rapid.Int64Range(0, maxBodyBytes).Draw(t, "body"), comment.Draw(t, "comment"))
	}
	digests := rapid.SliceOfNDistinct(rapid.StringMatching(`[0-9a-f]{32}`), 0, 8, rapid.ID).Draw(t, "digests")
	for _, customer := range rapid.SliceOfNDistinct(name, 0, 4, rapid.ID).Draw(t, "customers") {
		held := rapid.IntRange(0, len(digests)).Draw(t, "held")
		rate := rapid.IntRange(1, maxCustomerRate*100).Draw(t, "rate")
		fmt.Fprintf(&b, "customer %s keys=%s rate=%d.%02d burst=%d rank=%d%s\n", customer, formatDigests(digests[:held]), rate/100, rate%100,
			rapid.IntRange(0, maxBurst).Draw(t, "burst"), rapid.IntRange(1, MaxPriority).Draw(t, "rank"), comment.Draw(t, "comment"))
		digests = digests[held:]
	}
	if rapid.Bool().Draw(t, "budget") {
		n := rapid.IntRange(0, basisPoints).Draw(t, "retry")
		fmt.Fprintf(&b, "budget retry=%d.%02d%%%s\n", n/100, n%100, comment.Draw(t, "comment"))
	}
	for _, o := range rapid.SliceOfNDistinct(name, 0, 3, rapid.ID).Draw(t, "out") {
		fmt.Fprintf(&b, "out %s=%s%s\n", rapid.SampledFrom([]string{"centre", "instance"}).Draw(t, "kind"), o, comment.Draw(t, "comment"))
	}
	s, err := Parse(b.String())
	if err != nil {
		t.Fatalf("%v in\n%s", err, b.String())
	}
	return s
}

// withoutLines returns a copy of s with all line numbers set to 0.
func withoutLines(s *Set) *Set {
	bare := &Set{Budget: s.Budget, index: s.index}
	bare.Budget.Origin.Line = 0
	for _, v := range s.Services {
		v.Origin.Line = 0
		bare.Services = append(bare.Services, v)
	}
	for _, r := range s.Routes {
		r.Origin.Line = 0
		bare.Routes = append(bare.Routes, r)
	}
	for _, customer := range s.Customers {
		customer.Origin.Line = 0
		bare.Customers = append(bare.Customers, customer)
	}
	for _, o := range s.CentresOut {
		o.Origin.Line = 0
		bare.CentresOut = append(bare.CentresOut, o)
	}
	for _, o := range s.InstancesOut {
		o.Origin.Line = 0
		bare.InstancesOut = append(bare.InstancesOut, o)
	}
	return bare
}

// roundTripDiff returns the difference between s and the Set parsed from s.String(),
// or an empty string.
func roundTripDiff(s *Set) string {
	again, err := Parse(s.String())
	if err != nil {
		return err.Error()
	}
	got, want := withoutLines(again), withoutLines(s)
	// Compare fields: a comparison by formatting would call String on both sides.
	if !reflect.DeepEqual(got, want) || again.String() != s.String() {
		return fmt.Sprintf("got\n%v\nwant\n%v", got, want)
	}
	return ""
}

func TestPrintedParses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if problem := roundTripDiff(drawSet(t)); problem != "" {
			t.Fatal(problem)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(validService + validRoute)
	f.Add(validService + "budget retry=7.25% # a: b\nout centre=a # a: b\nout instance=b # a: b")
	f.Add(validService + "customer a keys=none # a: b\ncustomer b keys=0123456789abcdef0123456789abcdef rate=0.5 burst=3 rank=1 # a: b")
	f.Add("route GET /* service=\x00")
	f.Add("service a slots=1 # \u00a0a\u3000: #:b")
	f.Fuzz(func(t *testing.T, text string) {
		c := qt.New(t)
		s, err := Parse(text)
		if err == nil {
			c.Assert(roundTripDiff(s), qt.Equals, "")
			return
		}
		var faults *FaultsError
		c.Assert(errors.As(err, &faults), qt.IsTrue)
		for _, fault := range faults.Faults {
			c.Assert(fault.Line >= 1 && fault.Column >= 1, qt.IsTrue)
		}
	})
}
