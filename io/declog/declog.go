// Package declog logs the decisions of a node as lines of JSON, one for each decision, so
// that the course of a request can be reconstructed from its ID.
//
// A single goroutine writes the lines from a bounded queue, so that a blocked output
// delays no request. Above a configured rate the lines of successful requests are sampled
// by request ID. All nodes use the same hash of the ID, so that nodes with the same sampling
// rate select the same requests and log all of their lines. Lost lines are counted.
//
// # Usage
//
//	d := declog.New(declog.Options{Out: os.Stdout, Rate: 200})
//	defer d.Close()
//	logger := slog.New(slog.NewJSONHandler(d, nil))
//	d.LogDecision(time.Now(), decision)
package declog

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlock/core/bucket"
	"bulrushlock/core/effect"
)

const (
	// queueSize is the number of lines that may wait for the writer.
	queueSize = 2048
	// batchDelay is the longest time for which lines are collected into one write.
	batchDelay = 100 * time.Millisecond
	// batchSize is the size in bytes at which collected lines are written at once.
	batchSize = 2 << 10
	// maxShift limits the sampling: on average, at least one request in 2^maxShift is logged.
	maxShift = 10
	// adjustInterval is the time between two adjustments of the sampling.
	adjustInterval = time.Second
)

// Options configure a Logger.
type Options struct {
	Out io.Writer
	// Rate is the number of lines per second above which lines of successful requests are
	// sampled. Lines of failures are limited to twice that rate.
	Rate int
}

// Logger writes lines to an output. It is safe for concurrent use.
type Logger struct {
	out   io.Writer
	rate  int
	queue chan []byte
	// lost counts the lines dropped because the queue was full or the rate limit for failures
	// was reached.
	lost atomic.Uint64
	// sampledOut counts the lines omitted by sampling.
	sampledOut atomic.Uint64
	mutex      sync.Mutex
	// samplingShift is the current sampling: on average, one in 2^samplingShift requests
	// that did not fail is logged.
	samplingShift uint
	adjusted      time.Time
	offered       int
	failureBudget *bucket.Bucket
	ended         sync.WaitGroup
	closed        bool
}

var _ io.Writer = (*Logger)(nil)

// New returns a Logger and starts its writer.
func New(o Options) *Logger {
	l := &Logger{
		out:           o.Out,
		rate:          max(o.Rate, 1),
		queue:         make(chan []byte, queueSize),
		failureBudget: bucket.New(float64(2*max(o.Rate, 1)), float64(2*max(o.Rate, 1))),
	}
	l.ended.Go(func() {
		var batch bytes.Buffer
		for line := range l.queue {
			batch.Write(line)
			l.fillBatch(&batch)
			if n := l.lost.Swap(0); n > 0 {
				batch.WriteString(`{"msg":"lines lost","count":` + strconv.FormatUint(n, 10) + "}\n")
			}
			// A write error has nowhere to be reported.
			_, _ = l.out.Write(batch.Bytes())
			batch.Reset()
		}
	})
	return l
}

// fillBatch adds the lines that arrive within batchDelay, up to batchSize, so that they
// share one write.
func (l *Logger) fillBatch(batch *bytes.Buffer) {
	t := time.NewTimer(batchDelay)
	defer t.Stop()
	for batch.Len() < batchSize {
		select {
		case line, open := <-l.queue:
			if !open {
				return
			}
			batch.Write(line)
		case <-t.C:
			return
		}
	}
}

// Close writes the queued lines and stops the writer.
func (l *Logger) Close() {
	l.mutex.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mutex.Unlock()
	l.ended.Wait()
}

// Write queues one line of a logger. It never blocks and never fails.
func (l *Logger) Write(b []byte) (int, error) {
	l.enqueue(bytes.Clone(b))
	return len(b), nil
}

// enqueue queues a line for the writer, or counts it as lost if the queue is full.
func (l *Logger) enqueue(line []byte) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return
	}
	select {
	case l.queue <- line:
	default:
		l.lost.Add(1)
	}
}

// Dropped returns the number of lines lost since the last "lines lost" line, and the
// number of lines omitted by sampling since the start.
func (l *Logger) Dropped() (lost, sampledOut uint64) { return l.lost.Load(), l.sampledOut.Load() }

// LogDecision logs a decision, unless sampling or the rate limit for failures omits it.
func (l *Logger) LogDecision(at time.Time, e effect.Decision) {
	if !l.shouldWrite(at, e) {
		return
	}
	l.enqueue(encodeDecision(at, e))
}

// shouldWrite reports whether e is to be logged, and counts it if it is not.
func (l *Logger) shouldWrite(at time.Time, e effect.Decision) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if e.Failed {
		if !l.failureBudget.Take(at, 1) {
			l.lost.Add(1)
			return false
		}
		return true
	}
	l.adjustSampling(at)
	l.offered++
	if xxhash.Sum64String(e.Name)&(1<<l.samplingShift-1) != 0 {
		l.sampledOut.Add(1)
		return false
	}
	return true
}

// adjustSampling adapts the sampling to the number of lines since the last adjustment.
func (l *Logger) adjustSampling(at time.Time) {
	if at.Sub(l.adjusted) < adjustInterval {
		return
	}
	l.adjusted = at
	l.samplingShift = 0
	for l.samplingShift < maxShift && l.offered>>l.samplingShift > l.rate {
		l.samplingShift++
	}
	l.offered = 0
}

// encodeDecision returns the log line of a decision.
func encodeDecision(at time.Time, e effect.Decision) []byte {
	b := make([]byte, 0, 256)
	b = append(b, `{"time":"`...)
	b = at.UTC().AppendFormat(b, time.RFC3339Nano)
	b = append(b, `","level":"`...)
	b = append(b, levelOf(e).String()...)
	b = append(b, `","msg":`...)
	b = appendString(b, string(e.Kind))
	b = append(b, `,"id":`...)
	b = appendString(b, e.Name)
	if e.Attempt != 0 {
		b = append(b, `,"attempt":"`...)
		b = append(b, e.Entry...)
		b = append(b, '.')
		b = strconv.AppendUint(b, e.Attempt, 16)
		b = append(b, '"')
	}
	for _, f := range e.Facts {
		b = append(b, ',')
		b = appendString(b, f.Key)
		b = append(b, ':')
		if f.Text != "" {
			b = appendString(b, f.Text)
			continue
		}
		b = strconv.AppendInt(b, f.Value, 10)
	}
	for i, s := range e.CandidateLoads {
		if i == 0 {
			b = append(b, `,"seen":[`...)
		} else {
			b = append(b, ',')
		}
		b = appendCandidate(b, s)
		if i == len(e.CandidateLoads)-1 {
			b = append(b, ']')
		}
	}
	return append(b, "}\n"...)
}

// levelOf returns the log level of e.
func levelOf(e effect.Decision) slog.Level {
	if e.Failed {
		return slog.LevelWarn
	}
	return slog.LevelInfo
}

// appendCandidate appends what was known of a candidate.
func appendCandidate(b []byte, s effect.CandidateLoad) []byte {
	b = append(b, `{"guard":`...)
	b = appendString(b, s.Guard)
	for _, f := range []struct {
		key   string
		value int64
	}{
		{"busy", int64(s.Busy)},
		{"limit", int64(s.Limit)},
		{"slow", int64(s.Slow)},
		{"wait_us", s.Wait.Microseconds()},
		{"age_us", s.Age.Microseconds()},
	} {
		b = append(b, `,"`...)
		b = append(b, f.key...)
		b = append(b, `":`...)
		b = strconv.AppendInt(b, f.value, 10)
	}
	return append(b, '}')
}

// appendString appends a text as a JSON string. Names that callers send may contain any
// bytes.
func appendString(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, err := json.Marshal(text)
			if err != nil {
				return append(b, `""`...)
			}
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}
