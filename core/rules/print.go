package rules

import "strings"

// String returns the rules as a text that Parse parses into the same rules: the
// services, the routes, the customers, the budget and the out rules. It includes keys that have their
// default value, except for empty values and keys whose default is marked as omitted.
func (s *Set) String() string {
	var b strings.Builder
	for _, v := range s.Services {
		writeRule(&b, formatService(v), v.Origin)
	}
	for _, r := range s.Routes {
		writeRule(&b, formatRoute(r), r.Origin)
	}
	for _, c := range s.Customers {
		writeRule(&b, formatCustomer(c), c.Origin)
	}
	if s.Budget.Origin.RequestedBy != "" {
		writeRule(&b, formatBudget(s.Budget), s.Budget.Origin)
	}
	for _, o := range s.CentresOut {
		writeRule(&b, "out centre="+o.Name, o.Origin)
	}
	for _, o := range s.InstancesOut {
		writeRule(&b, "out instance="+o.Name, o.Origin)
	}
	return b.String()
}

// writeRule writes one rule with its comment.
func writeRule(b *strings.Builder, rule string, o Origin) {
	b.WriteString(rule)
	b.WriteString("   # ")
	b.WriteString(o.RequestedBy)
	b.WriteString(": ")
	b.WriteString(o.Reason)
	b.WriteByte('\n')
}

// String returns the service rule without its comment. It includes the same keys as
// Set.String.
func (v Service) String() string { return formatService(v) }

// String returns the route rule without its comment. It includes the same keys as
// Set.String.
func (r Route) String() string { return formatRoute(r) }

// String returns the customer rule without its comment. It includes the same keys as
// Set.String.
func (c Customer) String() string { return formatCustomer(c) }

// formatService returns the rule of v without its comment.
func formatService(v Service) string {
	return "service " + v.Name + formatKeys(serviceKeys, &v)
}

// formatRoute returns the rule of r without its comment.
func formatRoute(r Route) string {
	return "route " + r.Method + " " + r.Path + formatKeys(routeKeys, &r)
}

// formatCustomer returns the rule of c without its comment.
func formatCustomer(c Customer) string {
	return "customer " + c.Name + formatKeys(customerKeys, &c)
}

// formatBudget returns the rule of b without its comment.
func formatBudget(b Budget) string {
	return "budget" + formatKeys(budgetKeys, &b)
}

// formatKeys returns the KEY=VALUE pairs of a rule that have a value, each after a
// space.
func formatKeys[T any](keys []key[T], record *T) string {
	var b strings.Builder
	for _, k := range keys {
		value := k.format(record)
		if value == "" {
			continue
		}
		b.WriteByte(' ')
		b.WriteString(k.name)
		b.WriteByte('=')
		b.WriteString(value)
	}
	return b.String()
}
