package rules

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxTextBytes is the maximum size of a rules text in bytes. A platform may store the same rules in a
// shorter form.
const MaxTextBytes = 4 << 20

// commentForm is the syntax of the comment that each rule must end with.
const commentForm = "# WHO: WHY"

// Parse parses a rules text. The result depends only on the text. If the text is
// invalid, Parse returns a *FaultsError that lists all its faults.
func Parse(text string) (*Set, error) {
	p := newParser()
	if len(text) > MaxTextBytes {
		p.addFault(1, fmt.Sprintf("the text is longer than %d bytes", MaxTextBytes), "shorten the text")
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

// ParseCentresOut returns the data centres that are out of service by a rules text, whatever is wrong
// with the rest of it. Rules that can't be read are left out.
func ParseCentresOut(text string) []OutOfService {
	p := newParser()
	for line := range strings.SplitSeq(text, "\n") {
		p.line++
		if strings.HasPrefix(line, "out ") {
			p.readLine(strings.TrimSuffix(line, "\r"))
		}
	}
	return p.set.CentresOut
}

// parser holds the state of parsing a rules text.
type parser struct {
	set    *Set
	faults []Fault
	// line is the number of the current line.
	line int
	// ruleLines maps each rule that must be unique to its line.
	ruleLines map[string]int
	// serviceRefs lists the references of routes to services.
	serviceRefs []serviceRef
	// holders maps each digest of a credential to the position of its customer in set.
	holders map[string]int
}

// serviceRef is a reference of a route to a service, with its position.
type serviceRef struct {
	service string
	line    int
	column  int
}

// word is a part of a line between blanks.
type word struct {
	text   string
	column int
}

// newParser returns a parser with an empty Set and the default budget.
func newParser() *parser {
	return &parser{
		set: &Set{Budget: Budget{
			ProbeRate:       defaultProbeRate,
			HealthCheckRate: defaultHealthCheckRate,
			RetryFraction:   defaultRetryFraction,
			HedgeFraction:   defaultHedgeFraction,
			ColdRateFactor:  defaultColdRateFactor,
			ColdRateSlack:   defaultColdRateSlack,
		}},
		ruleLines: make(map[string]int),
		holders:   make(map[string]int),
	}
}

// addFault records a fault of the current line.
func (p *parser) addFault(column int, problem, fix string) {
	p.faults = append(p.faults, Fault{Line: max(p.line, 1), Column: column, Problem: problem, Fix: fix})
}

// readLine parses one line, which may be blank or contain only a comment.
func (p *parser) readLine(line string) {
	if i := invalidCharacter(line); i >= 0 {
		p.addFault(i+1, "the line contains a control character or is not UTF-8", "delete the character")
		return
	}
	rule, comment, _ := strings.Cut(line, "#")
	words := splitWords(rule)
	if len(words) == 0 {
		return
	}
	o := p.readOrigin(comment, len(rule)+1)
	switch words[0].text {
	case "service":
		p.readService(words, o)
	case "route":
		p.readRoute(words, o)
	case "customer":
		p.readCustomer(words, o)
	case "budget":
		p.readBudget(words, o)
	case "out":
		p.readOutOfService(words, o)
	default:
		p.addFault(words[0].column, fmt.Sprintf("%q is not a kind of rule", words[0].text), "start the line with service, route, customer, budget or out")
	}
}

// invalidCharacter returns the position of the first hidden character or invalid
// UTF-8 byte, or -1 if there is none. Tabs are allowed.
func invalidCharacter(line string) int {
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

// isHidden reports whether r can make a line look different from what is parsed:
// a control character, a bidirectional control, or a line or paragraph separator.
func isHidden(r rune) bool {
	if r < utf8.RuneSelf {
		return r < ' ' || r == '\x7f'
	}
	return unicode.IsControl(r) || unicode.In(r, unicode.Bidi_Control, unicode.Zl, unicode.Zp)
}

// splitWords returns the words of a rule with their columns.
func splitWords(rule string) []word {
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

// readOrigin parses the comment that says who requested the rule and why.
func (p *parser) readOrigin(comment string, column int) Origin {
	who, why, _ := strings.Cut(comment, ":")
	o := Origin{Line: p.line, RequestedBy: strings.TrimSpace(who), Reason: strings.TrimSpace(why)}
	if o.RequestedBy == "" || o.Reason == "" {
		p.addFault(column, "the rule does not tell who asked for it and why", "end the line with "+commentForm)
	}
	return o
}

// checkDuplicate records a rule that must be unique. It reports a fault if the rule
// is a duplicate.
func (p *parser) checkDuplicate(column int, rule string) {
	if line, ok := p.ruleLines[rule]; ok {
		p.addFault(column, fmt.Sprintf("%s is already defined on line %d", rule, line), "delete one of the two lines")
		return
	}
	p.ruleLines[rule] = p.line
}

// checkServices reports routes to services without a service rule. It also reports
// a text without any service, such as a truncated one.
func (p *parser) checkServices() {
	for _, u := range p.serviceRefs {
		if _, ok := p.ruleLines["service "+u.service]; ok {
			continue
		}
		p.faults = append(p.faults, Fault{
			Line:    u.line,
			Column:  u.column,
			Problem: fmt.Sprintf("no rule describes service %s", u.service),
			Fix:     "add a service rule for it or name another service",
		})
	}
	if len(p.set.Services) == 0 && len(p.faults) == 0 {
		p.addFault(1, "the text describes no service", "write one service rule for each service")
	}
}

// readKeys parses the KEY=VALUE pairs of a rule into record. It returns the pairs with
// known keys by key, whether or not their values are valid. head holds the words
// before the pairs.
func readKeys[T any](p *parser, head, words []word, keys []key[T], record *T) map[string]word {
	seen := make(map[string]word, len(words))
	for _, w := range words {
		name, value, found := strings.Cut(w.text, "=")
		k := findKey(keys, name)
		switch _, twice := seen[name]; {
		case !found || k == nil:
			p.addFault(w.column, fmt.Sprintf("%q is not a key of a %s rule", quotable(keys, w.text), head[0].text), "use "+listKeys(keys))
		case twice:
			p.addFault(w.column, fmt.Sprintf("key %s is given twice", name), "delete one of the two")
		default:
			seen[name] = w
			readValue(p, *k, w, value, record)
		}
	}
	for _, k := range keys {
		if _, ok := seen[k.name]; k.required && !ok {
			p.addFault(head[len(head)-1].column, "key "+k.name+" is missing", "add "+k.name+"="+k.example)
		}
	}
	return seen
}

// readValue parses the value of one pair into record.
func readValue[T any](p *parser, k key[T], w word, value string, record *T) {
	if k.parse(record, value) {
		return
	}
	problem := fmt.Sprintf("%s=%q is not %s", k.name, value, k.expected)
	if k.secret {
		problem = fmt.Sprintf("%s is not %s", k.name, k.expected)
	}
	p.addFault(w.column, problem, "for example, "+k.name+"="+k.example)
}

// quotable returns the part of a pair that a fault may quote. In a rule that holds secrets the
// value of an unknown key may be one.
func quotable[T any](keys []key[T], pair string) string {
	for _, k := range keys {
		if k.secret {
			name, _, _ := strings.Cut(pair, "=")
			return name
		}
	}
	return pair
}

// findKey returns the key with the given name, or nil.
func findKey[T any](keys []key[T], name string) *key[T] {
	for i := range keys {
		if keys[i].name == name {
			return &keys[i]
		}
	}
	return nil
}

// listKeys returns the names of keys for a message.
func listKeys[T any](keys []key[T]) string {
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = k.name
	}
	return strings.Join(names, ", ")
}
