package front

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/proto"
)

const (
	// lowLimit and highLimit are the sizes in bytes between which changeRules change the limit of
	// request bodies. Both lie above what is buffered of a body, and lowLimit below what is held.
	lowLimit  = 200_000
	highLimit = 2_000_000
)

// changeRules returns rules with the given limit of request bodies in bytes. If swapped is set, uploads and
// claims have each other's kind of route.
func changeRules(limit int, swapped bool) string {
	uploads, claims := "yes", "no"
	if swapped {
		uploads, claims = claims, uploads
	}
	return fmt.Sprintf(`
service filing slots=10 cold=10 warm=1   # Test: one service
route POST /files service=filing idempotent=no upload=%[2]s body=%[1]dB time=5s   # Test: uploads
route POST /claims service=filing idempotent=no upload=%[3]s body=%[1]dB time=5s   # Test: claims
route POST /lines service=filing idempotent=yes body=%[1]dB time=5s   # Test: lookups
budget hedge=0%%   # Test: one attempt each
`, limit, uploads, claims)
}

// changedUpload is an upload during which the limit of request bodies changes.
type changedUpload struct {
	path    string
	chunked bool
	// size is the size of the body in bytes, and before the part of it that is sent before the change.
	size, before int
	// from and to are the limits before and after the change.
	from, to int
	// swapped reports that the change also swaps the kinds of the routes of uploads and claims.
	swapped bool
}

// String names the case.
func (u changedUpload) String() string {
	return fmt.Sprintf("%s chunked %v, %d of %d bytes before %d to %d, swapped %v", u.path, u.chunked, u.before, u.size, u.from, u.to, u.swapped)
}

// send sends the upload to n and returns the status of the response, or 0 if there is none.
func (u changedUpload) send(c *qt.C, n testNode, id string, body []byte, change func()) int {
	conn, err := net.Dial("tcp", addressOf(n.callers).String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(conn.SetDeadline(time.Now().Add(hangTime)), qt.IsNil)
	framing, format := fmt.Sprintf("Content-Length: %d", len(body)), "%[2]s"
	if u.chunked {
		framing, format = "Transfer-Encoding: chunked", "%[1]x\r\n%[2]s\r\n"
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: desk\r\n%s: %s\r\n%s\r\n\r\n", u.path, proto.HeaderID, id, framing)
	c.Assert(err, qt.IsNil)
	// A body beyond the limit may be refused before its end, so that writes may fail.
	_, _ = fmt.Fprintf(conn, format, u.before, body[:u.before])
	time.Sleep(4 * uploadPause)
	change()
	_, _ = fmt.Fprintf(conn, format, u.size-u.before, body[u.before:])
	if u.chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0
		}
		_ = r.Body.Close()
		if r.StatusCode >= http.StatusOK {
			return r.StatusCode
		}
	}
}

// isDue reports whether the upload must run: both limits allow it, or its head doesn't state a size beyond the
// first limit, and the second one allows it before that limit is reached.
func (u changedUpload) isDue() bool {
	if u.size <= min(u.from, u.to) {
		return true
	}
	return u.path == "/files" && u.chunked && u.size <= u.to && u.before <= u.from
}

// TestChangeOfBodyLimitLeavesBodiesWhole guards against a body that was read up to the limit of one version
// of the rules and sent as the whole body under the limit of the next one.
func TestChangeOfBodyLimitLeavesBodiesWhole(t *testing.T) {
	c := qt.New(t)
	d := &receivedDigests{whole: make(map[string][]string)}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil {
			d.add(r.Header.Get(proto.HeaderID), digestOf(body))
		}
	}))
	c.Cleanup(server.Close)
	count, revision := 0, uint64(1)
	for _, nodes := range []int{1, 2} {
		n := newTestNodes(c, changeRules(lowLimit, false), addressOf(server), nodes, Options{HoldBytes: 8 << 20})
		publish := func(limit int, swapped bool) {
			revision++
			n.publish(changeRules(limit, swapped), revision)
		}
		for _, u := range changedUploads() {
			t.Run(fmt.Sprintf("%d nodes, %v", nodes, u), func(t *testing.T) {
				c := qt.New(t)
				publish(u.from, false)
				count++
				id := fmt.Sprintf("upload-%d", count)
				body := bytes.Repeat([]byte(fmt.Sprintf("%09d ", count)), u.size/10+1)[:u.size]
				status := u.send(c, n, id, body, func() { publish(u.to, u.swapped) })
				for _, got := range d.of(id) {
					c.Check(got, qt.Equals, digestOf(body))
				}
				c.Check(len(d.of(id)) == 1, qt.Equals, status == http.StatusOK, qt.Commentf("status %d", status))
				c.Check(status == http.StatusOK || !u.isDue(), qt.IsTrue, qt.Commentf("status %d", status))
			})
		}
	}
}

// changedUploads returns uploads of each kind of route and framing, with sizes around the limits and changes
// in both directions.
func changedUploads() []changedUpload {
	var list []changedUpload
	for _, path := range []string{"/files", "/claims", "/lines"} {
		for _, chunked := range []bool{false, true} {
			for _, size := range []int{maxBufferedBody + 1, lowLimit, lowLimit + 1, 360_000, maxHeldBody + 200_000} {
				for _, before := range []int{1, lowLimit, lowLimit + 1} {
					if before >= size {
						continue
					}
					u := changedUpload{path: path, chunked: chunked, size: size, before: before, from: lowLimit, to: highLimit}
					list = append(list, u)
					u.from, u.to = u.to, u.from
					list = append(list, u)
					if before == 1 {
						u.swapped = true
						list = append(list, u)
						u.from, u.to = u.to, u.from
						list = append(list, u)
					}
				}
			}
		}
	}
	return list
}
