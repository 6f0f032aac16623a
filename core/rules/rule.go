package rules

import (
	"fmt"
	"strings"
	"time"
)

// Defaults of the keys that a rule may leave out.
const (
	defaultCold  = 1
	defaultQueue = 5 * time.Millisecond
	defaultTime  = 2 * time.Second
	defaultRank  = 3
	defaultTries = 4
	defaultBody  = megabyte
	defaultProbe = 5    // a second
	defaultLook  = 2    // a second
	defaultRetry = 0.1  // of the requests
	defaultHedge = 0.02 // of the requests
	defaultOver  = 1    // times the rate of a cold backend server
	defaultSlack = 2    // requests
)

// Limits of a service that follow from its slots where its rule does not give them.
const (
	connectionsPerSlot  = 2
	warmRequestsPerSlot = 4
)

// mendRoute tells how a route begins.
const mendRoute = "write route METHOD PATH, such as route GET /lines/*"

// readService reads a service rule.
func (p *parser) readService(words []word, o Origin) {
	if len(words) < 2 || !isName(words[1].text) {
		at := words[min(1, len(words)-1)]
		p.fault(at.column, "the service is not given "+wantName, "write service NAME, such as service ledger")
		return
	}
	v := Service{Name: words[1].text, Cold: defaultCold, Queue: defaultQueue, Origin: o}
	p.once(words[1].column, "service "+v.Name)
	seen := readKeys(p, words[:2], words[2:], serviceKeys, &v)
	fillService(&v)
	if v.Slots > 0 {
		p.checkService(v, seen)
	}
	p.set.Services = append(p.set.Services, v)
}

// fillService sets the limits that follow from the slots where a rule has none.
func fillService(v *Service) {
	if v.Slots == 0 {
		return
	}
	if v.Connections == 0 {
		v.Connections = v.Slots * connectionsPerSlot
	}
	if v.Warm == 0 {
		v.Warm = v.Slots * warmRequestsPerSlot
	}
}

// checkService compares the limits of v with its slots.
func (p *parser) checkService(v Service, seen map[string]word) {
	if v.Cold > v.Slots {
		p.fault(seen["cold"].column, fmt.Sprintf("cold=%d is more than slots=%d", v.Cold, v.Slots),
			"lower cold to slots or less")
	}
	if v.Connections < v.Slots {
		p.fault(seen["conns"].column, fmt.Sprintf("conns=%d is less than slots=%d", v.Connections, v.Slots),
			"raise conns to slots or more")
	}
}

// readRoute reads a route rule.
func (p *parser) readRoute(words []word, o Origin) {
	if len(words) < 3 {
		p.fault(words[0].column, "the route has no method and path", mendRoute)
		return
	}
	r := Route{
		Method: words[1].text,
		Path:   words[2].text,
		Time:   defaultTime,
		Rank:   defaultRank,
		Tries:  defaultTries,
		Body:   defaultBody,
		Origin: o,
	}
	if !isMethod(r.Method) {
		p.fault(words[1].column, fmt.Sprintf("%q is not a method in capital letters or *", r.Method), mendRoute)
	}
	if problem := checkPath(r.Path); problem != "" {
		p.fault(words[2].column, fmt.Sprintf("path %q %s", r.Path, problem), mendRoute)
	}
	seen := readKeys(p, words[:3], words[3:], routeKeys, &r)
	p.once(words[1].column, "route "+routeName(&r))
	p.checkTarget(words[2].column, r, seen)
	p.set.Routes = append(p.set.Routes, r)
}

// checkTarget notes the services that r names, and finds a route that names none
// or names them twice over.
func (p *parser) checkTarget(column int, r Route, seen map[string]word) {
	service, single := seen["service"]
	split, shared := seen["split"]
	switch {
	case !single && !shared:
		p.fault(column, "key service is missing", "add service=ledger")
	case single && shared:
		p.fault(split.column, "the route has both service and split", "keep one of the two")
	}
	if single && isName(r.Service) {
		p.uses = append(p.uses, use{service: r.Service, line: p.line, column: service.column})
	}
	for _, part := range r.Split {
		p.uses = append(p.uses, use{service: part.Service, line: p.line, column: split.column})
	}
}

// isMethod tells whether text is a method of HTTP or stands for all of them.
func isMethod(text string) bool {
	if text == anyMethod {
		return true
	}
	return text != "" && len(text) <= maxMethodBytes && consistsOf(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-")
}

// checkPath returns what is wrong with the path of a route, or nothing.
func checkPath(path string) string {
	if !strings.HasPrefix(path, "/") {
		return "does not start with /"
	}
	if strings.Contains(strings.TrimSuffix(path, "*"), "*") {
		return "has a * before its end"
	}
	if strings.Contains(path, "?") {
		return "has a query"
	}
	for part := range strings.SplitSeq(path, "/") {
		if part == "." || part == ".." {
			return "has a part . or .."
		}
	}
	return ""
}

// readBudget reads the budget rule.
func (p *parser) readBudget(words []word, o Origin) {
	p.once(words[0].column, "budget")
	p.set.Budget.Origin = o
	readKeys(p, words[:1], words[1:], budgetKeys, &p.set.Budget)
}

// readOut reads an out rule.
func (p *parser) readOut(words []word, o Origin) {
	var names outNames
	seen := readKeys(p, words[:1], words[1:], outKeys, &names)
	if len(seen) != 1 {
		p.fault(words[0].column, "the rule does not take out one data centre or one instance",
			"write out centre=NAME or out instance=NAME")
		return
	}
	if _, ok := seen["centre"]; ok {
		p.once(words[0].column, "out centre="+names.centre)
		p.set.Centres = append(p.set.Centres, Out{Name: names.centre, Origin: o})
		return
	}
	p.once(words[0].column, "out instance="+names.instance)
	p.set.Instances = append(p.set.Instances, Out{Name: names.instance, Origin: o})
}
