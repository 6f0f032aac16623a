package scene

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// highest is the longest latency that a histogram tells apart.
	highest = time.Minute
	// digits is the number of significant digits of a histogram.
	digits = 3
	// slice is the length of one point of a series.
	slice = 100 * time.Millisecond
)

// Result is what one run measured. In a scene with a fault it tells of the
// requests that arrived while the fault lasted, or to the end of the run if the
// fault comes again or has an aftermath; otherwise of all that arrived after the
// warm-up.
type Result struct {
	Scene  string `json:"scene"`
	Size   string `json:"size"`
	Policy string `json:"policy"`
	// P50, P99 and P999 are quantiles of the latency of good requests.
	P50  time.Duration `json:"p50"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p999"`
	// Wait is the 99th percentile of the time that good requests took above their
	// service time on an idle, warm backend server beside the entry.
	Wait time.Duration `json:"wait"`
	// Offered is the number of requests.
	Offered int `json:"offered"`
	// Good is the number of good requests a second.
	Good float64 `json:"good"`
	// Refused and Unknown are the numbers of requests that ended so.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// Success is the share of good requests.
	Success float64 `json:"success"`
	// Retries and Probes are numbers for each request.
	Retries float64 `json:"retries"`
	Probes  float64 `json:"probes"`
	// Overload is the largest load of any backend server over what it bore.
	Overload float64 `json:"overload"`
	// Blind is the number of requests that were started above what a cold backend
	// server bore before its guard noticed the cold start; Excess is that number
	// after its guard noticed.
	Blind  int `json:"blind"`
	Excess int `json:"excess"`
	// Series holds the course of the whole run.
	Series []Point `json:"series,omitempty"`
}

// Point is what happened to the requests that arrived within a tenth of a second.
type Point struct {
	At      time.Duration `json:"at"`
	Offered int           `json:"offered"`
	Good    int           `json:"good"`
}

// recorder gathers the result of a run.
type recorder struct {
	clock   *clock
	from    time.Duration // Requests that arrive from here
	to      time.Duration // to here count.
	latency *hdrhistogram.Histogram
	wait    *hdrhistogram.Histogram
	offered int
	counts  [3]int // By outcome.
	all     int
	retries int
	probes  int
	series  []Point
}

// newRecorder returns an empty recorder of the requests that arrive between from
// and to.
func newRecorder(c *clock, from, to time.Duration) *recorder {
	return &recorder{
		clock:   c,
		from:    from,
		to:      to,
		latency: hdrhistogram.New(1, highest.Microseconds(), digits),
		wait:    hdrhistogram.New(1, highest.Microseconds(), digits),
	}
}

// offer counts a new request.
func (r *recorder) offer(q *request) {
	r.all++
	r.point(q).Offered++
	if r.inside(q) {
		r.offered++
	}
}

// finish counts the end of a request.
func (r *recorder) finish(q *request, o outcome) {
	if o == ran {
		r.point(q).Good++
	}
	if !r.inside(q) {
		return
	}
	r.counts[o]++
	if o != ran {
		return
	}
	latency := min(r.clock.now-q.arrived, highest)
	_ = r.latency.RecordValue(latency.Microseconds()) // It lies in range.
	_ = r.wait.RecordValue((latency - q.work).Microseconds())
}

// inside tells whether q counts.
func (r *recorder) inside(q *request) bool {
	return q.arrived >= r.from && q.arrived < r.to
}

// point returns the point of the series to which q belongs.
func (r *recorder) point(q *request) *Point {
	i := int(q.arrived / slice)
	for len(r.series) <= i {
		r.series = append(r.series, Point{At: time.Duration(len(r.series)) * slice})
	}
	return &r.series[i]
}

// conclude returns the result of the run.
func (w *world) conclude(policy string) Result {
	r := w.result
	quantile := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	all := float64(max(r.all, 1))
	result := Result{
		Scene: w.scene.Name, Size: w.size.Name, Policy: policy,
		P50: quantile(r.latency, 50), P99: quantile(r.latency, 99), P999: quantile(r.latency, 99.9),
		Wait:    quantile(r.wait, 99),
		Offered: r.offered,
		Good:    float64(r.counts[ran]) / (r.to - r.from).Seconds(),
		Refused: r.counts[refused],
		Unknown: r.counts[failed],
		Success: float64(r.counts[ran]) / float64(max(r.offered, 1)),
		Retries: float64(r.retries) / all,
		Probes:  float64(r.probes) / all,
		Series:  r.series,
	}
	for _, guards := range w.guards {
		for _, g := range guards {
			result.Overload = max(result.Overload, g.server.worst)
			result.Blind += g.blind
			result.Excess += g.excess
		}
	}
	return result
}
