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

// key is one key of the settings.
type key struct {
	name     string
	optional bool
	read     func(ast.Node)
}

// decoder decodes YAML nodes to settings and collects the faults.
type decoder struct {
	settings Settings
	keys     []key
	values   map[string]ast.Node
	faults   []Fault
	// crossFromLink is set if the price of bytes between data centres follows from the link.
	crossFromLink bool
}

// newDecoder returns a decoder whose settings have their default values.
func newDecoder() *decoder {
	d := &decoder{
		settings: Settings{Isolated: IsolatedServe, DrainTime: defaultDrain, MaxStaleness: defaultLag, Dialect: DialectPlain, LogRate: defaultLines, HoldMegabytes: defaultHold},
		values:   make(map[string]ast.Node),
	}
	s := &d.settings
	d.keys = []key{
		{name: "instance", optional: true, read: d.nameInto("instance", &s.Instance)},
		{name: "centre", read: d.nameInto("centre", &s.Centre)},
		{name: "service", read: d.nameInto("service", &s.Service)},
		{name: "callers", read: d.listenerInto("callers", &s.Callers)},
		{name: "nodes", read: d.listenerInto("nodes", &s.Nodes)},
		{name: "control", read: d.listenerInto("control", &s.Control)},
		{name: "operators", read: d.listenerInto("operators", &s.Operators)},
		{name: "server", read: d.dialAddressInto("server", &s.Server)},
		{name: "platform", read: d.dialAddressInto("platform", &s.Platform)},
		{name: "ready", optional: true, read: d.listenerInto("ready", &s.ReadinessAddress)},
		{name: "dialect", optional: true, read: d.choiceInto("dialect", &s.Dialect, DialectPlain, DialectPlatform)},
		{name: "ask", optional: true, read: d.countInto("ask", &s.ProbeCount, 0, maxAsk)},
		{name: "lines", optional: true, read: d.countInto("lines", &s.LogRate, 1, maxLines)},
		{name: "link", optional: true, read: d.numberInto("link", &s.LinkMegabits, 0, maxLinkMegabits)},
		{name: "cross", optional: true, read: d.readCross},
		{name: "memory", optional: true, read: d.countInto("memory", &s.MemoryMegabytes, minMemory, maxMemory)},
		{name: "files", optional: true, read: d.countInto("files", &s.Files, minFiles, maxFiles)},
		{name: "hold", optional: true, read: d.countInto("hold", &s.HoldMegabytes, 0, maxHold)},
		{name: "rules", optional: true, read: d.readRules},
		{name: "peers", optional: true, read: d.readPeers},
		{name: "isolated", optional: true, read: d.choiceInto("isolated", &s.Isolated, IsolatedServe, IsolatedReject)},
		{name: "drain", optional: true, read: d.durationInto("drain", &s.DrainTime, 0, maxDrain)},
		{name: "revoke", optional: true, read: d.durationInto("revoke", &s.MaxCredentialAge, 0, maxRevoke)},
		{name: "lag", optional: true, read: d.durationInto("lag", &s.MaxStaleness, minLag, maxLag)},
	}
	return d
}

// decode decodes a whole text and then adds a fault for each missing key.
func (d *decoder) decode(text []byte) {
	f, err := parser.ParseBytes(text, 0)
	if err != nil {
		d.addSyntaxFault(err)
		return
	}
	documents := 0
	for _, document := range f.Docs {
		if document.Body == nil || document.Body.Type() == ast.CommentGroupType {
			continue
		}
		documents++
		if documents > 1 {
			d.addFault(document.Body, "", "a second YAML document is not allowed, put all keys into one")
			continue
		}
		d.readDocument(document.Body)
	}
	d.addMissingKeys()
}

// readDocument reads each key of the mapping at n.
func (d *decoder) readDocument(n ast.Node) {
	switch m := n.(type) {
	case *ast.MappingNode:
		for _, v := range m.Values {
			d.readEntry(v)
		}
	case *ast.MappingValueNode:
		d.readEntry(m)
	default:
		d.addFault(n, "", fmt.Sprintf("settings must be a mapping of keys to values, not %s", typeName(n)))
	}
}

// readEntry reads one key and its value.
func (d *decoder) readEntry(v *ast.MappingValueNode) {
	text := v.Key.GetToken().Value
	i := slices.IndexFunc(d.keys, func(k key) bool { return k.name == text })
	if i < 0 || v.Key.IsMergeKey() {
		d.addFault(v.Key, text, "unknown key, the keys are "+d.keyNames())
		return
	}
	d.values[text] = v.Value
	if v.Value == nil || v.Value.Type() == ast.NullType {
		d.addFault(v.Key, text, "has no value")
		return
	}
	d.keys[i].read(v.Value)
}

// keyNames returns the names of all keys, separated by commas.
func (d *decoder) keyNames() string {
	names := make([]string, len(d.keys))
	for i, k := range d.keys {
		names[i] = k.name
	}
	return strings.Join(names, ", ")
}

// addMissingKeys adds a fault for each required key that is missing.
func (d *decoder) addMissingKeys() {
	for _, k := range d.keys {
		if _, ok := d.values[k.name]; !ok && !k.optional {
			d.faults = append(d.faults, Fault{Line: 1, Column: 1, Key: k.name, Problem: "is missing"})
		}
	}
}

// addSyntaxFault adds the fault of a text that is not valid YAML.
func (d *decoder) addSyntaxFault(err error) {
	f := Fault{Line: 1, Column: 1, Problem: err.Error()}
	var y yaml.Error
	if errors.As(err, &y) {
		f.Problem = y.GetMessage()
		f.Line, f.Column = position(y.GetToken())
	}
	d.faults = append(d.faults, f)
}

// addFault adds a fault at the position of n.
func (d *decoder) addFault(n ast.Node, name, problem string) {
	f := Fault{Key: name, Problem: problem}
	f.Line, f.Column = position(n.GetToken())
	d.faults = append(d.faults, f)
}

// position returns the line and the column of a token.
func position(t *token.Token) (line, column int) {
	if t == nil || t.Position == nil {
		return 1, 1
	}
	return t.Position.Line, t.Position.Column
}

// sortedFaults returns the faults ordered by position.
func (d *decoder) sortedFaults() []Fault {
	slices.SortStableFunc(d.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return d.faults
}
