package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bulrushlock/io/fake"
)

// faultKind is a kind of fault.
type faultKind int

// Kinds of faults. The order is part of the schedule that a seed yields.
const (
	pauseNode faultKind = iota
	killNode
	stopNode
	reloadNode
	disturbNode
	disturbPlatform
	slowServer
	pauseServer
	evacuateCentre
	// kindCount is the number of kinds that are drawn for the faults of a schedule. Kinds
	// after it have a number of faults of their own, which are drawn separately, so that
	// the other faults of a seed stay as they were.
	kindCount
	floodServer
	returnPlatform
)

// String returns the name of the kind.
func (k faultKind) String() string {
	return [...]string{
		"pause node", "kill node", "stop node", "re-read settings", "trouble before node", "trouble before platform",
		"slow server", "pause server", "take data centre out", "", "endless bytes of server", "older copy of platform",
	}[k]
}

// fault is one scheduled fault.
type fault struct {
	at     time.Duration
	length time.Duration
	kind   faultKind
	// target is the index of an instance; modulo the number of data centres it also
	// selects a data centre.
	target int
	mode   proxyMode
	// flood is the kind of endless bytes of a floodServer fault.
	flood string
}

// String returns a one-line description of the fault.
func (f fault) String() string {
	if f.kind == floodServer {
		return fmt.Sprintf("%7v %v %d kind %s for %v", f.at.Round(time.Millisecond), f.kind, f.target, f.flood, f.length.Round(time.Millisecond))
	}
	return fmt.Sprintf("%7v %v %d mode %d for %v", f.at.Round(time.Millisecond), f.kind, f.target, f.mode, f.length.Round(time.Millisecond))
}

const (
	// faultsPerSecond is the mean number of faults that begin each second. Faults overlap.
	faultsPerSecond = 1.5
	// floodsPerSecond is the mean number of faults of kind floodServer that begin each second, and
	// returnsPerSecond that of kind returnPlatform.
	floodsPerSecond  = 0.25
	returnsPerSecond = 0.25
	// minFaultTime and maxFaultTime bound the length of a fault.
	minFaultTime = 200 * time.Millisecond
	maxFaultTime = 3 * time.Second
)

// newSchedule returns the faults of a seed in order of time. The same arguments
// always yield the same faults.
func newSchedule(seed uint64, instances int, length time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed))
	plan := make([]fault, int(faultsPerSecond*length.Seconds()))
	for i := range plan {
		plan[i] = fault{
			at:     time.Duration(r.Int64N(int64(length))),
			length: minFaultTime + time.Duration(r.Int64N(int64(maxFaultTime-minFaultTime))),
			kind:   faultKind(r.IntN(int(kindCount))),
			target: r.IntN(instances),
			mode:   proxyMode(1 + r.IntN(int(modeCount)-1)),
		}
	}
	r = rand.New(rand.NewPCG(seed, ^seed))
	for range int(floodsPerSecond * length.Seconds()) {
		plan = append(plan, fault{
			at:     time.Duration(r.Int64N(int64(length))),
			length: minFaultTime + time.Duration(r.Int64N(int64(maxFaultTime-minFaultTime))),
			kind:   floodServer,
			target: r.IntN(instances),
			flood:  fake.FloodKinds()[r.IntN(len(fake.FloodKinds()))],
		})
	}
	r = rand.New(rand.NewPCG(^seed, seed))
	for range int(returnsPerSecond * length.Seconds()) {
		plan = append(plan, fault{
			at:     time.Duration(r.Int64N(int64(length))),
			length: minFaultTime + time.Duration(r.Int64N(int64(maxFaultTime-minFaultTime))),
			kind:   returnPlatform,
		})
	}
	slices.SortFunc(plan, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return plan
}
