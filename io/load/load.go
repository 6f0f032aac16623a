// Package load sends requests at a steady rate to several targets in turn and
// measures how long each target takes, so that ways to the same backend server
// compare within one run.
//
// # Usage
//
//	r := load.New(load.Options{Targets: targets, Rate: 500, Time: 10 * time.Second})
//	results, err := r.Run(ctx)
package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest is the longest latency that is told apart from longer ones.
	longest = time.Minute
	// digits is the number of significant digits of a latency.
	digits = 3
	// connections is the number of unused connections that are kept to each target.
	connections = 256
)

// Target is one way to a backend server.
type Target struct {
	Name   string
	Method string
	URL    string
}

// Options tell what a Load sends.
type Options struct {
	Targets []Target
	// Rate is the number of requests a second over all targets.
	Rate float64
	// Time is the length of the run; the first tenth of it is not counted.
	Time time.Duration
}

// Result is what one target has shown.
type Result struct {
	Target Target
	Sent   int
	// Failed is the number of requests with no answer or a status of 400 and above.
	Failed int
	P50    time.Duration
	P99    time.Duration
	P999   time.Duration
}

// Load is a run of requests.
type Load struct {
	options Options
	client  *http.Client
	mutex   sync.Mutex
	times   []*hdrhistogram.Histogram
	sent    []int
	failed  []int
}

// RequestError is a target to which no request can be made.
type RequestError struct {
	Target Target
	Cause  error
}

// Error names the target and the cause.
func (e *RequestError) Error() string { return fmt.Sprintf("target %s: %v", e.Target.Name, e.Cause) }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }

// New returns a run that has not begun.
func New(o Options) *Load {
	l := &Load{
		options: o,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}},
		sent:    make([]int, len(o.Targets)),
		failed:  make([]int, len(o.Targets)),
	}
	for range o.Targets {
		l.times = append(l.times, hdrhistogram.New(1, longest.Microseconds(), digits))
	}
	return l
}

// Run sends the requests and returns a result for each target. It fails with a
// *RequestError for a target that is not a URL.
func (l *Load) Run(ctx context.Context) ([]Result, error) {
	for _, t := range l.options.Targets {
		if _, err := http.NewRequestWithContext(ctx, t.Method, t.URL, http.NoBody); err != nil {
			return nil, &RequestError{Target: t, Cause: err}
		}
	}
	began := time.Now()
	counted := began.Add(l.options.Time / 10)
	gap := time.Duration(float64(time.Second) / l.options.Rate)
	var sending sync.WaitGroup
	for i := 0; time.Since(began) < l.options.Time && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * gap)))
		count := time.Now().After(counted)
		sending.Go(func() { l.send(ctx, i%len(l.options.Targets), count) })
	}
	sending.Wait()
	return l.results(), nil
}

// send sends one request to the target of the given index.
func (l *Load) send(ctx context.Context, index int, count bool) {
	t := l.options.Targets[index]
	r, err := http.NewRequestWithContext(ctx, t.Method, t.URL, http.NoBody)
	if err != nil {
		return
	}
	began := time.Now()
	ok := l.exchange(r)
	spent := time.Since(began)
	if !count {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sent[index]++
	if !ok {
		l.failed[index]++
		return
	}
	_ = l.times[index].RecordValue(min(spent, longest).Microseconds())
}

// exchange sends r and reports whether a whole good answer came.
func (l *Load) exchange(r *http.Request) bool {
	a, err := l.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	return err == nil && a.StatusCode < http.StatusBadRequest
}

// results returns what the targets have shown.
func (l *Load) results() []Result {
	results := make([]Result, len(l.options.Targets))
	for i, t := range l.options.Targets {
		h := l.times[i]
		results[i] = Result{
			Target: t,
			Sent:   l.sent[i],
			Failed: l.failed[i],
			P50:    quantile(h, 50),
			P99:    quantile(h, 99),
			P999:   quantile(h, 99.9),
		}
	}
	return results
}

// quantile returns a quantile of h, given in per cent.
func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}
