// Package reqlog sorts the log lines of all nodes about one request into causal order
// and explains how the request ended.
//
// The clocks of instances differ, so timestamps alone do not give the order. It follows
// from the kinds of the decisions: the entry selects a guard for an attempt before the
// guard decides on it, and the guard decides before the entry learns of the decision.
// Attempts of a request are ordered by number.
//
// # Usage
//
//	l := reqlog.New("9c41d07be2a35f68")
//	l.Add(line)
//	for _, d := range l.Decisions() {
//		fmt.Println(d)
//	}
//	fmt.Println(l.Cause())
package reqlog

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Decision is one logged decision about a request.
type Decision struct {
	Time time.Time
	// Kind is the kind of the decision, as in the message of the log line.
	Kind string
	// Attempt is the number of the attempt, or 0 if the decision is about the whole request.
	Attempt uint64
	// Facts holds the other fields of the log line.
	Facts map[string]any
	stage int
}

// Log collects the log lines about one request.
type Log struct {
	id        string
	decisions []Decision
}

// stages gives the causal order of the decisions about one attempt.
var stages = map[string]int{"held": 0, "placed": 0, "admitted": 1, "refused": 1, "served": 2, "broken": 3, "done": 3, "failed": 4, "gone": 4}

// New returns an empty log of the request with the given id.
func New(id string) *Log { return &Log{id: id} }

// Add adds a log line, which may have a prefix before its JSON object. It ignores lines
// about other requests and lines that are not decisions.
func (l *Log) Add(line string) {
	if !strings.Contains(line, l.id) {
		return
	}
	start := strings.IndexByte(line, '{')
	if start < 0 {
		return
	}
	var facts map[string]any
	if err := json.Unmarshal([]byte(line[start:]), &facts); err != nil || facts["id"] != l.id {
		return
	}
	kind, _ := facts["msg"].(string)
	stage, ok := stages[kind]
	if !ok {
		return
	}
	s := Decision{Kind: kind, Facts: facts, stage: stage}
	if text, ok := facts["time"].(string); ok {
		// A line with an invalid time is still added, with the zero time.
		s.Time, _ = time.Parse(time.RFC3339Nano, text)
	}
	if text, ok := facts["attempt"].(string); ok {
		_, number, _ := strings.Cut(text, ".")
		s.Attempt, _ = strconv.ParseUint(number, 16, 64)
	}
	for _, key := range []string{"time", "msg", "id", "level"} {
		delete(facts, key)
	}
	l.decisions = append(l.decisions, s)
}

// Decisions returns the decisions in causal order.
func (l *Log) Decisions() []Decision {
	decisions := slices.Clone(l.decisions)
	slices.SortStableFunc(decisions, func(a, b Decision) int {
		if end := cmp.Compare(endRank(a), endRank(b)); end != 0 {
			return end
		}
		return cmp.Or(cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.stage, b.stage), a.Time.Compare(b.Time))
	})
	return decisions
}

// endRank returns 1 for a decision that ends the request, which sorts last, and 0 otherwise.
func endRank(d Decision) int {
	if d.Attempt == 0 || d.Kind == "done" {
		return 1
	}
	return 0
}

// String returns the decision with its facts sorted by key.
func (d Decision) String() string {
	keys := make([]string, 0, len(d.Facts))
	for k := range d.Facts {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s", d.Time.Format("15:04:05.000"), d.Kind)
	for _, k := range keys {
		value, err := json.Marshal(d.Facts[k])
		if err != nil {
			continue
		}
		fmt.Fprintf(&b, " %s=%s", k, strings.Trim(string(value), `"`))
	}
	return b.String()
}

// reasonTexts maps the reasons in log lines to explanations.
var reasonTexts = map[string]string{
	"busy":       "rejected: no probed backend server had capacity in time",
	"shed":       "the backend server itself rejected it",
	"deadline":   "the deadline of the route or of the caller passed",
	"server":     "the backend server was unreachable, or is another incarnation than the listed one",
	"servers":    "no backend server of the service is listed",
	"unlisted":   "the guard's instance is not in the instance list",
	"leaving":    "the guard's instance is leaving",
	"out":        "the operator has taken the data centre or the instance out of service",
	"kind":       "the route is of a kind that cannot be served",
	"memory":     "the bodies of uploads took all the memory that they may",
	"rules":      "the entry had not loaded any rules yet",
	"route":      "no rule matches the request",
	"old":        "the rules of the node may be out of date, and nobody has confirmed them",
	"credential": "no customer holds the credential of the request",

	"body":   "the body is larger than the rule allows",
	"lost":   "the guard that held it restarted, so it may have run",
	"broken": "the connection broke after the request was sent, so it may have run",
	"life":   "the guard restarted before the attempt arrived",
	"gone":   "its sender disconnected",
}

// Cause returns a one-line explanation of how the request ended.
func (l *Log) Cause() string {
	decisions := l.Decisions()
	if len(decisions) == 0 {
		return "no log line mentions the request"
	}
	last := decisions[len(decisions)-1]
	switch last.Kind {
	case "done":
		return fmt.Sprintf("response from %v with status %v", last.Facts["guard"], last.Facts["status"])
	case "gone":
		return "the caller disconnected" + l.lastFailure(decisions)
	case "failed":
		reason, _ := last.Facts["reason"].(string)
		text, ok := reasonTexts[reason]
		if !ok {
			text = reason
		}
		return fmt.Sprintf("%v: %s%s", last.Facts["outcome"], text, l.lastFailure(decisions))
	}
	return "the log lines end before the request does" + l.lastFailure(decisions)
}

// lastFailure describes the last failed exchange, or returns an empty string if there
// was none.
func (l *Log) lastFailure(decisions []Decision) string {
	for _, s := range slices.Backward(decisions) {
		if s.Kind != "broken" && s.Kind != "served" {
			continue
		}
		if s.Kind == "served" && s.Facts["failure"] == "none" {
			continue
		}
		return fmt.Sprintf(" (attempt %x: %s)", s.Attempt, strings.TrimSpace(s.failureFacts()))
	}
	return ""
}

// failureFacts returns the most relevant facts of a failed exchange.
func (d Decision) failureFacts() string {
	var b strings.Builder
	for _, key := range []string{"guard", "verdict", "failure", "reason", "status", "spent_us"} {
		if v, ok := d.Facts[key]; ok && v != "" {
			fmt.Fprintf(&b, "%s=%v ", key, v)
		}
	}
	return b.String()
}
