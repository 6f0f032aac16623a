package rules

// Kind is the kind of rule that an Edit describes.
type Kind string

// The kinds of rules in an Edit.
const (
	KindService  Kind = "service"
	KindRoute    Kind = "route"
	KindCustomer Kind = "customer"
	KindBudget   Kind = "budget"
	KindCentre   Kind = "centre"
	KindInstance Kind = "instance"
)

// Action is the effect of an Edit on a rule or on the object that the rule names.
type Action string

// The actions of an Edit. Data centres and instances are taken out of service
// (out) or returned to it (back); everything else is added, removed or changed.
const (
	ActionAdd       Action = "add"
	ActionRemove    Action = "remove"
	ActionChange    Action = "change"
	ActionOut       Action = "out"
	ActionInService Action = "back"
)

// KeyChange is a key whose value differs between two versions of a rule. Before is
// empty if the rule is added, and After if it is removed.
type KeyChange struct {
	Key    string
	Before string
	After  string
}

// Edit is one difference between two Sets.
type Edit struct {
	Kind   Kind
	Action Action
	// Name is the name of a service, customer, data centre or instance, or the method, path
	// and host of a route. It is empty for the budget.
	Name string
	// Values holds the keys that differ.
	Values []KeyChange
	// Routes names the routes to the edited service.
	Routes []string
}

// Change is the difference between two Sets. It ignores the origin of the rules:
// who requested them and why.
type Change struct {
	Edits []Edit
}

// Compare returns the edits that lead from before to after.
func Compare(before, after *Set) Change {
	var edits []Edit
	for _, e := range compareRecords(KindService, serviceKeys, serviceName, before.Services, after.Services) {
		e.Routes = routesTo(after, e.Name)
		edits = append(edits, e)
	}
	edits = append(edits, compareRecords(KindRoute, routeKeys, routeName, before.Routes, after.Routes)...)
	edits = append(edits, compareRecords(KindCustomer, customerKeys, customerName, before.Customers, after.Customers)...)
	if values := compareKeys(budgetKeys, &before.Budget, &after.Budget); len(values) > 0 {
		edits = append(edits, Edit{Kind: KindBudget, Action: ActionChange, Values: values})
	}
	edits = append(edits, compareOutOfService(KindCentre, before.CentresOut, after.CentresOut)...)
	edits = append(edits, compareOutOfService(KindInstance, before.InstancesOut, after.InstancesOut)...)
	return Change{Edits: edits}
}

// serviceName returns the name of v in an Edit.
func serviceName(v *Service) string { return v.Name }

// customerName returns the name of c in an Edit.
func customerName(c *Customer) string { return c.Name }

// routeName returns the name of r in an Edit.
func routeName(r *Route) string {
	if r.Host == "" {
		return r.Method + " " + r.Path
	}
	return r.Method + " " + r.Path + " host=" + r.Host
}

// outOfServiceName returns the name of o in an Edit.
func outOfServiceName(o *OutOfService) string { return o.Name }

// routesTo returns the names of the routes of s to a service.
func routesTo(s *Set, service string) []string {
	var names []string
	for i := range s.Routes {
		if s.Routes[i].goesTo(service) {
			names = append(names, routeName(&s.Routes[i]))
		}
	}
	return names
}

// compareOutOfService returns the edits for data centres or instances that are taken out
// of service or returned to it.
func compareOutOfService(kind Kind, before, after []OutOfService) []Edit {
	edits := compareRecords(kind, nil, outOfServiceName, before, after)
	for i := range edits {
		if edits[i].Action == ActionAdd {
			edits[i].Action = ActionOut
		} else {
			edits[i].Action = ActionInService
		}
	}
	return edits
}

// compareRecords returns the edits of one kind: first added and changed rules in
// the order of after, then removed ones in the order of before.
func compareRecords[T any](kind Kind, keys []key[T], name func(*T) string, before, after []T) []Edit {
	var edits []Edit
	unmatched := make(map[string]*T, len(before))
	for i := range before {
		unmatched[name(&before[i])] = &before[i]
	}
	for i := range after {
		n := name(&after[i])
		old, ok := unmatched[n]
		delete(unmatched, n)
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
		if _, ok := unmatched[n]; ok {
			edits = append(edits, Edit{Kind: kind, Action: ActionRemove, Name: n, Values: compareKeys(keys, &before[i], nil)})
		}
	}
	return edits
}

// compareKeys returns the keys that differ between two records. One of the records
// may be nil.
func compareKeys[T any](keys []key[T], before, after *T) []KeyChange {
	var values []KeyChange
	for _, k := range keys {
		v := KeyChange{Key: k.name}
		if before != nil {
			v.Before = k.format(before)
		}
		if after != nil {
			v.After = k.format(after)
		}
		if v.Before != v.After {
			values = append(values, v)
		}
	}
	return values
}
