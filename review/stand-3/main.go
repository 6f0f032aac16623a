// Stand-3 runs the cases of an independent review: real node processes on loopback addresses, with small
// stand-ins of the platform's store, the backends and the requesters.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// longest is the time after which a case is given up.
const longest = 110 * time.Second

// scene is a case. It reports whether a rule was broken.
type scene func(w *world, trouble bool) (bool, error)

var scenes = map[string]scene{
	"early-answer":   earlyAnswer,
	"upload-limit":   uploadLimit,
	"stalled-answer": stalledAnswer,
	"encoded-prefix": encodedPrefix,
	"slow-reader":    slowReader,
}

func main() {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE FOLDER, in the root of the repository")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns the exit status.
func play(name, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption %v", name, trouble)
	w, err := newWorld(r)
	if err != nil {
		r.add("cannot run: %v", err)
		return failed
	}
	defer w.stop()
	// A case that doesn't end, or is ended from outside, leaves no process behind.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		r.add("cannot run: it took too long or was ended")
		w.stop()
		os.Exit(failed)
	}()
	isBroken, err := scenes[name](w, trouble)
	switch {
	case err != nil:
		r.add("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return failed
	case isBroken:
		r.add("the rule was broken")
		fmt.Println("broken")
		return broken
	}
	r.add("the rule held")
	fmt.Println("held")
	return held
}
