package rules

import (
	"cmp"
	"fmt"
	"slices"
)

// Fault is one error in a rules text.
type Fault struct {
	// Line is the line number, starting at 1.
	Line int
	// Column is the byte position in the line, starting at 1.
	Column int
	// Problem describes the error.
	Problem string
	// Fix describes the correction.
	Fix string
}

// String returns the fault as line:column: problem (fix).
func (f Fault) String() string {
	return fmt.Sprintf("%d:%d: %s (%s)", f.Line, f.Column, f.Problem, f.Fix)
}

// FaultsError reports that a rules text is invalid.
type FaultsError struct {
	// Faults holds all faults of the text, ordered by position. It is never empty.
	Faults []Fault
}

// Error returns a message with the first fault and the number of further ones.
func (e *FaultsError) Error() string {
	if len(e.Faults) == 1 {
		return "rules: " + e.Faults[0].String()
	}
	return fmt.Sprintf("rules: %v and %d more", e.Faults[0], len(e.Faults)-1)
}

// sortFaults orders faults by their position in the text.
func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
