package cmd

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/core/rules"
	"bulrushlock/io/conf"
)

// checkFlags are the flags of the command check.
type checkFlags struct {
	settings string
	rules    string
	against  string
	format   string
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
	r := checkFiles(f)
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
func checkFiles(f checkFlags) checkReport {
	r := checkReport{Files: []checkedFile{}}
	var after, before *rules.Set
	if f.rules != "" {
		after = r.checkRules(f.rules)
	}
	if f.against != "" {
		before = r.checkRules(f.against)
	}
	if f.settings != "" {
		r.checkSettings(f.settings, after)
	}
	if before != nil && after != nil {
		r.Change = checkedEdits(rules.Compare(before, after))
	}
	return r
}

// checkSettings records the faults of a file of settings. The service that good
// settings name must be one of set, unless set is nil.
func (r *checkReport) checkSettings(path string, set *rules.Set) {
	settings, err := conf.Load(path)
	if err != nil {
		r.add(path, settingsFaults(err)...)
		return
	}
	var faults []fault
	if set != nil {
		faults = serviceFaults(settings.Service, set)
	}
	r.add(path, faults...)
}

// settingsFaults returns the faults that settings were refused for.
func settingsFaults(err error) []fault {
	var bad *conf.FaultsError
	if !errors.As(err, &bad) {
		return []fault{unreadable(err)}
	}
	faults := make([]fault, len(bad.Faults))
	for i, f := range bad.Faults {
		faults[i] = fault{Line: f.Line, Column: f.Column, Key: f.Key, Problem: f.Problem}
	}
	return faults
}

// serviceFaults returns the fault of settings whose service is not one of set.
func serviceFaults(service string, set *rules.Set) []fault {
	if _, ok := set.Service(service); ok {
		return nil
	}
	return []fault{{
		Line:    1,
		Column:  1,
		Key:     "service",
		Problem: fmt.Sprintf("no rule describes service %s", service),
		Mend:    "add a service rule for it or name another service",
	}}
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
