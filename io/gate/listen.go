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
	o, err := parseAttempt(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.loop.MergeStamp(r.Header.Get(proto.HeaderClock))
	a, err := g.Exchange(r.Context(), o)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer closeBody(a.Body)
	g.writeResponse(r.Context(), w, o, a)
}

// parseAttempt parses the attempt that r carries. It returns the typed error of
// an invalid header.
func parseAttempt(r *http.Request) (proto.Attempt, error) {
	o := proto.Attempt{
		Method: r.Method,
		Target: r.RequestURI,
		Host:   r.Host,
		Header: r.Header,
		Body:   r.Body,
		Length: r.ContentLength,
		Key:    r.Header.Get(proto.HeaderPrefix + "Key"),
	}
	var err error
	if o.Ticket, err = ticket.Parse(r.Header.Get(proto.HeaderTicket)); err != nil {
		return o, err
	}
	if o.Call, err = nested.Parse(r.Header.Get(proto.HeaderCall)); err != nil {
		return o, err
	}
	if o.Versions, err = proto.ParseVersions(r.Header.Get(proto.HeaderVersions)); err != nil {
		return o, err
	}
	return o, proto.ParseAttempt(r.Header.Get(proto.HeaderAttempt), &o)
}

// writeResponse sends the response a to the entry that sent the attempt o.
func (g *Gate) writeResponse(ctx context.Context, w http.ResponseWriter, o proto.Attempt, a proto.Response) {
	h := w.Header()
	proto.CopyHeader(h, a.Header)
	h.Set(proto.HeaderTicket, o.Ticket.String())
	h.Set(proto.HeaderOutcome, a.Outcome.String())
	h.Set(proto.HeaderGuard, proto.FormatNode(a.Guard))
	h.Set(proto.HeaderVersions, proto.FormatVersions(a.Versions))
	h.Set(proto.HeaderClock, g.loop.Stamp())
	setLoad(h, a.Load)
	if a.Outcome != effect.Run {
		h.Set(proto.HeaderReason, string(a.Reason))
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
		h.Set(proto.HeaderLoad, l.String())
	}
}
