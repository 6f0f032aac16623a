package rules

import (
	"fmt"
	"strings"
	"time"

	"bulrushlock/core/creds"
)

// Defaults of the keys that a rule may omit.
const (
	defaultColdSlots       = 1
	defaultQueueTimeout    = 5 * time.Millisecond
	defaultHeaderTimeout   = 2 * time.Second
	defaultPriority        = 3
	defaultMaxAttempts     = 4
	defaultMaxBodyBytes    = megabyte
	defaultProbeRate       = 5    // per second
	defaultHealthCheckRate = 2    // per second
	defaultRetryFraction   = 0.1  // fraction of requests
	defaultHedgeFraction   = 0.02 // fraction of requests
	defaultColdRateFactor  = 1    // factor on the rate of a cold backend server
	defaultColdRateSlack   = 2    // requests
)

// Limits of a service per slot, for limits that the rule omits.
const (
	connectionsPerSlot  = 2
	warmRequestsPerSlot = 4
)

// routeSyntax describes the start of a route rule.
const routeSyntax = "write route METHOD PATH, such as route GET /lines/*"

// readService parses a service rule.
func (p *parser) readService(words []word, o Origin) {
	if len(words) < 2 || !IsName(words[1].text) {
		at := words[min(1, len(words)-1)]
		p.addFault(at.column, "the service needs "+expectedName, "write service NAME, such as service ledger")
		return
	}
	v := Service{Name: words[1].text, ColdSlots: defaultColdSlots, QueueTimeout: defaultQueueTimeout, Origin: o}
	p.checkDuplicate(words[1].column, "service "+v.Name)
	seen := readKeys(p, words[:2], words[2:], serviceKeys, &v)
	setServiceDefaults(&v)
	if v.Slots > 0 {
		p.checkService(v, seen)
	}
	p.set.Services = append(p.set.Services, v)
}

// setServiceDefaults derives from the slots the limits that the rule omits.
func setServiceDefaults(v *Service) {
	if v.Slots == 0 {
		return
	}
	if v.Connections == 0 {
		v.Connections = v.Slots * connectionsPerSlot
	}
	if v.WarmupRequests == 0 {
		v.WarmupRequests = v.Slots * warmRequestsPerSlot
	}
}

// checkService reports limits of v that contradict its slots.
func (p *parser) checkService(v Service, seen map[string]word) {
	if v.ColdSlots > v.Slots {
		p.addFault(seen["cold"].column, fmt.Sprintf("cold=%d is more than slots=%d", v.ColdSlots, v.Slots),
			"lower cold to slots or less")
	}
	if v.Connections < v.Slots {
		p.addFault(seen["conns"].column, fmt.Sprintf("conns=%d is less than slots=%d", v.Connections, v.Slots),
			"raise conns to slots or more")
	}
}

// readRoute parses a route rule.
func (p *parser) readRoute(words []word, o Origin) {
	if len(words) < 3 {
		p.addFault(words[0].column, "the route has no method and path", routeSyntax)
		return
	}
	r := Route{
		Method:        words[1].text,
		Path:          words[2].text,
		HeaderTimeout: defaultHeaderTimeout,
		Priority:      defaultPriority,
		MaxAttempts:   defaultMaxAttempts,
		MaxBodyBytes:  defaultMaxBodyBytes,
		Origin:        o,
	}
	if !isMethod(r.Method) {
		p.addFault(words[1].column, fmt.Sprintf("%q is not an upper-case method or *", r.Method), routeSyntax)
	}
	if problem := checkPath(r.Path); problem != "" {
		p.addFault(words[2].column, fmt.Sprintf("path %q %s", r.Path, problem), routeSyntax)
	}
	seen := readKeys(p, words[:3], words[3:], routeKeys, &r)
	if _, ok := seen["whole"]; !ok {
		r.TotalTimeout = r.HeaderTimeout
	}
	p.checkDuplicate(words[1].column, "route "+routeName(&r))
	p.checkServiceKeys(words[2].column, r, seen)
	if r.Upload && r.Idempotent {
		p.addFault(seen["upload"].column, "upload=yes contradicts idempotent=yes", "write idempotent=no, as an upload runs at most once")
	}
	p.set.Routes = append(p.set.Routes, r)
}

// checkServiceKeys records the services that r names. It reports a fault if the route
// has neither of the keys service and split, unless it is refused, or both.
func (p *parser) checkServiceKeys(column int, r Route, seen map[string]word) {
	service, hasService := seen["service"]
	split, hasSplit := seen["split"]
	switch {
	case !hasService && !hasSplit && !r.Refused:
		p.addFault(column, "key service is missing", "add service=ledger")
	case hasService && hasSplit:
		p.addFault(split.column, "the route has both service and split", "delete one of the two")
	}
	if hasService && IsName(r.Service) {
		p.serviceRefs = append(p.serviceRefs, serviceRef{service: r.Service, line: p.line, column: service.column})
	}
	for _, weighted := range r.Split {
		p.serviceRefs = append(p.serviceRefs, serviceRef{service: weighted.Service, line: p.line, column: split.column})
	}
}

// readCustomer parses a customer rule.
func (p *parser) readCustomer(words []word, o Origin) {
	if len(words) < 2 || !IsName(words[1].text) {
		at := words[min(1, len(words)-1)]
		p.addFault(at.column, "the customer needs "+expectedName, "write customer NAME, such as customer patan-desk")
		return
	}
	c := Customer{Name: words[1].text, Origin: o}
	p.checkDuplicate(words[1].column, "customer "+c.Name)
	seen := readKeys(p, words[:2], words[2:], customerKeys, &c)
	p.checkCustomer(c, seen)
	p.set.Customers = append(p.set.Customers, c)
}

// checkCustomer reports a credential that another customer holds too, and limits that
// contradict each other.
func (p *parser) checkCustomer(c Customer, seen map[string]word) {
	for _, digest := range c.Keys {
		if other, ok := p.holders[digest]; ok {
			held := p.set.Customers[other]
			p.addFault(seen["keys"].column, fmt.Sprintf("customer %s holds key %s too, on line %d", held.Name, creds.Short(digest), held.Origin.Line),
				"delete the key from one of the two")
			continue
		}
		p.holders[digest] = len(p.set.Customers)
	}
	if c.Burst > 0 && c.Rate == 0 {
		p.addFault(seen["burst"].column, fmt.Sprintf("burst=%d without a rate limits nothing", c.Burst), "add rate or delete burst")
	}
}

// isMethod reports whether text has the form of an HTTP method or is anyMethod.
func isMethod(text string) bool {
	if text == anyMethod {
		return true
	}
	return text != "" && len(text) <= maxMethodBytes && consistsOf(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-")
}

// checkPath returns the problem with the path of a route, or an empty string.
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
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return "has a . or .. segment"
		}
	}
	return ""
}

// readBudget parses the budget rule.
func (p *parser) readBudget(words []word, o Origin) {
	p.checkDuplicate(words[0].column, "budget")
	p.set.Budget.Origin = o
	readKeys(p, words[:1], words[1:], budgetKeys, &p.set.Budget)
}

// readOutOfService parses an out rule.
func (p *parser) readOutOfService(words []word, o Origin) {
	var names outRuleValues
	seen := readKeys(p, words[:1], words[1:], outKeys, &names)
	if len(seen) != 1 {
		p.addFault(words[0].column, "the out rule must name exactly one data centre or instance",
			"write out centre=NAME or out instance=NAME")
		return
	}
	if _, ok := seen["centre"]; ok {
		p.checkDuplicate(words[0].column, "out centre="+names.centre)
		p.set.CentresOut = append(p.set.CentresOut, OutOfService{Name: names.centre, Origin: o})
		return
	}
	p.checkDuplicate(words[0].column, "out instance="+names.instance)
	p.set.InstancesOut = append(p.set.InstancesOut, OutOfService{Name: names.instance, Origin: o})
}
