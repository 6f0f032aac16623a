// Stand2 plays the cases of the second review with the project's own processes, and with stand-ins of the
// platform's store, of backend servers and of requesters.
//
//	stand-2 CASE FOLDER
//
// It writes FOLDER/record.txt, and exits with 1 if the rule of the case was broken, with 0 if it held, and with
// 2 if the case couldn't run. With TROUBLE=0 in the environment nothing is disturbed.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is the time after which a case is given up.
const limit = 110 * time.Second

// cases are the cases by name. Each returns how the rule was broken, once for each time.
var cases = map[string]func(record *Record, trouble bool) ([]string, error){
	"pipelined": stopWhilePipelined,
	"growing":   growConfiguration,
	"storm":     stormConfiguration,
	"foreign":   drainBesideForeign,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status.
func play(name, folder string) int {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("case %s, trouble %v", name, trouble)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](record, trouble)
		done <- result{broken, err}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-ended:
		closeAll()
		return report(record, nil, errors.New("the case was ended by a signal"))
	case r := <-done:
		return report(record, r.broken, r.err)
	case <-time.After(limit):
		closeAll()
		return report(record, nil, fmt.Errorf("the case did not end within %v", limit))
	}
}

// report writes the result to the record and to the standard output.
func report(record *Record, broken []string, err error) int {
	line := "held"
	status := 0
	switch {
	case err != nil:
		line, status = "could not run: "+err.Error(), 2
	case len(broken) > 0:
		line, status = fmt.Sprintf("broken %d times", len(broken)), 1
	}
	for _, b := range broken {
		record.Printf("broken: %s", b)
		fmt.Println(b)
	}
	record.Printf("%s", line)
	fmt.Println(line)
	return status
}
