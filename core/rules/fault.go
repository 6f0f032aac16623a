package rules

import (
	"cmp"
	"fmt"
	"slices"
)

// Fault is one mistake in a text of rules.
type Fault struct {
	// Line counts from 1.
	Line int
	// Column counts bytes of the line from 1.
	Column int
	// Problem tells what is wrong.
	Problem string
	// Mend tells what to write instead.
	Mend string
}

// String returns the fault as line:column: problem (mend).
func (f Fault) String() string {
	return fmt.Sprintf("%d:%d: %s (%s)", f.Line, f.Column, f.Problem, f.Mend)
}

// FaultsError is a text of rules that was not accepted.
type FaultsError struct {
	// Faults holds every fault of the text in the order of its lines. It is never empty.
	Faults []Fault
}

// Error names the first fault and the number of the others.
func (e *FaultsError) Error() string {
	if len(e.Faults) == 1 {
		return "rules: " + e.Faults[0].String()
	}
	return fmt.Sprintf("rules: %v and %d more", e.Faults[0], len(e.Faults)-1)
}

// sortFaults orders faults by their place in the text.
func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
