package rules

import (
	"slices"
	"strings"
)

// anyMethod is the method of a route that matches every method.
const anyMethod = "*"

// routePattern is what a route matches: a host, a method, and a literal path or a
// path prefix.
type routePattern struct {
	host   string
	method string
	path   string
}

// index holds lookup tables for the rules of a Set.
type index struct {
	services map[string]int
	// literals maps literal paths to the positions of their routes.
	literals map[routePattern]int
	// prefixes maps path prefixes, without the final "*", to the positions of their routes.
	prefixes map[routePattern]int
	// lengths holds the distinct prefix lengths, longest first.
	lengths []int
	// customers maps the digests of credentials to the positions of their customers.
	customers map[string]int
	centres   map[string]struct{}
	instances map[string]struct{}
	// uploads is set if a route is for uploads.
	uploads bool
}

// newIndex returns the index of s.
func newIndex(s *Set) index {
	x := index{
		services:  make(map[string]int, len(s.Services)),
		literals:  make(map[routePattern]int),
		prefixes:  make(map[routePattern]int),
		customers: make(map[string]int, len(s.Customers)),
		centres:   make(map[string]struct{}, len(s.CentresOut)),
		instances: make(map[string]struct{}, len(s.InstancesOut)),
	}
	for i, v := range s.Services {
		x.services[v.Name] = i
	}
	for i, r := range s.Routes {
		x.addRoute(r, i)
	}
	for i, c := range s.Customers {
		for _, digest := range c.Keys {
			x.customers[digest] = i
		}
	}
	for _, o := range s.CentresOut {
		x.centres[o.Name] = struct{}{}
	}
	for _, o := range s.InstancesOut {
		x.instances[o.Name] = struct{}{}
	}
	slices.Sort(x.lengths)
	x.lengths = slices.Compact(x.lengths)
	slices.Reverse(x.lengths)
	return x
}

// WithCentresOut returns a copy of s in which exactly the given data centres are out of service.
func (s *Set) WithCentresOut(out []OutOfService) *Set {
	c := *s
	c.CentresOut = out
	c.index = newIndex(&c)
	return &c
}

// addRoute adds the route r, which is at position i of the Set.
func (x *index) addRoute(r Route, i int) {
	x.uploads = x.uploads || r.Upload
	prefix, found := strings.CutSuffix(r.Path, "*")
	if !found {
		x.literals[routePattern{r.Host, r.Method, r.Path}] = i
		return
	}
	x.prefixes[routePattern{r.Host, r.Method, prefix}] = i
	x.lengths = append(x.lengths, len(prefix))
}

// Route returns the route of a request; host has no port. A route that names the
// host takes precedence over one for all hosts, then a literal path over a prefix,
// and a longer prefix over a shorter one. Of two routes with the same path, the one
// that names the method takes precedence over "*".
func (s *Set) Route(method, host, path string) (Route, bool) {
	if host != "" {
		if i, ok := s.index.route(method, host, path); ok {
			return s.Routes[i], true
		}
	}
	if i, ok := s.index.route(method, "", path); ok {
		return s.Routes[i], true
	}
	return Route{}, false
}

// HasUploads reports whether any route is for uploads.
func (s *Set) HasUploads() bool { return s.index.uploads }

// route returns the position of the route of a request among the routes for exactly
// that host, where an empty host stands for all hosts.
func (x *index) route(method, host, path string) (int, bool) {
	if i, ok := findRoute(x.literals, method, host, path); ok {
		return i, true
	}
	for _, n := range x.lengths {
		if n > len(path) {
			continue
		}
		if i, ok := findRoute(x.prefixes, method, host, path[:n]); ok {
			return i, true
		}
	}
	return 0, false
}

// findRoute looks up a path with the given method, then with anyMethod.
func findRoute(routes map[routePattern]int, method, host, path string) (int, bool) {
	if i, ok := routes[routePattern{host, method, path}]; ok {
		return i, true
	}
	i, ok := routes[routePattern{host, anyMethod, path}]
	return i, ok
}

// goesTo reports whether r routes requests to a service.
func (r *Route) goesTo(service string) bool {
	if r.Service == service {
		return true
	}
	return slices.ContainsFunc(r.Split, func(p WeightedService) bool { return p.Service == service })
}

// Service returns the limits of the named service.
func (s *Set) Service(name string) (Service, bool) {
	i, ok := s.index.services[name]
	if !ok {
		return Service{}, false
	}
	return s.Services[i], true
}

// HasCustomers reports whether requests on routes that are not public need a credential.
func (s *Set) HasCustomers() bool { return len(s.Customers) > 0 }

// CustomerOf returns the customer that holds the credential with the given digest.
func (s *Set) CustomerOf(digest string) (*Customer, bool) {
	i, ok := s.index.customers[digest]
	if !ok {
		return nil, false
	}
	return &s.Customers[i], true
}

// IsOutOfService reports whether the instance or its data centre is out of service.
func (s *Set) IsOutOfService(instance, centre string) bool {
	if _, ok := s.index.instances[instance]; ok {
		return true
	}
	_, ok := s.index.centres[centre]
	return ok
}
