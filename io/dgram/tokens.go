package dgram

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"bulrushlock/core/allot"
	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

// askTimeout is the time after which an ask for tokens counts as lost. It covers several round
// trips between data centres and is short compared with any work.
const askTimeout = 25 * time.Millisecond

// tokenAsk is an ask for tokens without a response yet.
type tokenAsk struct {
	ask     allot.Ask
	askedAt time.Time
	timer   *time.Timer
}

// AskTokens asks the owner of a part of a customer's limit for tokens. It does not wait for the
// response, which the loop gets as an event.
func (tr *Transport) AskTokens(e effect.AskTokens) {
	a := &tokenAsk{ask: e.Ask, askedAt: time.Now()}
	tr.mutex.Lock()
	tr.next++
	number := tr.next
	tr.asks[number] = a
	a.timer = time.AfterFunc(askTimeout, func() {
		defer tr.loop.Recover("ask for tokens")
		if tr.takeAsk(number) != nil {
			tr.answer(a, allot.Answer{}, 0)
		}
	})
	tr.mutex.Unlock()
	tr.send(message{
		Kind: kindAskTokens, Number: number, From: tr.options.Node,
		Tokens: tokens{Customer: e.Ask.Customer, Shard: e.Ask.Shard, Count: e.Ask.Count, Centres: e.Centres},
	}, e.Ask.Owner.ControlAddr)
}

// takeAsk returns the ask with the given number and forgets it. It returns nil if it was settled.
func (tr *Transport) takeAsk(number uint64) *tokenAsk {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	a := tr.asks[number]
	delete(tr.asks, number)
	return a
}

// answer passes what became of an ask to the loop.
func (tr *Transport) answer(a *tokenAsk, e allot.Answer, centres int) {
	e.Ask, e.AskedAt = a.ask, a.askedAt
	tr.loop.Process(event.TokensAnswered{At: time.Now(), Answer: e, Centres: centres, Random: rand.Uint64()})
}

// LendTokens sends the response to an ask for tokens.
func (tr *Transport) LendTokens(e effect.LendTokens) {
	tr.send(message{
		Kind: kindTokens, Number: e.Number, From: tr.options.Node,
		Tokens: tokens{Count: e.Grant.Count, Wait: e.Grant.Wait, IsOwner: e.Grant.Owner, Centres: e.Centres},
	}, e.To)
}

// tokensAsked passes an ask for tokens to the loop.
func (tr *Transport) tokensAsked(m message, from netip.AddrPort) {
	tr.loop.Process(event.TokensAsked{
		At: time.Now(), Number: m.Number, ReplyTo: from, Peer: m.From.Instance,
		Customer: m.Tokens.Customer, Shard: m.Tokens.Shard, Count: m.Tokens.Count, Centres: m.Tokens.Centres,
	})
}

// tokensReceived processes the response to an ask for tokens. One that comes too late, or from
// another node than the one that was asked, is ignored.
func (tr *Transport) tokensReceived(m message) {
	tr.mutex.Lock()
	a, ok := tr.asks[m.Number]
	ok = ok && a.ask.Owner.Name == m.From.Instance
	if ok {
		delete(tr.asks, m.Number)
	}
	tr.mutex.Unlock()
	if !ok {
		return
	}
	a.timer.Stop()
	t := m.Tokens
	tr.answer(a, allot.Answer{Responded: true, Grant: allot.Grant{Owner: t.IsOwner, Count: t.Count, Wait: t.Wait}}, t.Centres)
}
