package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/core/rules"
)

// Values of the flag --format.
const (
	formatText = "text"
	formatJSON = "json"
)

// loadSettings reads a file of settings and returns its faults. It is nil in a
// program that cannot read settings.
var loadSettings func(path string) ([]fault, error)

// checkFlags are the flags of the command check.
type checkFlags struct {
	settings string
	rules    string
	against  string
	format   string
}

// fault is one mistake in a file.
type fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
	Mend    string `json:"mend,omitempty"`
}

// String returns the fault as line:column: key: problem (mend).
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

// checkedFile is what was found in one file.
type checkedFile struct {
	File   string  `json:"file"`
	Faults []fault `json:"faults"`
}

// checkedValue is a key whose value would change.
type checkedValue struct {
	Key    string `json:"key"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// checkedEdit is one difference that new rules would make.
type checkedEdit struct {
	Kind   string         `json:"kind"`
	Action string         `json:"action"`
	Name   string         `json:"name,omitempty"`
	Values []checkedValue `json:"values,omitempty"`
	Routes []string       `json:"routes,omitempty"`
}

// checkReport is all that the command check prints.
type checkReport struct {
	Files []checkedFile `json:"files"`
	// Change is nil when there was nothing to compare with.
	Change []checkedEdit `json:"change,omitzero"`
}

// checkUsageError is a set of flags that leaves nothing to check.
type checkUsageError struct {
	problem string
}

// Error tells which flag is missing.
func (e *checkUsageError) Error() string { return "check: " + e.problem }

// badFilesError counts the faults that a check found.
type badFilesError struct {
	faults int
}

// Error tells the number of faults.
func (e *badFilesError) Error() string {
	if e.faults == 1 {
		return "check: 1 fault"
	}
	return fmt.Sprintf("check: %d faults", e.faults)
}

// registerCheck adds the command that checks settings and rules.
func registerCheck(a *kingpin.Application, s streams) {
	var f checkFlags
	c := a.Command("check", "Check settings and rules without starting anything. "+
		"Every fault is printed as file:line:column: problem (mend). "+
		"The exit status is 0 when all is well and 2 otherwise.\n\n"+
		"Example: bulrushlock check --rules new.txt --against rules.txt")
	c.Flag("settings", "The file of settings to check.").PlaceHolder("FILE").StringVar(&f.settings)
	c.Flag("rules", "The file of rules to check.").PlaceHolder("FILE").StringVar(&f.rules)
	c.Flag("against", "The file of rules in force; print what the new rules would change.").
		PlaceHolder("OLD").StringVar(&f.against)
	c.Flag("format", "Print text or json.").Default(formatText).EnumVar(&f.format, formatText, formatJSON)
	c.Action(func(*kingpin.ParseContext) error {
		return runCheck(f, s)
	})
}

// runCheck checks the files that f names and prints what it found.
func runCheck(f checkFlags, s streams) error {
	if f.settings == "" && f.rules == "" {
		return &checkUsageError{problem: "give --settings, --rules or both"}
	}
	if f.against != "" && f.rules == "" {
		return &checkUsageError{problem: "--against needs --rules"}
	}
	r, err := checkFiles(f)
	if err != nil {
		return err
	}
	if err := printCheck(r, f.format, s); err != nil {
		return &failedError{cause: err}
	}
	faults := 0
	for _, file := range r.Files {
		faults += len(file.Faults)
	}
	if faults > 0 {
		return &badFilesError{faults: faults}
	}
	return nil
}

// checkFiles reads the files that f names.
func checkFiles(f checkFlags) (checkReport, error) {
	r := checkReport{Files: []checkedFile{}}
	if f.settings != "" {
		if err := r.checkSettings(f.settings); err != nil {
			return r, err
		}
	}
	if f.rules == "" {
		return r, nil
	}
	after := r.checkRules(f.rules)
	if f.against == "" {
		return r, nil
	}
	before := r.checkRules(f.against)
	if before != nil && after != nil {
		r.Change = checkedEdits(rules.Compare(before, after))
	}
	return r, nil
}

// add records the faults of a file, which may be none.
func (r *checkReport) add(path string, faults ...fault) {
	r.Files = append(r.Files, checkedFile{File: path, Faults: append([]fault{}, faults...)})
}

// checkSettings records the faults of a file of settings.
func (r *checkReport) checkSettings(path string) error {
	if loadSettings == nil {
		return &failedError{cause: &checkUsageError{problem: "this program cannot read settings"}}
	}
	faults, err := loadSettings(path)
	if err != nil {
		faults = []fault{unreadable(err)}
	}
	r.add(path, faults...)
	return nil
}

// checkRules records the faults of a file of rules and returns the rules, or nil
// when they are not good.
func (r *checkReport) checkRules(path string) *rules.Set {
	text, err := os.ReadFile(path)
	if err != nil {
		r.add(path, unreadable(err))
		return nil
	}
	set, err := rules.Parse(string(text))
	r.add(path, ruleFaults(err)...)
	return set
}

// unreadable returns the fault of a file that cannot be read.
func unreadable(err error) fault {
	var path *fs.PathError
	if errors.As(err, &path) {
		err = path.Err
	}
	return fault{Line: 1, Column: 1, Problem: fmt.Sprintf("the file cannot be read: %v", err), Mend: "name a readable file"}
}

// ruleFaults returns the faults that the rules were refused for, which are none
// when err is nil.
func ruleFaults(err error) []fault {
	if err == nil {
		return nil
	}
	var bad *rules.FaultsError
	if !errors.As(err, &bad) {
		return []fault{{Line: 1, Column: 1, Problem: err.Error()}}
	}
	faults := make([]fault, len(bad.Faults))
	for i, f := range bad.Faults {
		faults[i] = fault{Line: f.Line, Column: f.Column, Problem: f.Problem, Mend: f.Mend}
	}
	return faults
}

// checkedEdits returns the form of a change that is printed.
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
	}
	writeEdits(&b, r.Change)
	_, err := fmt.Fprint(s.out, b.String())
	return err
}

// writeEdits writes what new rules would change, one edit a line.
func writeEdits(b *strings.Builder, edits []checkedEdit) {
	if edits == nil {
		return
	}
	if len(edits) == 0 {
		b.WriteString("no change\n")
	}
	for _, e := range edits {
		fmt.Fprintln(b, editLine(e))
	}
}

// editLine returns one edit as a line for people.
func editLine(e checkedEdit) string {
	words := []string{e.Action, kindName(e.Kind)}
	if e.Name != "" {
		words = append(words, e.Name)
	}
	line := strings.Join(words, " ")
	if e.Action == string(rules.ActionChange) {
		line += ":" + valuesText(e.Values)
	}
	if len(e.Routes) > 0 {
		line += "; its routes: " + strings.Join(e.Routes, ", ")
	}
	return line
}

// kindName returns the words for a kind of rule.
func kindName(kind string) string {
	if kind == string(rules.KindCentre) {
		return "data centre"
	}
	return kind
}

// valuesText returns the values of a changed rule, each after a space.
func valuesText(values []checkedValue) string {
	var b strings.Builder
	for _, v := range values {
		fmt.Fprintf(&b, " %s %s -> %s", v.Key, v.Before, v.After)
	}
	return b.String()
}
