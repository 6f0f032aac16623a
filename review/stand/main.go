// Command stand runs the review's test cases. It starts nodes of the project as separate
// processes and plays the platform's store, the backend servers and the clients itself, all on
// loopback addresses.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the name of a case to its function, which returns the number of violations.
var cases = map[string]func(*fleet) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays one case and writes its record.
func run(name, path string) int {
	f, err := newFleet(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		f.close()
		os.Exit(exitFailed)
	}()
	broken, err := cases[name](f)
	switch {
	case err != nil:
		f.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	case broken > 0:
		f.record("BROKEN: %d violations", broken)
		fmt.Println("broken:", broken, "violations")
		return exitBroken
	}
	f.record("HELD")
	fmt.Println("held")
	return exitHeld
}

// isTroubled reports whether the case plays its disruption.
func isTroubled() bool { return os.Getenv("TROUBLE") != "0" }
