package front

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
	"bulrushlock/io/xchg"
)

// visit is one request on its way through the entry.
type visit struct {
	front   *Front
	writer  http.ResponseWriter
	request *http.Request
	id      uint64
	box     <-chan effect.Effect
	held    []byte
	stream  io.Reader
	// read tells that something was read of stream.
	read atomic.Bool
	// over tells that a body of unknown length was larger than its rule allows.
	over    atomic.Bool
	outcome effect.Outcome
	// name is the name that the caller gave the request.
	name  string
	began time.Time
	// recovered is the kept answer that a guard gave when it was asked.
	recovered *event.Answer

	mutex    sync.Mutex
	attempts map[ticket.Ticket]*attempt
}

// attempt is one exchange of a visit.
type attempt struct {
	cancel context.CancelFunc
	answer *xchg.Answer
	// whole is the longest time of the visit until the end of the answer, or 0.
	whole time.Duration
	// ended tells that an answer that still comes is not wanted.
	ended bool
}

// newVisit returns the visit of r, which has a box of its own.
func newVisit(f *Front, w http.ResponseWriter, r *http.Request) *visit {
	v := &visit{front: f, writer: w, request: r, attempts: make(map[ticket.Ticket]*attempt, 1)}
	v.id, v.box = f.loop.Open()
	return v
}

// close gives up everything that is still under way.
func (v *visit) close() {
	v.front.loop.Do(event.Gone{At: time.Now(), ID: v.id})
	v.front.loop.Close(v.id)
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, a := range v.attempts {
		a.end()
	}
}

// end gives up an exchange.
func (a *attempt) end() {
	a.ended = true
	a.cancel()
	if a.answer != nil {
		_ = a.answer.Body.Close()
	}
}

// run carries out the decisions of the entry until the caller is answered or has gone.
func (v *visit) run() {
	for {
		select {
		case e := <-v.box:
			if v.apply(e) {
				return
			}
		case <-v.request.Context().Done():
			v.outcome = effect.Unknown
			return
		}
	}
}

// apply carries out one decision and reports whether the caller has been answered.
func (v *visit) apply(e effect.Effect) bool {
	switch e := e.(type) {
	case effect.Survey:
		v.survey(e)
	case effect.Forward:
		v.forward(e)
	case effect.Ask:
		v.ask(e)
	case effect.Cancel:
		v.cancel(e.Ticket)
	case effect.Relay:
		v.relay(e.Ticket)
		return true
	case effect.Recover:
		v.recover(e)
		return true
	case effect.Reply:
		v.reply(e)
		return true
	}
	return false
}

// forward sends an attempt. An attempt that may be hedged runs beside the visit.
func (v *visit) forward(e effect.Forward) {
	ctx := v.request.Context()
	if !e.Route.Idempotent && !v.front.options.Mute {
		if e.Ticket.Guard.Incarnation != 0 {
			v.announce(e.Ticket)
		}
		// The caller may ask after the answer once it has gone.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{cancel: cancel, whole: e.Route.Whole}
	v.mutex.Lock()
	v.attempts[e.Ticket] = a
	hedged := len(v.attempts) > 1 || e.Hedge > 0
	v.mutex.Unlock()
	o := v.offer(e)
	if !hedged {
		v.exchange(ctx, a, e, o)
		return
	}
	go v.exchange(ctx, a, e, o)
	if e.Hedge > 0 {
		time.AfterFunc(e.Hedge, func() {
			v.front.loop.Do(event.Slow{At: time.Now(), ID: v.id, Random: rand.Uint64()})
		})
	}
}

// survey asks guards for their loads and tells the entry.
func (v *visit) survey(e effect.Survey) {
	var loads []event.Loaded
	if s := v.front.options.Surveyor; s != nil {
		loads = s.Survey(v.request.Context(), e.Peers)
	}
	v.front.loop.Do(event.Surveyed{At: time.Now(), ID: v.id, Loads: loads, Random: rand.Uint64()})
}

// announce tells the caller the ticket of an attempt before the attempt is sent.
// An attempt for a life of the guard that is not known is always refused and
// needs no ticket.
func (v *visit) announce(t ticket.Ticket) {
	v.writer.Header().Set(xchg.HeaderTicket, t.String())
	v.writer.WriteHeader(http.StatusEarlyHints)
}

// offer returns the attempt that e asks for.
func (v *visit) offer(e effect.Forward) xchg.Offer {
	body, length := v.body(e.Route.Body)
	header := make(http.Header, len(v.request.Header)+1)
	xchg.CopyHeader(header, v.request.Header)
	v.front.options.Dialect.Mark(header, v.front.options.Service)
	return xchg.Offer{
		Ticket:     e.Ticket,
		Peer:       e.Peer,
		Method:     v.request.Method,
		Target:     v.request.URL.RequestURI(),
		Host:       v.request.Host,
		Header:     header,
		Body:       body,
		Length:     length,
		Idempotent: e.Route.Idempotent,
		Rank:       e.Route.Rank,
		Class:      e.Class,
		Call:       e.Call,
		Head:       e.Call.Left,
		Aim:        e.Aim,
		Inner:      e.Inner,
		Name:       v.name,
		Key:        e.Key,
		First:      e.First,
		Versions:   e.Versions,
	}
}

// exchange sends o and tells the entry how the exchange has ended.
func (v *visit) exchange(ctx context.Context, a *attempt, e effect.Forward, o xchg.Offer) {
	exchanger := v.front.options.Remote
	if e.Local {
		exchanger = v.front.options.Local
	}
	began := time.Now()
	answer, err := exchanger.Exchange(ctx, o)
	ended := event.Answered{
		At:      time.Now(),
		ID:      v.id,
		Ticket:  e.Ticket,
		Verdict: verdictOf(answer, err),
		Reason:  string(answer.Reason),
		Guard:   answer.Guard,
		Load:    answer.Load,
		Status:  answer.Status,
		Spent:   time.Since(began),
		Unread:  !v.read.Load(),
		Random:  rand.Uint64(),
	}
	if err == nil {
		v.keep(a, answer)
	}
	v.front.loop.Do(ended)
}

// keep holds an answer until the entry decides on it.
func (v *visit) keep(a *attempt, answer xchg.Answer) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	a.answer = &answer
	if a.ended {
		a.end()
	}
}

// verdictOf returns how an exchange has ended.
func verdictOf(a xchg.Answer, err error) event.Verdict {
	var unsent *xchg.UnsentError
	var broken *xchg.BrokenError
	switch {
	case errors.As(err, &unsent):
		return event.Unsent
	case errors.As(err, &broken) && broken.Expired:
		return event.Expired
	case err != nil:
		return event.Broken
	}
	switch a.Outcome {
	case effect.Run:
		return event.Ran
	case effect.NotRun:
		return event.NotRun
	case effect.Running:
		return event.Running
	case effect.Unknown:
	}
	return event.Unknown
}

// cancel gives up the exchange of t.
func (v *visit) cancel(t ticket.Ticket) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if a, ok := v.attempts[t]; ok {
		a.end()
		delete(v.attempts, t)
	}
}

// ask asks the guard of an attempt what became of it, and tells the entry.
func (v *visit) ask(e effect.Ask) {
	if e.Wait > 0 {
		time.Sleep(e.Wait)
	}
	verdict, answer := v.front.options.Asker.Ask(v.request.Context(), e)
	v.recovered = answer
	v.front.loop.Do(event.Judged{
		At:      time.Now(),
		ID:      v.id,
		Ticket:  e.Ticket,
		Verdict: verdict,
		Kept:    answer != nil,
		Random:  rand.Uint64(),
	})
}
