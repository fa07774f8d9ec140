package traffic

import (
	"context"
	"time"

	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/query"
)

// applyQueryActions carries out actions of the query engine. The caller holds mu.
func (r *Runner) applyQueryActions(a query.Actions) {
	r.opts.Recorder.Decided(a.Decisions)
	for _, s := range a.Send {
		r.send(s)
	}
	for _, c := range a.Cancel {
		if running, ok := r.calls[c.ID]; ok {
			running.cancel()
		}
	}
	for _, f := range a.Finish {
		done := r.queries[f.Run]
		delete(r.queries, f.Run)
		if done != nil {
			done <- f
		}
	}
}

// applyCommandActions carries out actions of the command engine. The caller
// holds mu.
func (r *Runner) applyCommandActions(a command.Actions) {
	r.opts.Recorder.Decided(a.Decisions)
	for _, s := range a.Send {
		r.send(s)
	}
	for _, f := range a.Forward {
		r.forward(f)
	}
	for _, f := range a.Finish {
		done := r.commands[f.Waiter]
		delete(r.commands, f.Waiter)
		if done != nil {
			done <- f
		}
	}
}

func (r *Runner) send(s leafcall.Send) {
	ctx, cancel := context.WithCancel(context.Background())
	r.calls[s.ID] = call{cancel: cancel, isCommand: s.Command}
	s.Guard = r.guard(s.Server, s.Guard)
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Done()
		defer cancel()
		began := r.opts.Clock()
		res := r.opts.Transport.Call(ctx, s)
		r.opts.Recorder.CallEnded(s, res, r.opts.Clock().Sub(began))
		r.reply(s, res)
	}()
}

// guard returns a check that is made right before a call is written. It requires
// that the current view is valid and still allows calls to the server, because
// the view may have changed since the server was picked, and that next, if set,
// also allows the call.
func (r *Runner) guard(srv *policy.Server, next func(time.Time) bool) func(time.Time) bool {
	return func(now time.Time) bool {
		return r.view.Load().MayCall(now, srv.Service, srv.Leaf, srv.ID) && (next == nil || next(now))
	}
}

func (r *Runner) reply(s leafcall.Send, res leafcall.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, s.ID)
	now := r.opts.Clock()
	if res.Blame == leafcall.BlameHolder {
		r.opts.Router.HolderFailed(now, s.Via.ID)
	}
	if s.Command {
		r.applyCommandActions(r.opts.Commands.Reply(now, s.ID, res))
	} else {
		r.applyQueryActions(r.opts.Queries.Reply(now, s.ID, res))
	}
	r.wakeIfEarlier()
}

func (r *Runner) forward(f command.Forward) {
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Done()
		ctx, cancel := context.WithDeadline(context.Background(), f.Request.Deadline)
		defer cancel()
		answer := r.opts.Forwarder.Forward(ctx, f)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.applyCommandActions(r.opts.Commands.ForwardReply(r.opts.Clock(), f.Waiter, answer))
	}()
}
