// Package lint finds valid rules that cannot do what they say: routes that no request matches,
// and limits that contradict each other.
//
// It answers a change that every node accepts and that still leaves callers without service,
// such as a latency target after the timeout of its own route.
//
// # Usage
//
//	for _, w := range lint.Check(set) {
//		fmt.Println(w)
//	}
package lint

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"bulrushlock/core/rules"
)

// Warning is a rule that is valid and has no or not its full effect.
type Warning struct {
	// Line is the line number of the rule, starting at 1.
	Line int
	// Problem describes what the rule cannot do.
	Problem string
	// Fix describes how to change it.
	Fix string
}

// String returns the warning as line: problem (fix).
func (w Warning) String() string { return fmt.Sprintf("%d: %s (%s)", w.Line, w.Problem, w.Fix) }

// Check returns the warnings about s, ordered by line.
func Check(s *rules.Set) []Warning {
	var found []Warning
	for i := range s.Routes {
		found = append(found, checkRoute(s, &s.Routes[i])...)
	}
	for i := range s.Services {
		found = append(found, checkService(s, &s.Services[i])...)
	}
	slices.SortStableFunc(found, func(a, b Warning) int { return cmp.Compare(a.Line, b.Line) })
	return found
}

// checkRoute returns the warnings about a route.
func checkRoute(s *rules.Set, r *rules.Route) []Warning {
	var found []Warning
	warn := func(fix, problem string, values ...any) {
		found = append(found, Warning{Line: r.Origin.Line, Problem: fmt.Sprintf(problem, values...), Fix: fix})
	}
	if r.Method == http.MethodConnect {
		warn("delete the route", "no request matches %s: nodes reject it", r.Method)
	}
	if r.LatencyTarget > r.HeaderTimeout {
		warn("lower aim or raise time", "aim=%v is after the timeout time=%v", r.LatencyTarget, r.HeaderTimeout)
	}
	if r.TotalTimeout > 0 && r.TotalTimeout < r.HeaderTimeout {
		warn("raise whole or lower time", "whole=%v ends before the timeout time=%v of the header", r.TotalTimeout, r.HeaderTimeout)
	}
	if r.Public && !s.HasCustomers() {
		warn("delete public or add customers", "public=yes has no effect without customers")
	}
	return found
}

// checkService returns the warnings about a service.
func checkService(s *rules.Set, v *rules.Service) []Warning {
	var found []Warning
	warn := func(fix, problem string, values ...any) {
		found = append(found, Warning{Line: v.Origin.Line, Problem: fmt.Sprintf(problem, values...), Fix: fix})
	}
	longest, isUsed := time.Duration(0), false
	for i := range s.Routes {
		if r := &s.Routes[i]; goesTo(r, v.Name) {
			isUsed, longest = true, max(longest, r.HeaderTimeout)
		}
	}
	switch {
	case !isUsed:
		warn("add a route to it", "no route goes to service %s", v.Name)
	case v.QueueTimeout >= longest:
		warn("lower queue or raise time of its routes", "queue=%v is not below time=%v, the longest of its routes", v.QueueTimeout, longest)
	}
	return found
}

// goesTo reports whether r routes requests to a service.
func goesTo(r *rules.Route, service string) bool {
	return r.Service == service || slices.ContainsFunc(r.Split, func(p rules.WeightedService) bool { return p.Service == service })
}
