package rules

// Kind is a kind of rule.
type Kind string

// The kinds of rules that an Edit is about.
const (
	KindService  Kind = "service"
	KindRoute    Kind = "route"
	KindBudget   Kind = "budget"
	KindCentre   Kind = "centre"
	KindInstance Kind = "instance"
)

// Action is what a change does to a rule or to what the rule names.
type Action string

// The actions of an Edit. Data centres and instances go out and back, all else
// is added, removed or changed.
const (
	ActionAdd    Action = "add"
	ActionRemove Action = "remove"
	ActionChange Action = "change"
	ActionOut    Action = "out"
	ActionBack   Action = "back"
)

// Value is a key whose value differs between two rules. Before is empty for a
// rule that is added, and After for one that is removed.
type Value struct {
	Key    string
	Before string
	After  string
}

// Edit is one difference between two sets.
type Edit struct {
	Kind   Kind
	Action Action
	// Name is the name of a service, data centre or instance, the method and path
	// of a route, or empty for the budget.
	Name string
	// Values holds the keys that differ.
	Values []Value
	// Routes names the routes that go to the service which is edited.
	Routes []string
}

// Change is what taking a set in place of another one would do. Who asked for a
// rule and why makes no difference.
type Change struct {
	Edits []Edit
}

// Compare returns what taking after in place of before would do.
func Compare(before, after *Set) Change {
	var edits []Edit
	for _, e := range compareRecords(KindService, serviceKeys, serviceName, before.Services, after.Services) {
		e.Routes = routesTo(after, e.Name)
		edits = append(edits, e)
	}
	edits = append(edits, compareRecords(KindRoute, routeKeys, routeName, before.Routes, after.Routes)...)
	if values := compareKeys(budgetKeys, &before.Budget, &after.Budget); len(values) > 0 {
		edits = append(edits, Edit{Kind: KindBudget, Action: ActionChange, Values: values})
	}
	edits = append(edits, compareOut(KindCentre, before.Centres, after.Centres)...)
	edits = append(edits, compareOut(KindInstance, before.Instances, after.Instances)...)
	return Change{Edits: edits}
}

// serviceName returns the name by which an Edit knows v.
func serviceName(v *Service) string { return v.Name }

// routeName returns the name by which an Edit knows r.
func routeName(r *Route) string {
	if r.Host == "" {
		return r.Method + " " + r.Path
	}
	return r.Method + " " + r.Path + " host=" + r.Host
}

// outName returns the name by which an Edit knows o.
func outName(o *Out) string { return o.Name }

// routesTo names the routes of s that go to a service.
func routesTo(s *Set, service string) []string {
	var names []string
	for i := range s.Routes {
		if s.Routes[i].goesTo(service) {
			names = append(names, routeName(&s.Routes[i]))
		}
	}
	return names
}

// compareOut returns what goes out of service and what comes back.
func compareOut(kind Kind, before, after []Out) []Edit {
	edits := compareRecords(kind, nil, outName, before, after)
	for i := range edits {
		if edits[i].Action == ActionAdd {
			edits[i].Action = ActionOut
		} else {
			edits[i].Action = ActionBack
		}
	}
	return edits
}

// compareRecords returns the edits of one kind: added and changed rules in the
// order of after, then removed ones in the order of before.
func compareRecords[T any](kind Kind, keys []key[T], name func(*T) string, before, after []T) []Edit {
	var edits []Edit
	gone := make(map[string]*T, len(before))
	for i := range before {
		gone[name(&before[i])] = &before[i]
	}
	for i := range after {
		n := name(&after[i])
		old, ok := gone[n]
		delete(gone, n)
		values := compareKeys(keys, old, &after[i])
		switch {
		case !ok:
			edits = append(edits, Edit{Kind: kind, Action: ActionAdd, Name: n, Values: values})
		case len(values) > 0:
			edits = append(edits, Edit{Kind: kind, Action: ActionChange, Name: n, Values: values})
		}
	}
	for i := range before {
		n := name(&before[i])
		if _, ok := gone[n]; ok {
			edits = append(edits, Edit{Kind: kind, Action: ActionRemove, Name: n, Values: compareKeys(keys, &before[i], nil)})
		}
	}
	return edits
}

// compareKeys returns the keys that differ between two records, of which one may
// be nil.
func compareKeys[T any](keys []key[T], before, after *T) []Value {
	var values []Value
	for _, k := range keys {
		v := Value{Key: k.name}
		if before != nil {
			v.Before = k.show(before)
		}
		if after != nil {
			v.After = k.show(after)
		}
		if v.Before != v.After {
			values = append(values, v)
		}
	}
	return values
}
