// Package trail puts the log lines of many nodes about one request into the order in
// which they caused each other, and names the cause of its end.
//
// The clocks of instances differ, so times alone do not tell the order. An attempt is
// placed by its entry before its guard decides on it, and the guard before the entry
// learns of it; attempts of a request follow each other by their number.
//
// # Usage
//
//	t := trail.New("9c41d07be2a35f68")
//	t.Add(line)
//	for _, s := range t.Steps() {
//		fmt.Println(s.Time, s.Kind, s.Text)
//	}
//	fmt.Println(t.Cause())
package trail

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Step is one decision on the way of a request.
type Step struct {
	Time time.Time
	// Kind is the kind of the decision, as in the log.
	Kind string
	// Attempt is the number of the attempt, or 0 for the whole request.
	Attempt uint64
	// Facts holds the other fields of the line.
	Facts map[string]any
	order int
}

// Trail gathers the lines about one request.
type Trail struct {
	id    string
	steps []Step
}

// stages orders the decisions on one attempt.
var stages = map[string]int{"placed": 0, "admitted": 1, "refused": 1, "served": 2, "broken": 3, "done": 3, "failed": 4, "gone": 4}

// New returns a trail of the request of the given id without lines.
func New(id string) *Trail { return &Trail{id: id} }

// Add takes a line of a log, which may have a prefix before its JSON. Lines about
// other requests, and those that are no decision, are passed over.
func (t *Trail) Add(line string) {
	if !strings.Contains(line, t.id) {
		return
	}
	start := strings.IndexByte(line, '{')
	if start < 0 {
		return
	}
	var facts map[string]any
	if err := json.Unmarshal([]byte(line[start:]), &facts); err != nil || facts["id"] != t.id {
		return
	}
	kind, _ := facts["msg"].(string)
	stage, ok := stages[kind]
	if !ok {
		return
	}
	s := Step{Kind: kind, Facts: facts, order: stage}
	if text, ok := facts["time"].(string); ok {
		// A line whose time cannot be read is still a step.
		s.Time, _ = time.Parse(time.RFC3339Nano, text)
	}
	if text, ok := facts["attempt"].(string); ok {
		_, number, _ := strings.Cut(text, ".")
		s.Attempt, _ = strconv.ParseUint(number, 16, 64)
	}
	for _, key := range []string{"time", "msg", "id", "level"} {
		delete(facts, key)
	}
	t.steps = append(t.steps, s)
}

// Steps returns the decisions in their order.
func (t *Trail) Steps() []Step {
	steps := slices.Clone(t.steps)
	slices.SortStableFunc(steps, func(a, b Step) int {
		if end := cmp.Compare(endOf(a), endOf(b)); end != 0 {
			return end
		}
		return cmp.Or(cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.order, b.order), a.Time.Compare(b.Time))
	})
	return steps
}

// endOf returns 1 for a decision that ends the request, which comes last.
func endOf(s Step) int {
	if s.Attempt == 0 || s.Kind == "done" {
		return 1
	}
	return 0
}

// String returns the decision with its facts in the order of their names.
func (s Step) String() string {
	keys := make([]string, 0, len(s.Facts))
	for k := range s.Facts {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s", s.Time.Format("15:04:05.000"), s.Kind)
	for _, k := range keys {
		value, err := json.Marshal(s.Facts[k])
		if err != nil {
			continue
		}
		fmt.Fprintf(&b, " %s=%s", k, strings.Trim(string(value), `"`))
	}
	return b.String()
}

// causes explains the reasons that lines give.
var causes = map[string]string{
	"busy":     "turned away: no surveyed backend server had room in time",
	"shed":     "the backend server itself refused it",
	"deadline": "the time limit of the route or of the caller ran out",
	"server":   "the backend server could not be reached, or is another life than the listed one",
	"servers":  "no backend server of the service is listed",
	"unlisted": "the list of instances does not name the guard's instance",
	"leaving":  "the guard's instance leaves",
	"out":      "the operator has taken the data centre or the instance out",
	"rules":    "the entry held no rules yet",
	"route":    "no rule matches the request",
	"body":     "the body is larger than the rule allows",
	"lost":     "the guard that held it was started again, so that it may have run",
	"broken":   "the connection broke after the request was sent, so that it may have run",
	"life":     "the guard was started again before the attempt arrived",
	"gone":     "its sender went away",
}

// Cause tells in one line why the request ended as it did.
func (t *Trail) Cause() string {
	steps := t.Steps()
	if len(steps) == 0 {
		return "no line tells of the request"
	}
	last := steps[len(steps)-1]
	switch last.Kind {
	case "done":
		return fmt.Sprintf("answered by %v with status %v", last.Facts["guard"], last.Facts["status"])
	case "gone":
		return "its caller left" + t.slowest(steps)
	case "failed":
		reason, _ := last.Facts["reason"].(string)
		text, ok := causes[reason]
		if !ok {
			text = reason
		}
		return fmt.Sprintf("%v: %s%s", last.Facts["outcome"], text, t.slowest(steps))
	}
	return "the lines end before the request does" + t.slowest(steps)
}

// slowest names the guard at which the last attempt waited for its backend server.
func (t *Trail) slowest(steps []Step) string {
	for _, s := range slices.Backward(steps) {
		if s.Kind != "broken" && s.Kind != "served" {
			continue
		}
		if s.Kind == "served" && s.Facts["failure"] == "none" {
			continue
		}
		return fmt.Sprintf(" (attempt %x: %s)", s.Attempt, strings.TrimSpace(s.brief()))
	}
	return ""
}

// brief returns the facts of a failed exchange that tell most.
func (s Step) brief() string {
	var b strings.Builder
	for _, key := range []string{"guard", "verdict", "failure", "reason", "status", "spent_us"} {
		if v, ok := s.Facts[key]; ok && v != "" {
			fmt.Fprintf(&b, "%s=%v ", key, v)
		}
	}
	return b.String()
}
