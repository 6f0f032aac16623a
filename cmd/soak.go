package cmd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/io/soak"
)

// soakFlags are the flags of the command soak.
type soakFlags struct {
	seed  uint64
	runs  int
	nodes int
	time  time.Duration
	fresh time.Duration
}

// brokenSoakError tells that a soak has shown a promise that was not kept.
type brokenSoakError struct {
	seed   uint64
	broken []string
}

// Error names the seed and the first promise.
func (e *brokenSoakError) Error() string {
	return fmt.Sprintf("soak: seed %d: %d promises not kept, the first: %s", e.seed, len(e.broken), e.broken[0])
}

// registerSoak adds the command that runs real processes under faults.
func registerSoak(a *kingpin.Application, s streams) {
	var f soakFlags
	c := a.Command("soak", "Run a fleet of real processes on this machine, inject faults from outside them, and check "+
		"what must hold. A seed stands for a schedule of faults. It ends only processes that it has started. "+
		"The exit status is 0 when every promise was kept.\n\nExample: bulrushlock soak --seed 7 --nodes 6 --time 20s")
	c.Flag("seed", "The seed of the first run.").Default("1").Uint64Var(&f.seed)
	c.Flag("runs", "The number of runs, each with the next seed.").Default("1").IntVar(&f.runs)
	c.Flag("nodes", "The number of instances.").Default("6").IntVar(&f.nodes)
	c.Flag("time", "The time during which faults begin.").Default("10s").DurationVar(&f.time)
	c.Flag("fresh", "Run with fresh seeds for this long instead.").DurationVar(&f.fresh)
	c.Action(func(*kingpin.ParseContext) error { return runSoak(f, s) })
}

// runSoak runs the seeds that f names until one shows a promise that is not kept.
func runSoak(f soakFlags, s streams) error {
	program, err := os.Executable()
	if err != nil {
		return &failedError{cause: err}
	}
	began := time.Now()
	for i := 0; f.fresh > 0 && time.Since(began) < f.fresh || f.fresh == 0 && i < f.runs; i++ {
		seed := f.seed + uint64(i)
		if f.fresh > 0 {
			seed = rand.Uint64N(1 << 32)
		}
		r, err := soak.New(soak.Options{Program: program, Seed: seed, Nodes: f.nodes, Time: f.time, Out: s.out}).Run(context.Background())
		if err != nil {
			return &failedError{cause: err}
		}
		if _, err := fmt.Fprintln(s.out, r); err != nil {
			return &failedError{cause: err}
		}
		if !r.Kept() {
			return &failedError{cause: &brokenSoakError{seed: seed, broken: r.Broken}}
		}
	}
	return nil
}
