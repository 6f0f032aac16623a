package rules

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// maxTextBytes is the size of the largest text.
const maxTextBytes = 1 << 20

// commentForm is the form of the comment that ends each rule.
const commentForm = "# WHO: WHY"

// Parse reads a text of rules. It depends on nothing but the text. It fails with
// a *FaultsError that lists every fault of the text.
func Parse(text string) (*Set, error) {
	p := newParser()
	if len(text) > maxTextBytes {
		p.fault(1, fmt.Sprintf("the text is longer than %d bytes", maxTextBytes), "shorten the text")
		return nil, &FaultsError{Faults: p.faults}
	}
	for line := range strings.SplitSeq(text, "\n") {
		p.line++
		p.readLine(strings.TrimSuffix(line, "\r"))
	}
	p.checkServices()
	if len(p.faults) > 0 {
		sortFaults(p.faults)
		return nil, &FaultsError{Faults: p.faults}
	}
	p.set.index = newIndex(p.set)
	return p.set, nil
}

// parser holds what was read of a text so far.
type parser struct {
	set    *Set
	faults []Fault
	// line is the number of the line that is read now.
	line int
	// first maps each rule that may stand only once to its line.
	first map[string]int
	// uses lists the services that routes name.
	uses []use
}

// use is the place where a route names a service.
type use struct {
	service string
	line    int
	column  int
}

// word is a part of a line without blanks.
type word struct {
	text   string
	column int
}

// newParser returns a parser that has read nothing.
func newParser() *parser {
	return &parser{
		set: &Set{Budget: Budget{
			Probe: defaultProbe,
			Look:  defaultLook,
			Retry: defaultRetry,
			Hedge: defaultHedge,
			Over:  defaultOver,
			Slack: defaultSlack,
		}},
		first: make(map[string]int),
	}
}

// fault records a fault of the current line.
func (p *parser) fault(column int, problem, mend string) {
	p.faults = append(p.faults, Fault{Line: max(p.line, 1), Column: column, Problem: problem, Mend: mend})
}

// readLine reads one line, which may be blank or hold only a comment.
func (p *parser) readLine(line string) {
	if i := unreadable(line); i >= 0 {
		p.fault(i+1, "the line holds a control character or is not UTF-8", "delete the character")
		return
	}
	rule, comment, _ := strings.Cut(line, "#")
	words := split(rule)
	if len(words) == 0 {
		return
	}
	o := p.readOrigin(comment, len(rule)+1)
	switch words[0].text {
	case "service":
		p.readService(words, o)
	case "route":
		p.readRoute(words, o)
	case "budget":
		p.readBudget(words, o)
	case "out":
		p.readOut(words, o)
	default:
		p.fault(words[0].column, fmt.Sprintf("%q is not a kind of rule", words[0].text), "begin the line with service, route, budget or out")
	}
}

// unreadable returns the position of the first hidden character or byte that is
// not UTF-8, or -1. A tab is a blank.
func unreadable(line string) int {
	for i, r := range line {
		if r == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(line[i:]); size == 1 {
				return i
			}
		}
		if r != '\t' && isHidden(r) {
			return i
		}
	}
	return -1
}

// isHidden tells whether r makes a line look different from what is read of it:
// control characters, changes of direction, and separators of lines.
func isHidden(r rune) bool {
	return unicode.IsControl(r) || unicode.In(r, unicode.Bidi_Control, unicode.Zl, unicode.Zp)
}

// split returns the words of a rule with their columns.
func split(rule string) []word {
	var words []word
	start := -1
	for i := 0; i <= len(rule); i++ {
		blank := i == len(rule) || rule[i] == ' ' || rule[i] == '\t'
		switch {
		case blank && start >= 0:
			words = append(words, word{text: rule[start:i], column: start + 1})
			start = -1
		case !blank && start < 0:
			start = i
		}
	}
	return words
}

// readOrigin reads who asked for the rule and why.
func (p *parser) readOrigin(comment string, column int) Origin {
	who, why, _ := strings.Cut(comment, ":")
	o := Origin{Line: p.line, Who: strings.TrimSpace(who), Why: strings.TrimSpace(why)}
	if o.Who == "" || o.Why == "" {
		p.fault(column, "the rule does not tell who asked for it and why", "end the line with "+commentForm)
	}
	return o
}

// once records a rule that may stand only once and finds a second one.
func (p *parser) once(column int, rule string) {
	if line, ok := p.first[rule]; ok {
		p.fault(column, fmt.Sprintf("%s stands on line %d already", rule, line), "keep one of the two lines")
		return
	}
	p.first[rule] = p.line
}

// checkServices finds routes to services that no rule describes, and a text
// without any service, such as one that was cut short.
func (p *parser) checkServices() {
	for _, u := range p.uses {
		if _, ok := p.first["service "+u.service]; ok {
			continue
		}
		p.faults = append(p.faults, Fault{
			Line:    u.line,
			Column:  u.column,
			Problem: fmt.Sprintf("no rule describes service %s", u.service),
			Mend:    "add a service rule for it or name another service",
		})
	}
	if len(p.set.Services) == 0 && len(p.faults) == 0 {
		p.fault(1, "the text describes no service", "write one service rule for each service")
	}
}

// readKeys reads the pairs of a rule into record and returns those with a good
// form by their name. Head holds the words before the pairs.
func readKeys[T any](p *parser, head, words []word, keys []key[T], record *T) map[string]word {
	seen := make(map[string]word, len(words))
	for _, w := range words {
		name, value, found := strings.Cut(w.text, "=")
		k := findKey(keys, name)
		switch _, twice := seen[name]; {
		case !found || k == nil:
			p.fault(w.column, fmt.Sprintf("%q is not a key of a %s rule", w.text, head[0].text), "use "+listKeys(keys))
		case twice:
			p.fault(w.column, fmt.Sprintf("key %s stands twice", name), "keep one of the two")
		default:
			seen[name] = w
			readValue(p, *k, w, value, record)
		}
	}
	for _, k := range keys {
		if _, ok := seen[k.name]; k.required && !ok {
			p.fault(head[len(head)-1].column, "key "+k.name+" is missing", "add "+k.name+"="+k.example)
		}
	}
	return seen
}

// readValue reads the value of one pair into record.
func readValue[T any](p *parser, k key[T], w word, value string, record *T) {
	if k.read(record, value) {
		return
	}
	p.fault(w.column, fmt.Sprintf("%s=%q is not %s", k.name, value, k.want), "write for instance "+k.name+"="+k.example)
}

// findKey returns the key with that name, or nil.
func findKey[T any](keys []key[T], name string) *key[T] {
	for i := range keys {
		if keys[i].name == name {
			return &keys[i]
		}
	}
	return nil
}

// listKeys returns the names of keys in a form that is read by people.
func listKeys[T any](keys []key[T]) string {
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = k.name
	}
	return strings.Join(names, ", ")
}
