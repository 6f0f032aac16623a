// Package load sends requests at a constant rate to several targets in turn and
// measures the latency of each target, so that direct, proxied and load-balanced access
// to the same backend server can be compared within one run.
//
// # Usage
//
//	r := load.New(load.Options{Targets: targets, Rate: 500, Duration: 10 * time.Second})
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
	// maxLatency is the largest latency that is recorded; larger ones count as this value.
	maxLatency = time.Minute
	// significantDigits is the number of significant digits of a recorded latency.
	significantDigits = 3
	// maxIdleConnections is the maximum number of idle connections to each host.
	maxIdleConnections = 256
)

// Target is one way to reach a backend server.
type Target struct {
	Name   string
	Method string
	URL    string
}

// Options configure a Load.
type Options struct {
	Targets []Target
	// Rate is the number of requests per second over all targets.
	Rate float64
	// Duration is the length of the run. Requests in the first tenth of it are not counted.
	Duration time.Duration
}

// Result holds the measurements of one target.
type Result struct {
	Target Target
	Sent   int
	// Failed is the number of requests without a complete response or with a status of
	// 400 or above.
	Failed int
	P50    time.Duration
	P99    time.Duration
	P999   time.Duration
}

// Load is a run of requests.
type Load struct {
	options   Options
	client    *http.Client
	mutex     sync.Mutex
	latencies []*hdrhistogram.Histogram
	sent      []int
	failed    []int
}

// RequestError reports a target for which no request can be created.
type RequestError struct {
	Target Target
	Cause  error
}

// Error returns a message with the name of the target and the cause.
func (e *RequestError) Error() string { return fmt.Sprintf("target %s: %v", e.Target.Name, e.Cause) }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }

// New returns a run that has not started.
func New(o Options) *Load {
	l := &Load{
		options: o,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}},
		sent:    make([]int, len(o.Targets)),
		failed:  make([]int, len(o.Targets)),
	}
	for range o.Targets {
		l.latencies = append(l.latencies, hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits))
	}
	return l
}

// Run sends the requests and returns a result for each target. It returns a
// *RequestError for a target with an invalid URL or method.
func (l *Load) Run(ctx context.Context) ([]Result, error) {
	for _, t := range l.options.Targets {
		if _, err := http.NewRequestWithContext(ctx, t.Method, t.URL, http.NoBody); err != nil {
			return nil, &RequestError{Target: t, Cause: err}
		}
	}
	began := time.Now()
	countFrom := began.Add(l.options.Duration / 10)
	interval := time.Duration(float64(time.Second) / l.options.Rate)
	var sending sync.WaitGroup
	for i := 0; time.Since(began) < l.options.Duration && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * interval)))
		count := time.Now().After(countFrom)
		sending.Go(func() { l.send(ctx, i%len(l.options.Targets), count) })
	}
	sending.Wait()
	return l.results(), nil
}

// send sends one request to the target with the given index and records the result if
// count is set.
func (l *Load) send(ctx context.Context, index int, count bool) {
	t := l.options.Targets[index]
	r, err := http.NewRequestWithContext(ctx, t.Method, t.URL, http.NoBody)
	if err != nil {
		return
	}
	began := time.Now()
	ok := l.exchange(r)
	latency := time.Since(began)
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
	_ = l.latencies[index].RecordValue(min(latency, maxLatency).Microseconds())
}

// exchange sends r and reports whether it got a complete response with a status below
// 400.
func (l *Load) exchange(r *http.Request) bool {
	resp, err := l.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode < http.StatusBadRequest
}

// results returns the results of all targets.
func (l *Load) results() []Result {
	results := make([]Result, len(l.options.Targets))
	for i, t := range l.options.Targets {
		h := l.latencies[i]
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

// quantile returns the latency below or at which the given percentage of the values of h
// lie.
func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}
