package rules

import "strings"

// String returns the rules as a text that Parse turns into the same rules: the
// services, the routes, the budget and what is out, with every key written out.
func (s *Set) String() string {
	var b strings.Builder
	for _, v := range s.Services {
		writeRule(&b, showService(v), v.Origin)
	}
	for _, r := range s.Routes {
		writeRule(&b, showRoute(r), r.Origin)
	}
	if s.Budget.Origin.Who != "" {
		writeRule(&b, showBudget(s.Budget), s.Budget.Origin)
	}
	for _, o := range s.Centres {
		writeRule(&b, "out centre="+o.Name, o.Origin)
	}
	for _, o := range s.Instances {
		writeRule(&b, "out instance="+o.Name, o.Origin)
	}
	return b.String()
}

// writeRule writes one line with its comment.
func writeRule(b *strings.Builder, rule string, o Origin) {
	b.WriteString(rule)
	b.WriteString("   # ")
	b.WriteString(o.Who)
	b.WriteString(": ")
	b.WriteString(o.Why)
	b.WriteByte('\n')
}

// String returns the rule without its comment, with every key written out.
func (v Service) String() string { return showService(v) }

// String returns the rule without its comment, with every key written out.
func (r Route) String() string { return showRoute(r) }

// showService returns the rule of v without its comment.
func showService(v Service) string {
	return "service " + v.Name + showKeys(serviceKeys, &v)
}

// showRoute returns the rule of r without its comment.
func showRoute(r Route) string {
	return "route " + r.Method + " " + r.Path + showKeys(routeKeys, &r)
}

// showBudget returns the rule of b without its comment.
func showBudget(b Budget) string {
	return "budget" + showKeys(budgetKeys, &b)
}

// showKeys returns every pair of a rule that has a value, each after a space.
func showKeys[T any](keys []key[T], record *T) string {
	var b strings.Builder
	for _, k := range keys {
		value := k.show(record)
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
