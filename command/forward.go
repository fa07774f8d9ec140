package command

import (
	"time"

	"github.com/figmast/figmast/decision"
)

// forward hands the command to the host that minted its ticket. What this
// host knows of the service does not matter: the minter decides.
func (e *Engine) forward(w *wait, t Ticket) {
	v := e.opts.Router.View()
	if v == nil || w.req.Forwarded {
		e.refuse(w, notListed(t))
		return
	}
	h, ok := v.Host(t.Host)
	if !ok {
		e.refuse(w, notListed(t))
		return
	}
	req := w.req
	req.Forwarded = true
	e.out.Forward = append(e.out.Forward, Forward{Waiter: w.run, To: h, Request: req})
	e.decide(w, decision.Forwarded, "", "", h.ID)
}

// ForwardReply hands in a peer's answer to a Forward. A late, repeated or
// crossed answer reaches nobody.
func (e *Engine) ForwardReply(now time.Time, run WaiterID, f Finish) Actions {
	e.observe(now)
	w := e.waits[run]
	if w == nil || w.claim != nil {
		return Actions{}
	}
	switch {
	case f.NotHanded:
		e.refuse(w, unreachable())
	case !f.answers(w.req):
		e.refuse(w, noAnswer())
	default:
		e.finish(w, f)
	}
	return e.take()
}

// answers reports whether the peer's answer belongs to the request.
func (f Finish) answers(req Request) bool {
	switch {
	case f.Answer != nil:
		return f.Answer.RequestID == req.ID && f.Answer.Service == req.Service
	case f.Problem != nil:
		return f.Problem.RequestID == req.ID
	default:
		return false
	}
}
