package gate

import (
	"context"
	"net/http"
	"strconv"

	"bulrushlock/core/effect"
	"bulrushlock/core/nested"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
	"bulrushlock/io/proto"
)

// ServeHTTP handles an attempt from the entry of another node.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt, err := parseAttempt(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := proto.StreamBody(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	attempt.Body = body
	g.loop.MergeStamp(r.Header.Get(proto.HeaderClock))
	response, err := g.Exchange(r.Context(), attempt)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer closeBody(response.Body)
	g.writeResponse(r.Context(), w, attempt, response)
	if attempt.Length == 0 {
		return
	}
	if err := body.Finish(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// parseAttempt parses the attempt that r carries. It returns the typed error of
// an invalid header.
func parseAttempt(r *http.Request) (proto.Attempt, error) {
	attempt := proto.Attempt{
		Method: r.Method,
		Target: r.RequestURI,
		Host:   r.Host,
		Header: r.Header,
		Body:   r.Body,
		Length: r.ContentLength,
		Key:    r.Header.Get(proto.HeaderPrefix + "Key"),
		Name:   r.Header.Get(proto.HeaderID),

		Customer: r.Header.Get(proto.HeaderCustomer),
	}
	var err error
	if attempt.Ticket, err = ticket.Parse(r.Header.Get(proto.HeaderTicket)); err != nil {
		return attempt, err
	}
	if attempt.Call, err = nested.Parse(r.Header.Get(proto.HeaderCall)); err != nil {
		return attempt, err
	}
	if attempt.Versions, err = proto.VersionsOf(r.Header); err != nil {
		return attempt, err
	}
	if attempt.RateLimit, err = proto.ParseQuota(r.Header.Get(proto.HeaderQuota)); err != nil {
		return attempt, err
	}
	if attempt.WholeTimeout, err = proto.ParseWhole(r.Header.Get(proto.HeaderWhole)); err != nil {
		return attempt, err
	}
	return attempt, proto.ParseAttempt(r.Header.Get(proto.HeaderAttempt), &attempt)
}

// writeResponse sends response to the entry that sent attempt. A response that breaks off
// before the first byte of its body is reported as broken; one that breaks off later aborts
// the connection.
func (g *Gate) writeResponse(ctx context.Context, w http.ResponseWriter, attempt proto.Attempt, response proto.Response) {
	if response.Outcome != effect.Run {
		g.writeHead(w, attempt, response)
		return
	}
	begun := false
	err := g.options.Egress.Copy(ctx, w, response.Body, response.Length, func() {
		begun = true
		g.writeHead(w, attempt, response)
	})
	switch {
	case err == nil:
	case begun:
		panic(http.ErrAbortHandler)
	default:
		response.Outcome, response.Reason, response.Header = effect.Unknown, effect.ReasonBroken, nil
		g.writeHead(w, attempt, response)
	}
}

// writeHead writes the head of response. It has the header and the status of the backend
// server's response if the attempt ran.
func (g *Gate) writeHead(w http.ResponseWriter, attempt proto.Attempt, response proto.Response) {
	h := w.Header()
	proto.CopyHeader(h, response.Header)
	h.Set(proto.HeaderTicket, attempt.Ticket.String())
	h.Set(proto.HeaderOutcome, response.Outcome.String())
	h.Set(proto.HeaderGuard, proto.FormatNode(response.Guard))
	proto.SetVersions(h, response.Versions)
	h.Set(proto.HeaderClock, g.loop.Stamp())
	setLoad(h, response.Load)
	if response.Outcome != effect.Run {
		h.Set(proto.HeaderReason, string(response.Reason))
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if response.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	w.WriteHeader(response.Status)
}

// setLoad adds a load report to h.
func setLoad(h http.Header, l *report.Load) {
	if l != nil {
		h.Set(proto.HeaderLoad, l.String())
		if l.RateLimit > 0 {
			h.Set(proto.HeaderQuota, proto.FormatQuota(l.RateLimit))
		}
		if l.Ending {
			h.Set(proto.HeaderEnding, proto.EndingValue)
		}
	}
}
