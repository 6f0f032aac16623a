package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bulrushlock/core/simul"
)

// defaultQueue is the default of the flag queue.
const defaultQueue = 5 * time.Millisecond

// measureFlags are the flags of the command measure.
type measureFlags struct {
	scenario string
	size     string
	policy   string
	seed     uint64
	length   time.Duration
	queue    time.Duration
	plain    bool
	format   string
	plot     string
	crossing bool
}

// noRunsError is returned if the flags match no scenario, size or policy.
type noRunsError struct {
	flagValues string
}

// Error returns a message with the values of the flags.
func (e *noRunsError) Error() string {
	return fmt.Sprintf("no run matches the size, scenario and policy %q", e.flagValues)
}

// registerMeasure adds the command that compares policies in virtual time.
func registerMeasure(a *kingpin.Application, s streams) {
	var f measureFlags
	c := a.Command("measure", "Compare the policies for selecting a backend server in a simulation with virtual time.")
	c.Flag("scene", "Run only this scenario.").StringVar(&f.scenario)
	c.Flag("size", "Run only this fleet size.").StringVar(&f.size)
	c.Flag("policy", "Run only this policy.").StringVar(&f.policy)
	c.Flag("seed", "Seed of all randomness.").Default("1").Uint64Var(&f.seed)
	c.Flag("length", "Virtual length of a run.").Default("4s").DurationVar(&f.length)
	c.Flag("queue", "Longest wait time at a guard; 0 or less rejects at once.").Default(defaultQueue.String()).DurationVar(&f.queue)
	c.Flag("plain", "Let guards admit by slots only, without the adaptive limit and the warm-up ramp.").BoolVar(&f.plain)
	c.Flag("crossing", "Compare the policies for leaving a data centre instead.").BoolVar(&f.crossing)
	c.Flag("format", "Format of the results.").Default("text").EnumVar(&f.format, "text", "json")
	c.Flag("plot", "File for a plot of the results (SVG).").StringVar(&f.plot)
	c.Action(func(*kingpin.ParseContext) error {
		return runMeasure(f, s.out)
	})
}

// runMeasure runs the scenarios that the flags select and prints the results.
func runMeasure(f measureFlags, out io.Writer) error {
	runs, err := f.runs()
	if err != nil {
		return err
	}
	results, err := runAll(runs)
	if err != nil {
		return &failedError{cause: err}
	}
	if f.plot != "" {
		if err := plotResults(f.plot, results); err != nil {
			return &failedError{cause: err}
		}
	}
	if f.format == "json" {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		err = e.Encode(results)
	} else {
		err = f.print(out, results)
	}
	if err != nil {
		return &failedError{cause: err}
	}
	return nil
}

// run is one simulation run.
type run struct {
	scenario simul.Scenario
	size     simul.Size
	policy   string
	options  simul.Options
}

// runs returns the runs that the flags select. It fails with a *noRunsError if there are
// none.
func (f measureFlags) runs() ([]run, error) {
	options := simul.Options{Seed: f.seed, Length: f.length, QueueTimeout: f.queue, SlotsOnly: f.plain}
	// In simul.Options, zero selects the default and a negative value rejects at once.
	if f.queue == 0 {
		options.QueueTimeout = -1
	}
	// The default wait time depends on the size, which may stretch all service times.
	if f.queue == defaultQueue {
		options.QueueTimeout = 0
	}
	sizes, scenarios, policies := simul.Sizes(), simul.Scenarios(), simul.Policies()
	if f.crossing {
		sizes, scenarios, policies = []simul.Size{simul.CrossingSize()}, simul.CrossingScenarios(), simul.CrossingPolicies()
	}
	var runs []run
	for _, size := range sizes {
		for _, s := range scenarios {
			for _, p := range policies {
				if matches(f.size, size.Name) && matches(f.scenario, s.Name) && matches(f.policy, p) {
					runs = append(runs, run{scenario: s, size: size, policy: p, options: options})
				}
			}
		}
	}
	if len(runs) == 0 {
		return nil, &noRunsError{flagValues: f.size + " " + f.scenario + " " + f.policy}
	}
	return runs, nil
}

// matches reports whether a flag selects name; an empty flag selects everything.
func matches(flag, name string) bool { return flag == "" || flag == name }

// runAll executes the runs in parallel, on half of the available CPUs, and returns their
// results in order.
func runAll(runs []run) ([]simul.Result, error) {
	results := make([]simul.Result, len(runs))
	errs := make([]error, len(runs))
	next := make(chan int)
	var group sync.WaitGroup
	for range max(runtime.GOMAXPROCS(0)/2, 1) {
		group.Go(func() {
			for i := range next {
				r := runs[i]
				results[i], errs[i] = r.scenario.Run(r.size, r.policy, r.options)
			}
		})
	}
	for i := range runs {
		next <- i
	}
	close(next)
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// print prints the results in the columns that suit the policies.
func (f measureFlags) print(out io.Writer, results []simul.Result) error {
	if f.crossing {
		return printCrossings(out, results)
	}
	return printResults(out, results)
}

// printCrossings prints one line per result of a policy for leaving a data centre.
func printCrossings(out io.Writer, results []simul.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "scene\tpolicy\ttimely reads %\ttimely writes %\tsuccess %\tp50 ms\tp99 ms\tleft %\tcrossed MB\tprobes\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t\n",
			r.Scenario, r.Policy, 100*r.OnTime[0], 100*r.OnTime[1], 100*r.SuccessRatio, milliseconds(r.P50), milliseconds(r.P99),
			100*float64(r.Crossings)/float64(max(r.Offered, 1)), float64(r.CrossBytes)/1e6, r.Probes)
	}
	return w.Flush()
}

// printResults prints one line per result.
func printResults(out io.Writer, results []simul.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "size\tscene\tpolicy\tp50 ms\tp99 ms\tp99.9 ms\twait ms\tgood/s\tsuccess %\t"+
		"refused\tunknown\tretries\tprobes\toverload\tblind\texcess\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.3f\t%d\t%d\t%.3f\t%.2f\t%.2f\t%d\t%d\t\n",
			r.Size, r.Scenario, r.Policy, milliseconds(r.P50), milliseconds(r.P99), milliseconds(r.P999),
			milliseconds(r.Overhead),
			r.Goodput, 100*r.SuccessRatio, r.Rejected, r.Unknown, r.Retries, r.Probes, r.PeakLoad, r.ExcessBeforeDetection, r.ExcessAfterDetection)
	}
	return w.Flush()
}

// milliseconds converts d to milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
