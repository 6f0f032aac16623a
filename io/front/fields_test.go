package front

import (
	"fmt"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// invalidHeads are responses with a line in their heads that is no field (RFC 9112, 5).
func invalidHeads() map[string]string {
	const start, body = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nok"
	heads := map[string]string{
		"blank in a name":                 start + "Trace Id: 1\r\n" + body,
		"blank in the last name":          start + "Content-Length: 2\r\nTrace Id: 1\r\n\r\nok",
		"blank in the name of the length": start + "Content Length: 2\r\n\r\nok",
		"blank after a name":              start + "Trace : 1\r\n" + body,
		"blank after the length":          start + "Content-Length : 2\r\n\r\nok and more",
		"tab after the length":            start + "Content-Length\t: 2\r\n\r\nok and more",
		"blank after the coding":          start + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank before the first name":     start + " Trace: 1\r\n" + body,
		"blank before the length":         start + "Trace: 1\r\n Content-Length: 2\r\n\r\nok and more",
		"tab before the coding":           start + "Trace: 1\r\n\tTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank line that is none":         start + "Trace: 1\r\n \r\n" + body,
		"no name":                         start + ": 1\r\n" + body,
		"no colon":                        start + "Trace\r\n" + body,
		"two carriage returns":            start + "Trace: 1\r\n\r\r\n" + body,
		"interim response":                "HTTP/1.1 103 Early Hints\r\nTrace Id: 1\r\n\r\n" + start + body,
		"lines without carriage return":   "HTTP/1.1 200 OK\nTrace Id: 1\nContent-Length: 2\n\nok",
	}
	for c := range byte(0x20) {
		heads[fmt.Sprintf("control byte %#02x", c)] = start + "Trace" + string([]byte{c}) + "Id: 1\r\n" + body
	}
	heads["control byte 0x7f"] = start + "Trace\x7f: 1\r\n" + body
	return heads
}

// TestInvalidFieldNameIsNoResponse guards against a backend server whose heads have lines that are no
// fields: what such a line should say, such as the length of the body, is lost.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	for name, text := range invalidHeads() {
		for _, isPlatform := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, ends with its connection %v", name, isPlatform), func(t *testing.T) {
				c := qt.New(t)
				checkIsNoResponse(c, Options{HideTickets: isPlatform}, func(conn net.Conn) {
					_, _ = io.WriteString(conn, text)
					_ = conn.Close()
				})
			})
		}
	}
}
