package bound

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// endless repeats a text without end.
type endless struct {
	text string
	at   int
	read int
}

// Read fills p.
func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.text[e.at]
		e.at = (e.at + 1) % len(e.text)
	}
	e.read += len(p)
	return len(p), nil
}

const testBufferSize = 512

func TestHeadsWithoutEndFail(t *testing.T) {
	limits := Limits{Bytes: 4096, Lines: 50}
	tests := []struct{ name, start, text string }{
		{"no line end", "", "x"},
		{"status line without end", "HTTP/1.1 200 OK", " "},
		{"long header lines", "HTTP/1.1 200 OK\r\n", "A: " + strings.Repeat("x", 1000) + "\r\n"},
		{"short header lines", "HTTP/1.1 200 OK\r\n", "a:b\n"},
		{"continued lines", "HTTP/1.1 200 OK\r\na: b\r\n", " \n"},
		{"carriage returns", "HTTP/1.1 200 OK\r\n", "\r"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			source := &endless{text: tt.text}
			r := New(io.MultiReader(strings.NewReader(tt.start), source), limits)
			buffered := bufio.NewReaderSize(r, testBufferSize)
			err := r.Begin(nil)
			for range 100 {
				if err != nil {
					break
				}
				if _, err = http.ReadResponse(buffered, nil); err != nil { //nolint:bodyclose // The body is not read.
					break
				}
				b, peeked := buffered.Peek(buffered.Buffered())
				c.Assert(peeked, qt.IsNil)
				err = r.Next(b)
			}
			c.Check(err, qt.IsNotNil)
			// The parser may report the line that was cut off in place of this error.
			var head *HeadError
			_, err = r.Read(make([]byte, 1))
			c.Check(errors.As(err, &head), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(source.read <= limits.Bytes+testBufferSize, qt.IsTrue, qt.Commentf("%d bytes read", source.read))
		})
	}
}

func TestLineThatIsNoFieldFails(t *testing.T) {
	for _, line := range []string{"A b: c", "a : b", "a\t: b", " a: b", "\ta: b", " ", "a\x00b: c", "a\x7f: b", "\xe9: a", "a\r: b", "\r", ": a", "a", "(a): b"} {
		text := "HTTP/1.1 200 OK\r\na: b c :\r\n" + line + "\r\n\r\nbody"
		for name, source := range map[string]io.Reader{"at once": strings.NewReader(text), "in parts": iotest.OneByteReader(strings.NewReader(text))} {
			t.Run(fmt.Sprintf("%q %s", line, name), func(t *testing.T) {
				c := qt.New(t)
				r := New(source, Limits{Bytes: 100, Lines: 6})
				c.Assert(r.Begin(nil), qt.IsNil)
				_, err := io.ReadAll(r)
				var head *HeadError
				c.Assert(errors.As(err, &head), qt.IsTrue, qt.Commentf("%v", err))
				c.Check(head.Line, qt.Equals, 3)
			})
		}
	}
}

func TestBodyIsNotCounted(t *testing.T) {
	c := qt.New(t)
	body := strings.Repeat("\n", 10_000)
	text := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\nContent-Length: 10000\r\n\r\n" + body
	for name, source := range map[string]io.Reader{"at once": strings.NewReader(text), "in parts": iotest.OneByteReader(strings.NewReader(text))} {
		r := New(source, Limits{Bytes: 100, Lines: 6})
		buffered := bufio.NewReaderSize(r, testBufferSize)
		c.Assert(r.Begin(nil), qt.IsNil)
		response, err := http.ReadResponse(buffered, nil)
		c.Assert(err, qt.IsNil, qt.Commentf(name))
		_ = response.Body.Close()
		c.Check(response.StatusCode, qt.Equals, http.StatusContinue)
		b, err := buffered.Peek(buffered.Buffered())
		c.Assert(err, qt.IsNil)
		c.Assert(r.Next(b), qt.IsNil)
		response, err = http.ReadResponse(buffered, nil)
		c.Assert(err, qt.IsNil, qt.Commentf(name))
		got, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		c.Check(err, qt.IsNil, qt.Commentf(name))
		c.Check(string(got) == body, qt.IsTrue, qt.Commentf("%s: %d bytes", name, len(got)))
	}
}

// A head that the parser accepts ends for the Reader where it ends for the parser, whatever
// its lines are and however it arrives.
func TestHeadEndsWhereTheParserEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.SampledFrom([]string{"a: b", "a:", "b: c\r", " continued", "\tx", "a: \r\r", "c: d"})
		end := rapid.SampledFrom([]string{"\n", "\r\n"})
		text := "HTTP/1.1 200 OK" + end.Draw(t, "end")
		for range rapid.IntRange(0, 8).Draw(t, "lines") {
			text += line.Draw(t, "line") + end.Draw(t, "end")
		}
		text += end.Draw(t, "end")
		head := len(text)
		r := New(strings.NewReader(text+strings.Repeat("y\n", 100)), Limits{Bytes: 1000, Lines: 20})
		if err := r.Begin(nil); err != nil {
			t.Fatal(err)
		}
		size := rapid.IntRange(16, 300).Draw(t, "size")
		buffered := bufio.NewReaderSize(r, size)
		response, err := http.ReadResponse(buffered, nil)
		if err != nil {
			return
		}
		_ = response.Body.Close()
		if r.inHead || r.bytes != head {
			t.Fatalf("%q: counted %d bytes of a head of %d", text, r.bytes, head)
		}
	})
}

func FuzzReader(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", uint8(3))
	f.Add("\r\r\n\n\r\n", uint8(1))
	f.Fuzz(func(t *testing.T, text string, part uint8) {
		limits := Limits{Bytes: 64, Lines: 4}
		r := New(strings.NewReader(text), limits)
		if err := r.Begin(nil); err != nil {
			t.Fatal(err)
		}
		p := make([]byte, int(part)+1)
		total := 0
		for {
			n, err := r.Read(p)
			total += n
			if err != nil {
				break
			}
		}
		if r.inHead && total > limits.Bytes+len(p) {
			t.Fatalf("%d bytes of a head were passed on", total)
		}
	})
}
