package cmd

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"bulrushlock/core/creds"
	"bulrushlock/core/lint"
	"bulrushlock/core/rules"
)

// Values of the flag --format.
const (
	formatText = "text"
	formatJSON = "json"
)

// fault is one problem in a file.
type fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
	Mend    string `json:"mend,omitempty"`
}

// String returns the fault as line:column: key: problem (fix).
func (f fault) String() string {
	text := f.Problem
	if f.Key != "" {
		text = f.Key + ": " + text
	}
	if f.Mend != "" {
		text += " (" + f.Mend + ")"
	}
	return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, text)
}

// checkedFile is the result for one file.
type checkedFile struct {
	File   string  `json:"file"`
	Faults []fault `json:"faults"`
	// Warnings are about valid rules that cannot do what they say.
	Warnings []fault `json:"warnings,omitempty"`
}

// checkedValue is a key whose value would change.
type checkedValue struct {
	Key    string `json:"key"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// checkedEdit is one change that the new rules would make.
type checkedEdit struct {
	Kind   string         `json:"kind"`
	Action string         `json:"action"`
	Name   string         `json:"name,omitempty"`
	Values []checkedValue `json:"values,omitempty"`
	Routes []string       `json:"routes,omitempty"`
}

// checkReport is the output of the command check.
type checkReport struct {
	Files []checkedFile `json:"files"`
	// Change is nil if there are no rules to compare with, or if either file is invalid.
	Change []checkedEdit `json:"change,omitzero"`
}

// add records the faults of a file; there may be none.
func (r *checkReport) add(path string, faults ...fault) {
	r.Files = append(r.Files, checkedFile{File: path, Faults: append([]fault{}, faults...)})
}

// warn adds the warnings about the rules in a file that has no faults, which was added last.
func (r *checkReport) warn(s *rules.Set) {
	last := &r.Files[len(r.Files)-1]
	for _, w := range lint.Check(s) {
		last.Warnings = append(last.Warnings, fault{Line: w.Line, Column: 1, Problem: w.Problem, Mend: w.Fix})
	}
}

// checkedEdits converts a change to its output form.
func checkedEdits(c rules.Change) []checkedEdit {
	edits := []checkedEdit{}
	for _, e := range c.Edits {
		edit := checkedEdit{Kind: string(e.Kind), Action: string(e.Action), Name: e.Name, Routes: e.Routes}
		for _, v := range e.Values {
			edit.Values = append(edit.Values, checkedValue(v))
		}
		edits = append(edits, edit)
	}
	return edits
}

// printCheck prints r in the given format.
func printCheck(r checkReport, format string, s streams) error {
	if format == formatJSON {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		e.SetEscapeHTML(false)
		return e.Encode(r)
	}
	var b strings.Builder
	for _, file := range r.Files {
		if len(file.Faults) == 0 {
			fmt.Fprintf(&b, "%s: good\n", file.File)
		}
		for _, f := range file.Faults {
			fmt.Fprintf(&b, "%s:%v\n", file.File, f)
		}
		for _, w := range file.Warnings {
			fmt.Fprintf(&b, "%s:%d: warning: %s (%s)\n", file.File, w.Line, w.Problem, w.Mend)
		}
	}
	writeEdits(&b, r.Change)
	_, err := fmt.Fprint(s.out, b.String())
	return err
}

// writeEdits writes what the new rules would change, one edit per line.
func writeEdits(b *strings.Builder, edits []checkedEdit) {
	if edits == nil {
		return
	}
	if len(edits) == 0 {
		b.WriteString("no change\n")
	}
	for _, e := range edits {
		fmt.Fprintln(b, formatEdit(e))
	}
}

// formatEdit formats one edit as a line of text.
func formatEdit(e checkedEdit) string {
	words := []string{e.Action, kindName(e.Kind)}
	if e.Name != "" {
		words = append(words, e.Name)
	}
	line := strings.Join(words, " ")
	if e.Action == string(rules.ActionChange) {
		line += ":" + formatValues(e.Values)
	}
	if len(e.Routes) > 0 {
		line += "; its routes: " + strings.Join(e.Routes, ", ")
	}
	return line
}

// kindName returns the name of a kind of rule in text output.
func kindName(kind string) string {
	if kind == string(rules.KindCentre) {
		return "data centre"
	}
	return kind
}

// formatDigests formats what changes in a list of digests: the start of each added or removed one.
func formatDigests(v checkedValue) string {
	before, after := strings.Split(v.Before, ","), strings.Split(v.After, ",")
	var b strings.Builder
	for _, digest := range after {
		if !slices.Contains(before, digest) {
			b.WriteString(" +" + creds.Short(digest))
		}
	}
	for _, digest := range before {
		if !slices.Contains(after, digest) {
			b.WriteString(" -" + creds.Short(digest))
		}
	}
	return b.String()
}

// formatValues formats the values of a changed rule, each preceded by a space.
func formatValues(values []checkedValue) string {
	var b strings.Builder
	for _, v := range values {
		if v.Key == rules.KeyDigests {
			b.WriteString(" " + v.Key + formatDigests(v))
			continue
		}
		fmt.Fprintf(&b, " %s %s -> %s", v.Key, v.Before, v.After)
	}
	return b.String()
}
