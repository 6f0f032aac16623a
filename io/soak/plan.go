package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault.
type kind int

// The kinds of faults.
const (
	pauseNode kind = iota
	killNode
	stopNode
	rereadNode
	troubleNode
	troublePlatform
	slowServer
	pauseServer
	outCentre
	kinds
)

// String returns the name of the kind.
func (k kind) String() string {
	return [...]string{
		"pause node", "kill node", "stop node", "re-read settings", "trouble before node", "trouble before platform",
		"slow server", "pause server", "take data centre out",
	}[k]
}

// fault is one fault of a run.
type fault struct {
	at     time.Duration
	length time.Duration
	kind   kind
	// target is the number of an instance or of a data centre.
	target int
	mode   mode
}

// String returns a line that tells of the fault.
func (f fault) String() string {
	return fmt.Sprintf("%7v %v %d mode %d for %v", f.at.Round(time.Millisecond), f.kind, f.target, f.mode, f.length.Round(time.Millisecond))
}

const (
	// faultsPerSecond is the mean number of faults a second, which overlap.
	faultsPerSecond = 1.5
	// shortest and longest bound the length of a fault.
	shortest = 200 * time.Millisecond
	longest  = 3 * time.Second
)

// planOf returns the faults that a seed stands for: the same ones in every run.
func planOf(seed uint64, instances int, length time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed))
	plan := make([]fault, int(faultsPerSecond*length.Seconds()))
	for i := range plan {
		plan[i] = fault{
			at:     time.Duration(r.Int64N(int64(length))),
			length: shortest + time.Duration(r.Int64N(int64(longest-shortest))),
			kind:   kind(r.IntN(int(kinds))),
			target: r.IntN(instances),
			mode:   mode(1 + r.IntN(int(modes)-1)),
		}
	}
	slices.SortFunc(plan, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return plan
}
