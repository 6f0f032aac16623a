package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Run is one execution of a request at a server.
type Run struct {
	ID, Server, Method, Target string
	Began, Ended               time.Time
}

// Record writes what was sent, run and answered to a file, and keeps the executions.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
	runs  map[string][]*Run
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now(), runs: make(map[string][]*Run)}, nil
}

// Printf writes one line with the time since the start, in seconds.
func (r *Record) Printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Begin records that a server begins to work on a request.
func (r *Record) Begin(run *Run) {
	run.Began = time.Now()
	r.mutex.Lock()
	r.runs[run.ID] = append(r.runs[run.ID], run)
	r.mutex.Unlock()
	r.Printf("run id=%s server=%s %s %s", run.ID, run.Server, run.Method, run.Target)
}

// End records that the server has sent its answer.
func (r *Record) End(run *Run) {
	r.mutex.Lock()
	run.Ended = time.Now()
	r.mutex.Unlock()
	r.Printf("ran id=%s server=%s", run.ID, run.Server)
}

// Runs returns the executions of a request.
func (r *Record) Runs(id string) []Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var runs []Run
	for _, run := range r.runs[id] {
		runs = append(runs, *run)
	}
	return runs
}
