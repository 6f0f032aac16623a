package cmd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
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

// soakInvariantError is returned if a run violated an invariant.
type soakInvariantError struct {
	seed       uint64
	violations []string
}

// Error returns a message with the seed, the number of violations and the first of them.
func (e *soakInvariantError) Error() string {
	return fmt.Sprintf("soak: seed %d: %d invariant violations, the first: %s", e.seed, len(e.violations), e.violations[0])
}

// registerSoak adds the command that tests real processes under fault injection.
func registerSoak(a *kingpin.Application, s streams) {
	var f soakFlags
	c := a.Command("soak", "Run a fleet of real processes on this machine, inject faults from outside the processes, and check "+
		"invariants. A seed determines the schedule of faults. It ends only processes that it has started. "+
		"The exit status is 0 when every invariant held.\n\nExample: bulrushlock soak --seed 7 --nodes 6 --time 20s")
	c.Flag("seed", "The seed of the first run.").Default("1").Uint64Var(&f.seed)
	c.Flag("runs", "The number of runs, each with the next seed.").Default("1").IntVar(&f.runs)
	c.Flag("nodes", "The number of instances.").Default("6").IntVar(&f.nodes)
	c.Flag("time", "The period in which faults begin.").Default("10s").DurationVar(&f.time)
	c.Flag("fresh", "Run with random seeds for this long; --seed and --runs are ignored.").DurationVar(&f.fresh)
	c.Action(func(*kingpin.ParseContext) error { return runSoak(f, s) })
}

// runSoak runs the seeds that f selects and stops at the first run that violates an
// invariant.
func runSoak(f soakFlags, s streams) error {
	program, err := os.Executable()
	if err != nil {
		return &failedError{cause: err}
	}
	// The processes of a run have groups of their own, so that a signal from a terminal reaches
	// this process only, which must end them.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	began := time.Now()
	for i := 0; f.fresh > 0 && time.Since(began) < f.fresh || f.fresh == 0 && i < f.runs; i++ {
		seed := f.seed + uint64(i)
		if f.fresh > 0 {
			seed = rand.Uint64N(1 << 32)
		}
		r, err := soak.New(soak.Options{Program: program, Seed: seed, Nodes: f.nodes, Duration: f.time, Out: s.out}).Run(ctx)
		if err != nil {
			return &failedError{cause: err}
		}
		if _, err := fmt.Fprintln(s.out, r); err != nil {
			return &failedError{cause: err}
		}
		if !r.Passed() {
			return &failedError{cause: &soakInvariantError{seed: seed, violations: r.Violations}}
		}
	}
	return nil
}
