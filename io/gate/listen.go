package gate

import (
	"context"
	"net/http"
	"strconv"

	"bulrushlock/core/effect"
	"bulrushlock/core/nested"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
	"bulrushlock/io/xchg"
)

// ServeHTTP handles an attempt from the entry of another node.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o, err := parseAttempt(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.loop.MergeStamp(r.Header.Get(xchg.HeaderClock))
	a, err := g.Exchange(r.Context(), o)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer closeBody(a.Body)
	g.writeResponse(r.Context(), w, o, a)
}

// parseAttempt parses the attempt that r carries. It returns the typed error of
// an invalid header.
func parseAttempt(r *http.Request) (xchg.Attempt, error) {
	o := xchg.Attempt{
		Method: r.Method,
		Target: r.RequestURI,
		Host:   r.Host,
		Header: r.Header,
		Body:   r.Body,
		Length: r.ContentLength,
		Key:    r.Header.Get(xchg.HeaderPrefix + "Key"),
	}
	var err error
	if o.Ticket, err = ticket.Parse(r.Header.Get(xchg.HeaderTicket)); err != nil {
		return o, err
	}
	if o.Call, err = nested.Parse(r.Header.Get(xchg.HeaderCall)); err != nil {
		return o, err
	}
	if o.Versions, err = xchg.ParseVersions(r.Header.Get(xchg.HeaderVersions)); err != nil {
		return o, err
	}
	return o, xchg.ParseAttempt(r.Header.Get(xchg.HeaderAttempt), &o)
}

// writeResponse sends the response a to the entry that sent the attempt o.
func (g *Gate) writeResponse(ctx context.Context, w http.ResponseWriter, o xchg.Attempt, a xchg.Response) {
	h := w.Header()
	xchg.CopyHeader(h, a.Header)
	h.Set(xchg.HeaderTicket, o.Ticket.String())
	h.Set(xchg.HeaderOutcome, a.Outcome.String())
	h.Set(xchg.HeaderGuard, xchg.FormatNode(a.Guard))
	h.Set(xchg.HeaderVersions, xchg.FormatVersions(a.Versions))
	h.Set(xchg.HeaderClock, g.loop.Stamp())
	setLoad(h, a.Load)
	if a.Outcome != effect.Run {
		h.Set(xchg.HeaderReason, string(a.Reason))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	if err := g.options.Egress.Copy(ctx, w, a.Body, a.Length); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// setLoad adds a load report to h.
func setLoad(h http.Header, l *report.Load) {
	if l != nil {
		h.Set(xchg.HeaderLoad, l.String())
	}
}
