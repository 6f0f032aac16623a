package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// UnsolicitedBody is the body of the unsolicited response that the fault extra sends.
const UnsolicitedBody = "answer to nobody"

// respondTwice sends a response with e followed by an unsolicited one. It takes over
// the connection and responds to all its further requests in the same way.
func (s *Server) respondTwice(w http.ResponseWriter, e Echo) {
	c, b, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = c.Close() }()
	for {
		body, err := json.Marshal(e)
		if err != nil {
			return
		}
		text := "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
		_, _ = fmt.Fprintf(b, text+text, len(body), body, len(UnsolicitedBody), UnsolicitedBody)
		if b.Flush() != nil {
			return
		}
		r, err := http.ReadRequest(b.Reader)
		if err != nil {
			return
		}
		if e, err = s.echo(r); err != nil {
			return
		}
		s.counter.begin(e.ID)
		s.counter.end(true)
	}
}
