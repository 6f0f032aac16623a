package simul

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest latency that a histogram records.
	maxLatency = time.Minute
	// significantDigits is the number of significant digits of a histogram.
	significantDigits = 3
	// seriesInterval is the length of the interval of one point of the series.
	seriesInterval = 100 * time.Millisecond
)

// Result holds the measurements of one run. In a scenario with a fault they cover the
// requests that arrived while the fault lasted, or until the end of the run if the fault
// recurs or has lasting effects. Otherwise they cover all requests that arrived after the
// warm-up.
type Result struct {
	Scenario string `json:"scene"`
	Size     string `json:"size"`
	Policy   string `json:"policy"`
	// P50, P99 and P999 are latency quantiles of successful requests.
	P50  time.Duration `json:"p50"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p999"`
	// Overhead is the 99th percentile of the time that successful requests took beyond their
	// service time on an idle, warm backend server of the entry's instance.
	Overhead time.Duration `json:"wait"`
	// Offered is the number of requests.
	Offered int `json:"offered"`
	// Goodput is the number of successful requests per second.
	Goodput float64 `json:"good"`
	// Rejected is the number of requests that did not run, and Unknown the number of those
	// that failed and may have run.
	Rejected int `json:"refused"`
	Unknown  int `json:"unknown"`
	// SuccessRatio is the fraction of successful requests.
	SuccessRatio float64 `json:"success"`
	// Retries and Probes are numbers per request.
	Retries float64 `json:"retries"`
	Probes  float64 `json:"probes"`
	// PeakLoad is the highest ratio of running requests to capacity at any backend
	// server.
	PeakLoad float64 `json:"overload"`
	// ExcessBeforeDetection is the number of requests that started above the capacity of a cold
	// backend server before its guard detected the cold start; ExcessAfterDetection is the number
	// of those that did so afterwards.
	ExcessBeforeDetection int `json:"blind"`
	ExcessAfterDetection  int `json:"excess"`
	// OnTime is, for each class, the fraction of the requests that succeeded within three times
	// the mean service time of the class, with its stretch.
	OnTime []float64 `json:"timely"`
	// Crossings is the number of attempts that were sent to another data centre, and CrossBytes
	// the number of bytes of these and of load probes between data centres.
	Crossings  int   `json:"crossings"`
	CrossBytes int64 `json:"crossed"`
	// Series covers the whole run.
	Series []Point `json:"series,omitempty"`
}

// Point counts the requests that arrived within a tenth of a second.
type Point struct {
	At      time.Duration `json:"at"`
	Offered int           `json:"offered"`
	Good    int           `json:"good"`
}

// recorder collects the measurements of a run.
type recorder struct {
	clock    *clock
	from     time.Duration // The start of the measured time.
	to       time.Duration // Its end, exclusive.
	latency  *hdrhistogram.Histogram
	overhead *hdrhistogram.Histogram
	offered  int
	counts   [3]int // Indexed by outcome.
	total    int
	retries  int
	probes   int
	series   []Point
	// stretch is the factor on the service times.
	stretch float64
	// classOffered and classOnTime count requests by class.
	classOffered []int
	classOnTime  []int
	crossings    int
	crossBytes   int64
}

// newRecorder returns an empty recorder for the requests that arrive between from and to.
func newRecorder(c *clock, from, to time.Duration, stretch float64) *recorder {
	return &recorder{
		clock:        c,
		stretch:      stretch,
		classOffered: make([]int, len(classes)),
		classOnTime:  make([]int, len(classes)),
		from:         from,
		to:           to,
		latency:      hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		overhead:     hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
	}
}

// recordArrival records a new request.
func (r *recorder) recordArrival(q *request) {
	r.total++
	r.point(q).Offered++
	if r.isCounted(q) {
		r.offered++
		r.classOffered[q.class]++
	}
}

// countCrossing counts bytes that are exchanged with v if it is in another data centre. More
// bytes than a load probe has are those of an attempt.
func (r *recorder) countCrossing(v *serverState, bytes int64) {
	if v.candidate.SameCentre || r.clock.now < r.from || r.clock.now >= r.to {
		return
	}
	r.crossBytes += bytes
	if bytes > probeBytes {
		r.crossings++
	}
}

// recordEnd records the end of a request.
func (r *recorder) recordEnd(q *request, o outcome) {
	if o == ran {
		r.point(q).Good++
	}
	if !r.isCounted(q) {
		return
	}
	r.counts[o]++
	if o != ran {
		return
	}
	latency := min(r.clock.now-q.arrived, maxLatency)
	if latency <= time.Duration(targetFactor*r.stretch*float64(classes[q.class].mean)) {
		r.classOnTime[q.class]++
	}
	_ = r.latency.RecordValue(latency.Microseconds()) // The value is in range.
	_ = r.overhead.RecordValue((latency - q.work).Microseconds())
}

// isCounted reports whether q arrived within the measured time.
func (r *recorder) isCounted(q *request) bool {
	return q.arrived >= r.from && q.arrived < r.to
}

// point returns the point of the series for the arrival time of q.
func (r *recorder) point(q *request) *Point {
	i := int(q.arrived / seriesInterval)
	for len(r.series) <= i {
		r.series = append(r.series, Point{At: time.Duration(len(r.series)) * seriesInterval})
	}
	return &r.series[i]
}

// summarize returns the result of the run.
func (sm *simulation) summarize(policy string) Result {
	r := sm.result
	quantile := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	all := float64(max(r.total, 1))
	result := Result{
		Scenario: sm.scenario.Name, Size: sm.size.Name, Policy: policy,
		P50: quantile(r.latency, 50), P99: quantile(r.latency, 99), P999: quantile(r.latency, 99.9),
		Overhead:     quantile(r.overhead, 99),
		Offered:      r.offered,
		Goodput:      float64(r.counts[ran]) / (r.to - r.from).Seconds(),
		Rejected:     r.counts[rejected],
		Unknown:      r.counts[failed],
		SuccessRatio: float64(r.counts[ran]) / float64(max(r.offered, 1)),
		Retries:      float64(r.retries) / all,
		Probes:       float64(r.probes) / all,
		Crossings:    r.crossings,
		CrossBytes:   r.crossBytes,
		Series:       r.series,
	}
	for i, offered := range r.classOffered {
		result.OnTime = append(result.OnTime, float64(r.classOnTime[i])/float64(max(offered, 1)))
	}
	for _, guards := range sm.guards {
		for _, g := range guards {
			result.PeakLoad = max(result.PeakLoad, g.server.peakLoad)
			result.ExcessBeforeDetection += g.excessBeforeDetection
			result.ExcessAfterDetection += g.excessAfterDetection
		}
	}
	return result
}
