// Package scene measures the policies of the picker in virtual time.
//
// A Scene is a load and a set of faults. A run of it drives small stand-ins of
// backend servers through the real picker, retry budget, adaptive limit and ramp.
// All randomness comes from a seed: equal arguments give equal results.
//
// # Usage
//
//	for _, s := range scene.All() {
//		r, err := s.Run(scene.Sizes()[0], "aware", scene.Options{Seed: 1})
//		if err != nil {
//			return err // a *scene.PolicyError
//		}
//		fmt.Println(r.Scene, r.P99)
//	}
package scene

import "time"

// Scene is a load and the faults that meet it.
type Scene struct {
	Name string
	// Load is the offered load as a share of the capacity.
	Load float64
	// Jump makes the load three times as high for a moment, again and again.
	Jump bool
	// Slow slows one backend server down ten times for a while.
	Slow bool
	// Shared slows all backend servers down for a while, as a dependency that they
	// share does.
	Shared bool
	// Cold turns one backend server cold without warning, again and again.
	Cold bool
	// Fail makes one backend server fail each request at once for a while.
	Fail bool
	// Centre takes a data centre out and brings it back.
	Centre bool
	// Noise lets neighbours slow random backend servers down for moments.
	Noise bool
	// Late is the time by which load reports reach the entry late.
	Late time.Duration
}

// Size is the size of a fleet.
type Size struct {
	Name    string
	Centres int
	// Delay is the one-way delay between data centres.
	Delay time.Duration
	// Services holds the number of backend servers of each service.
	Services []int
	// Slots is the number of requests that a backend server runs at once.
	Slots int
}

// All returns the scenes in the order of the report.
func All() []Scene {
	return []Scene{
		{Name: "steady-50", Load: 0.5},
		{Name: "steady-70", Load: 0.7},
		{Name: "steady-90", Load: 0.9},
		{Name: "steady-110", Load: 1.1},
		{Name: "jump", Load: 0.4, Jump: true},
		{Name: "slow", Load: 0.6, Slow: true},
		{Name: "shared", Load: 0.3, Shared: true},
		{Name: "cold", Load: 0.6, Cold: true},
		{Name: "fail", Load: 0.6, Fail: true},
		{Name: "noise", Load: 0.6, Noise: true},
		{Name: "centre", Load: 0.4, Centre: true},
		{Name: "late-10ms", Load: 0.7, Late: 10 * time.Millisecond},
		{Name: "late-100ms", Load: 0.7, Late: 100 * time.Millisecond},
		{Name: "late-1s", Load: 0.7, Late: time.Second},
		{
			Name: "everything", Load: 0.3, Jump: true, Slow: true, Cold: true, Fail: true,
			Centre: true, Noise: true, Late: 100 * time.Millisecond,
		},
	}
}

// Sizes returns the sizes of fleets in the order of the report.
func Sizes() []Size {
	return []Size{
		{Name: "bagmati", Centres: 3, Delay: time.Millisecond, Services: []int{6, 4, 3}, Slots: 10},
		{Name: "cairnstane", Centres: 3, Delay: 500 * time.Microsecond, Services: []int{6, 4, 3}, Slots: 20},
	}
}
