package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Stray is the body of the answer that the fault extra sends to nobody.
const Stray = "answer to nobody"

// answerTwice answers a request with e and one answer more, and then all further
// requests of the same connection in that way.
func (s *Server) answerTwice(w http.ResponseWriter, e Echo) {
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
		_, _ = fmt.Fprintf(b, text+text, len(body), body, len(Stray), Stray)
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
		s.record.begin(e.ID)
		s.record.end(true)
	}
}
