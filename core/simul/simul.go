// Package simul measures load balancing policies in a simulation with virtual time.
//
// A Scenario combines an offered load with a set of faults. A run simulates callers, entries,
// guards and backend servers, and uses the real selection policies, retry budget,
// concurrency limit and warm-up ramp. All random numbers come from one seed: equal
// arguments give equal results.
//
// # Usage
//
//	for _, s := range simul.Scenarios() {
//		r, err := s.Run(simul.Sizes()[0], "aware", simul.Options{Seed: 1})
//		if err != nil {
//			return err // a *simul.PolicyError
//		}
//		fmt.Println(r.Scenario, r.P99)
//	}
package simul

import "time"

// Scenario is an offered load with a set of faults.
type Scenario struct {
	Name string
	// Load is the offered load as a fraction of the capacity.
	Load float64
	// LoadSpikes adds recurring short spikes of three times the load.
	LoadSpikes bool
	// SlowServer makes one backend server ten times slower for a while.
	SlowServer bool
	// SlowDependency slows all backend servers down for a while, as a slow shared dependency
	// does.
	SlowDependency bool
	// ColdStarts makes one backend server cold repeatedly, without notice.
	ColdStarts bool
	// FailingServer makes one backend server fail every request immediately for a while.
	FailingServer bool
	// CentreOutage takes a data centre out of service and brings it back.
	CentreOutage bool
	// SlowCentre makes all backend servers of one data centre slower for a while.
	SlowCentre bool
	// Wave is the swing of the load of each data centre around its mean, as a fraction. The waves
	// pass through the data centres one after the other.
	Wave float64
	// NoisyNeighbours slows random backend servers down for short times, as noisy neighbours do.
	NoisyNeighbours bool
	// ReportDelay is the delay with which load reports reach the entry.
	ReportDelay time.Duration
}

// Size describes a fleet.
type Size struct {
	Name    string
	Centres int
	// Delay is the one-way delay between data centres.
	Delay time.Duration
	// Services is the number of backend servers of each service.
	Services []int
	// Placed is the number of backend servers of each service in each data centre; if it is nil,
	// they are spread evenly.
	Placed [][]int
	// Slots is the number of requests that a backend server runs concurrently.
	Slots int
	// Stretch is a factor on all service times and on the default queue timeout; 0 means 1.
	Stretch float64
}

// Scenarios returns the scenarios in the order in which reports list them.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady-50", Load: 0.5},
		{Name: "steady-70", Load: 0.7},
		{Name: "steady-90", Load: 0.9},
		{Name: "steady-110", Load: 1.1},
		{Name: "jump", Load: 0.4, LoadSpikes: true},
		{Name: "slow", Load: 0.6, SlowServer: true},
		{Name: "shared", Load: 0.3, SlowDependency: true},
		{Name: "cold", Load: 0.6, ColdStarts: true},
		{Name: "fail", Load: 0.6, FailingServer: true},
		{Name: "noise", Load: 0.6, NoisyNeighbours: true},
		{Name: "centre", Load: 0.4, CentreOutage: true},
		{Name: "late-10ms", Load: 0.7, ReportDelay: 10 * time.Millisecond},
		{Name: "late-100ms", Load: 0.7, ReportDelay: 100 * time.Millisecond},
		{Name: "late-1s", Load: 0.7, ReportDelay: time.Second},
		{
			Name: "everything", Load: 0.3, LoadSpikes: true, SlowServer: true, ColdStarts: true, FailingServer: true,
			CentreOutage: true, NoisyNeighbours: true, ReportDelay: 100 * time.Millisecond,
		},
	}
}

// Sizes returns the fleet sizes in the order in which reports list them.
func Sizes() []Size {
	return []Size{
		{Name: "bagmati", Centres: 3, Delay: time.Millisecond, Services: []int{6, 4, 3}, Slots: 10},
		{Name: "cairnstane", Centres: 3, Delay: 500 * time.Microsecond, Services: []int{6, 4, 3}, Slots: 20},
	}
}
