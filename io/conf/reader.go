package conf

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// key is one key that settings may have.
type key struct {
	name     string
	optional bool
	read     func(ast.Node)
}

// reader turns the nodes of a YAML text into settings and gathers the faults.
type reader struct {
	settings Settings
	keys     []key
	seen     map[string]ast.Node
	faults   []Fault
}

// newReader returns a reader that holds the defaults.
func newReader() *reader {
	r := &reader{
		settings: Settings{Isolated: Serve, Drain: defaultDrain, Lag: defaultLag, Dialect: Plain, Lines: defaultLines},
		seen:     make(map[string]ast.Node),
	}
	s := &r.settings
	r.keys = []key{
		{name: "instance", optional: true, read: r.nameInto("instance", &s.Instance)},
		{name: "centre", read: r.nameInto("centre", &s.Centre)},
		{name: "service", read: r.nameInto("service", &s.Service)},
		{name: "callers", read: r.listenerInto("callers", &s.Callers)},
		{name: "nodes", read: r.listenerInto("nodes", &s.Nodes)},
		{name: "control", read: r.listenerInto("control", &s.Control)},
		{name: "operators", read: r.listenerInto("operators", &s.Operators)},
		{name: "server", read: r.targetInto("server", &s.Server)},
		{name: "platform", read: r.targetInto("platform", &s.Platform)},
		{name: "ready", optional: true, read: r.listenerInto("ready", &s.Ready)},
		{name: "dialect", optional: true, read: r.wordInto("dialect", &s.Dialect, Plain, Platform)},
		{name: "ask", optional: true, read: r.countInto("ask", &s.Ask, 0, mostAsked)},
		{name: "lines", optional: true, read: r.countInto("lines", &s.Lines, 1, mostLines)},
		{name: "link", optional: true, read: r.numberInto("link", &s.Link, 0, mostLink)},
		{name: "rules", optional: true, read: r.readRules},
		{name: "peers", optional: true, read: r.readPeers},
		{name: "isolated", optional: true, read: r.wordInto("isolated", &s.Isolated, Serve, Refuse)},
		{name: "drain", optional: true, read: r.timeInto("drain", &s.Drain, 0, longestDrain)},
		{name: "lag", optional: true, read: r.timeInto("lag", &s.Lag, shortestLag, longestLag)},
	}
	return r
}

// readText reads a whole text, and then names the keys that it lacks.
func (r *reader) readText(text []byte) {
	f, err := parser.ParseBytes(text, 0)
	if err != nil {
		r.addSyntax(err)
		return
	}
	documents := 0
	for _, d := range f.Docs {
		if d.Body == nil || d.Body.Type() == ast.CommentGroupType {
			continue
		}
		documents++
		if documents > 1 {
			r.add(d.Body, "", "a second YAML document is not read, put all keys into one")
			continue
		}
		r.readDocument(d.Body)
	}
	r.addMissing()
}

// readDocument reads each key of the mapping at n.
func (r *reader) readDocument(n ast.Node) {
	switch m := n.(type) {
	case *ast.MappingNode:
		for _, v := range m.Values {
			r.readEntry(v)
		}
	case *ast.MappingValueNode:
		r.readEntry(m)
	default:
		r.add(n, "", fmt.Sprintf("settings must be a mapping of keys to values, not %s", kind(n)))
	}
}

// readEntry reads one key and its value.
func (r *reader) readEntry(v *ast.MappingValueNode) {
	text := v.Key.GetToken().Value
	i := slices.IndexFunc(r.keys, func(k key) bool { return k.name == text })
	if i < 0 || v.Key.IsMergeKey() {
		r.add(v.Key, text, "unknown key, the keys are "+r.keyNames())
		return
	}
	r.seen[text] = v.Value
	if v.Value == nil || v.Value.Type() == ast.NullType {
		r.add(v.Key, text, "has no value")
		return
	}
	r.keys[i].read(v.Value)
}

// keyNames returns the names of all keys.
func (r *reader) keyNames() string {
	names := make([]string, len(r.keys))
	for i, k := range r.keys {
		names[i] = k.name
	}
	return strings.Join(names, ", ")
}

// addMissing adds a fault for each required key that the text lacks.
func (r *reader) addMissing() {
	for _, k := range r.keys {
		if _, ok := r.seen[k.name]; !ok && !k.optional {
			r.faults = append(r.faults, Fault{Line: 1, Column: 1, Key: k.name, Problem: "is missing"})
		}
	}
}

// addSyntax adds the fault of a text that is not YAML.
func (r *reader) addSyntax(err error) {
	f := Fault{Line: 1, Column: 1, Problem: err.Error()}
	var y yaml.Error
	if errors.As(err, &y) {
		f.Problem = y.GetMessage()
		f.Line, f.Column = place(y.GetToken())
	}
	r.faults = append(r.faults, f)
}

// add adds a fault at the place of n.
func (r *reader) add(n ast.Node, name, problem string) {
	f := Fault{Key: name, Problem: problem}
	f.Line, f.Column = place(n.GetToken())
	r.faults = append(r.faults, f)
}

// place returns the line and the column of a token.
func place(t *token.Token) (line, column int) {
	if t == nil || t.Position == nil {
		return 1, 1
	}
	return t.Position.Line, t.Position.Column
}

// sorted returns the faults in the order of their places.
func (r *reader) sorted() []Fault {
	slices.SortStableFunc(r.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.faults
}
