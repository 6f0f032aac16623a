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

// checkUsageError is returned for a combination of flags that cannot be checked.
type checkUsageError struct {
	problem string
}

// Error says which flag is missing.
func (e *checkUsageError) Error() string { return "check: " + e.problem }

// faultsError is returned if a check found faults.
type faultsError struct {
	faults int
}

// Error returns a message with the number of faults.
func (e *faultsError) Error() string {
	if e.faults == 1 {
		return "check: 1 fault"
	}
	return fmt.Sprintf("check: %d faults", e.faults)
}

// registerCheck adds the command that validates settings and rules.
func registerCheck(a *kingpin.Application, s streams) {
	var f checkFlags
	c := a.Command("check", "Validate settings and rules without starting anything. "+
		"Every fault is printed as file:line:column: problem (fix). "+
		"Rules that are valid and cannot do what they say get a warning. "+
		"The exit status is 0 when there are no faults and 2 otherwise.\n\n"+
		"Example: bulrushlock check --rules new.txt --against rules.txt")
	c.Flag("settings", "The settings file to check.").PlaceHolder("FILE").StringVar(&f.settings)
	c.Flag("rules", "The rules file to check.").PlaceHolder("FILE").StringVar(&f.rules)
	c.Flag("against", "The rules file in force; print what the new rules would change.").
		PlaceHolder("OLD").StringVar(&f.against)
	c.Flag("format", "Print text or json.").Default(formatText).EnumVar(&f.format, formatText, formatJSON)
	c.Action(func(*kingpin.ParseContext) error {
		return runCheck(f, s)
	})
}

// runCheck checks the files that f names and prints the result.
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
		return &faultsError{faults: faults}
	}
	return nil
}

// checkFiles checks the files that f names and compares the rules.
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

// checkSettings records the faults of a settings file. The service of valid settings
// must be defined in set, unless set is nil.
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

// settingsFaults converts an error of conf.Load to faults.
func settingsFaults(err error) []fault {
	var bad *conf.FaultsError
	if !errors.As(err, &bad) {
		return []fault{unreadableFault(err)}
	}
	faults := make([]fault, len(bad.Faults))
	for i, f := range bad.Faults {
		faults[i] = fault{Line: f.Line, Column: f.Column, Key: f.Key, Problem: f.Problem}
	}
	return faults
}

// serviceFaults returns a fault if set does not define the service of the settings.
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

// checkRules records the faults of a rules file and returns the rules, or nil if they
// are invalid.
func (r *checkReport) checkRules(path string) *rules.Set {
	text, err := os.ReadFile(path)
	if err != nil {
		r.add(path, unreadableFault(err))
		return nil
	}
	set, err := rules.Parse(string(text))
	r.add(path, ruleFaults(err)...)
	if err == nil {
		r.warn(set)
	}
	return set
}

// unreadableFault returns the fault of a file that cannot be read.
func unreadableFault(err error) fault {
	var path *fs.PathError
	if errors.As(err, &path) {
		err = path.Err
	}
	return fault{Line: 1, Column: 1, Problem: fmt.Sprintf("the file cannot be read: %v", err), Mend: "name a readable file"}
}

// ruleFaults converts an error of rules.Parse to faults; there are none if err is nil.
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
		faults[i] = fault{Line: f.Line, Column: f.Column, Problem: f.Problem, Mend: f.Fix}
	}
	return faults
}
