package command

import (
	"time"

	"github.com/figmast/figmast/decision"
)

// forward sends the command to the host that minted its ticket. It does not
// check the service against this host's configuration, because the minting host
// decides.
func (e *Engine) forward(w *waiter, t Ticket) {
	v := e.opts.Router.View()
	if v == nil || w.req.Forwarded {
		e.refuse(w, minterNotListed(t))
		return
	}
	h, ok := v.Host(t.Host)
	if !ok {
		e.refuse(w, minterNotListed(t))
		return
	}
	req := w.req
	req.Forwarded = true
	e.out.Forward = append(e.out.Forward, Forward{Waiter: w.id, To: h, Request: req})
	e.recordDecision(w, decision.Forwarded, "", "", h.ID)
}

// ForwardReply passes a peer's answer to a Forward to the engine. Late and
// repeated answers are ignored. An answer to another request is not delivered:
// the caller is told that the peer did not answer.
func (e *Engine) ForwardReply(now time.Time, id WaiterID, f Finish) Actions {
	e.advanceClock(now)
	w := e.waiters[id]
	if w == nil || w.claim != nil {
		return Actions{}
	}
	switch {
	case f.NotHanded:
		e.refuse(w, minterUnreachable())
	case !f.matches(w.req):
		e.refuse(w, minterNoAnswer())
	default:
		e.finish(w, f)
	}
	return e.takeActions()
}

// matches reports whether the peer's answer belongs to the request.
func (f Finish) matches(req Request) bool {
	switch {
	case f.Answer != nil:
		return f.Answer.RequestID == req.ID && f.Answer.Service == req.Service
	case f.Problem != nil:
		return f.Problem.RequestID == req.ID
	default:
		return false
	}
}
