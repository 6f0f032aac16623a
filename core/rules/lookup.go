package rules

import (
	"slices"
	"strings"
)

// anyMethod is the method of a route that serves every method.
const anyMethod = "*"

// target is what a route matches: a method and a literal path or a prefix.
type target struct {
	host   string
	method string
	path   string
}

// index finds the parts of a Set without a scan of it.
type index struct {
	services map[string]int
	// literals maps whole paths to their route.
	literals map[target]int
	// prefixes maps paths without their final "*" to their route.
	prefixes map[target]int
	// lengths holds each length of a prefix once, the longest first.
	lengths   []int
	centres   map[string]struct{}
	instances map[string]struct{}
}

// newIndex returns the index of s.
func newIndex(s *Set) index {
	x := index{
		services:  make(map[string]int, len(s.Services)),
		literals:  make(map[target]int),
		prefixes:  make(map[target]int),
		centres:   make(map[string]struct{}, len(s.Centres)),
		instances: make(map[string]struct{}, len(s.Instances)),
	}
	for i, v := range s.Services {
		x.services[v.Name] = i
	}
	for i, r := range s.Routes {
		x.addRoute(r, i)
	}
	for _, o := range s.Centres {
		x.centres[o.Name] = struct{}{}
	}
	for _, o := range s.Instances {
		x.instances[o.Name] = struct{}{}
	}
	slices.Sort(x.lengths)
	x.lengths = slices.Compact(x.lengths)
	slices.Reverse(x.lengths)
	return x
}

// addRoute adds the route at position i.
func (x *index) addRoute(r Route, i int) {
	prefix, found := strings.CutSuffix(r.Path, "*")
	if !found {
		x.literals[target{r.Host, r.Method, r.Path}] = i
		return
	}
	x.prefixes[target{r.Host, r.Method, prefix}] = i
	x.lengths = append(x.lengths, len(prefix))
}

// Route returns the route of a request for a host without a port. A route that
// names the host goes before one for all hosts, then a literal path before a prefix
// and a long prefix before a short one; of two routes with the same path, the one
// that names the method goes before "*".
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

// route returns the position of the route of a request among those that name the host.
func (x *index) route(method, host, path string) (int, bool) {
	if i, ok := find(x.literals, method, host, path); ok {
		return i, true
	}
	for _, n := range x.lengths {
		if n > len(path) {
			continue
		}
		if i, ok := find(x.prefixes, method, host, path[:n]); ok {
			return i, true
		}
	}
	return 0, false
}

// find looks a path up by its method, then by any method.
func find(routes map[target]int, method, host, path string) (int, bool) {
	if i, ok := routes[target{host, method, path}]; ok {
		return i, true
	}
	i, ok := routes[target{host, anyMethod, path}]
	return i, ok
}

// goesTo reports whether requests of r may go to a service.
func (r *Route) goesTo(service string) bool {
	if r.Service == service {
		return true
	}
	return slices.ContainsFunc(r.Split, func(p Part) bool { return p.Service == service })
}

// Service returns the limits of the named service.
func (s *Set) Service(name string) (Service, bool) {
	i, ok := s.index.services[name]
	if !ok {
		return Service{}, false
	}
	return s.Services[i], true
}

// IsOut tells whether the instance, or the data centre that it runs in, is out
// of service.
func (s *Set) IsOut(instance, centre string) bool {
	if _, ok := s.index.instances[instance]; ok {
		return true
	}
	_, ok := s.index.centres[centre]
	return ok
}
