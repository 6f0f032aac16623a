// Package diary writes what a node decides as lines of JSON, one for each decision,
// so that what became of a request can be told afterwards from its id.
//
// Lines wait in a ring of fixed size for one writer, so that a reader which does
// not read delays no request. Above a rate of lines those of requests that went
// well are left out by the id of the request: the same ones on every node, so that
// a request which is kept has its whole way. Lines that are lost are counted.
//
// # Usage
//
//	d := diary.New(diary.Options{Out: os.Stdout, Rate: 200})
//	logger := slog.New(slog.NewJSONHandler(d, nil))
//	d.Decide(time.Now(), decision)
//	defer d.Close()
package diary

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
	// ringSize is the number of lines that may wait for the writer.
	ringSize = 2048
	// batchTime is the time over which lines are gathered into one write.
	batchTime = 100 * time.Millisecond
	// batchSize is the size in bytes from which gathered lines are written at once.
	batchSize = 2 << 10
	// mostShift bounds the share of requests that is kept: one in two to this power.
	mostShift = 10
	// judgeTime is the time after which the share is judged again.
	judgeTime = time.Second
)

// Options tell a Diary where and how much to write.
type Options struct {
	Out io.Writer
	// Rate is the number of lines a second from which lines of requests that went well
	// are left out. Lines of failures are bounded by twice that rate.
	Rate int
}

// Diary writes lines. It is safe for use by several goroutines at once.
type Diary struct {
	out  io.Writer
	rate int
	ring chan []byte
	// lost counts the lines that found the ring full or the rate of failures spent.
	lost atomic.Uint64
	// left counts the lines that were left out by the id of their request.
	left   atomic.Uint64
	mutex  sync.Mutex
	shift  uint
	judged time.Time
	wanted int
	fails  *bucket.Bucket
	ended  sync.WaitGroup
	closed bool
}

var _ io.Writer = (*Diary)(nil)

// New returns a diary whose writer has started.
func New(o Options) *Diary {
	d := &Diary{
		out:   o.Out,
		rate:  max(o.Rate, 1),
		ring:  make(chan []byte, ringSize),
		fails: bucket.New(float64(2*max(o.Rate, 1)), float64(2*max(o.Rate, 1))),
	}
	d.ended.Go(func() {
		var batch bytes.Buffer
		for line := range d.ring {
			batch.Write(line)
			d.gather(&batch)
			if n := d.lost.Swap(0); n > 0 {
				batch.WriteString(`{"msg":"lines lost","count":` + strconv.FormatUint(n, 10) + "}\n")
			}
			// A failure to write cannot be told anywhere.
			_, _ = d.out.Write(batch.Bytes())
			batch.Reset()
		}
	})
	return d
}

// gather adds the lines that come within a short time, so that they share one write.
func (d *Diary) gather(batch *bytes.Buffer) {
	t := time.NewTimer(batchTime)
	defer t.Stop()
	for batch.Len() < batchSize {
		select {
		case line, open := <-d.ring:
			if !open {
				return
			}
			batch.Write(line)
		case <-t.C:
			return
		}
	}
}

// Close writes what waits and ends the writer.
func (d *Diary) Close() {
	d.mutex.Lock()
	if !d.closed {
		d.closed = true
		close(d.ring)
	}
	d.mutex.Unlock()
	d.ended.Wait()
}

// Write takes one line of a logger. It never blocks and never fails.
func (d *Diary) Write(b []byte) (int, error) {
	d.put(bytes.Clone(b))
	return len(b), nil
}

// put gives a line to the writer, or counts it as lost.
func (d *Diary) put(line []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.closed {
		return
	}
	select {
	case d.ring <- line:
	default:
		d.lost.Add(1)
	}
}

// Dropped returns the numbers of lines that were lost since the last line that told
// of it, and that were left out since the start.
func (d *Diary) Dropped() (lost, left uint64) { return d.lost.Load(), d.left.Load() }

// Decide writes a line for a decision, unless the rate is spent.
func (d *Diary) Decide(at time.Time, e effect.Decision) {
	if !d.wants(at, e) {
		return
	}
	d.put(lineOf(at, e))
}

// wants reports whether the line of e is to be written.
func (d *Diary) wants(at time.Time, e effect.Decision) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if e.Failed {
		if !d.fails.Take(at, 1) {
			d.lost.Add(1)
			return false
		}
		return true
	}
	d.judge(at)
	d.wanted++
	if xxhash.Sum64String(e.Name)&(1<<d.shift-1) != 0 {
		d.left.Add(1)
		return false
	}
	return true
}

// judge adapts the share of requests that is kept to the lines of the last second.
func (d *Diary) judge(at time.Time) {
	if at.Sub(d.judged) < judgeTime {
		return
	}
	d.judged = at
	d.shift = 0
	for d.shift < mostShift && d.wanted>>d.shift > d.rate {
		d.shift++
	}
	d.wanted = 0
}

// lineOf returns the line of a decision.
func lineOf(at time.Time, e effect.Decision) []byte {
	b := make([]byte, 0, 256)
	b = append(b, `{"time":"`...)
	b = at.UTC().AppendFormat(b, time.RFC3339Nano)
	b = append(b, `","level":"`...)
	b = append(b, levelOf(e).String()...)
	b = append(b, `","msg":`...)
	b = appendText(b, string(e.Kind))
	b = append(b, `,"id":`...)
	b = appendText(b, e.Name)
	if e.Attempt != 0 {
		b = append(b, `,"attempt":"`...)
		b = append(b, e.Entry...)
		b = append(b, '.')
		b = strconv.AppendUint(b, e.Attempt, 16)
		b = append(b, '"')
	}
	for _, f := range e.Facts {
		b = append(b, ',')
		b = appendText(b, f.Key)
		b = append(b, ':')
		if f.Text != "" {
			b = appendText(b, f.Text)
			continue
		}
		b = strconv.AppendInt(b, f.Value, 10)
	}
	for i, s := range e.Seen {
		if i == 0 {
			b = append(b, `,"seen":[`...)
		} else {
			b = append(b, ',')
		}
		b = appendSeen(b, s)
		if i == len(e.Seen)-1 {
			b = append(b, ']')
		}
	}
	return append(b, "}\n"...)
}

// levelOf returns the level of the line of e.
func levelOf(e effect.Decision) slog.Level {
	if e.Failed {
		return slog.LevelWarn
	}
	return slog.LevelInfo
}

// appendSeen appends what was known of a candidate.
func appendSeen(b []byte, s effect.Seen) []byte {
	b = append(b, `{"guard":`...)
	b = appendText(b, s.Guard)
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

// appendText appends a text as JSON. Names that callers give may hold anything.
func appendText(b []byte, text string) []byte {
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
