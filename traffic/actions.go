package traffic

import (
	"context"
	"time"

	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/query"
)

// runQuery carries out a query's actions. The caller holds mu.
func (r *Runner) runQuery(a query.Actions) {
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

// runCommand carries out a command's actions. The caller holds mu.
func (r *Runner) runCommand(a command.Actions) {
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
	r.calls[s.ID] = call{cancel: cancel, command: s.Command}
	s.Guard = r.guard(s.Server, s.Guard)
	r.working.Add(1)
	go func() {
		defer r.working.Done()
		defer cancel()
		began := r.opts.Clock()
		res := r.opts.Transport.Call(ctx, s)
		r.opts.Recorder.CallEnded(s, res, r.opts.Clock().Sub(began))
		r.reply(s, res)
	}()
}

// guard adds the check that the view in force may be acted on and still has
// the server take work; it may be another view than the one the server was
// picked from.
func (r *Runner) guard(srv *policy.Server, also func(time.Time) bool) func(time.Time) bool {
	return func(now time.Time) bool {
		return r.view.Load().MayCall(now, srv.Service, srv.Leaf, srv.ID) && (also == nil || also(now))
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
		r.runCommand(r.opts.Commands.Reply(now, s.ID, res))
	} else {
		r.runQuery(r.opts.Queries.Reply(now, s.ID, res))
	}
	r.nudge()
}

func (r *Runner) forward(f command.Forward) {
	r.working.Add(1)
	go func() {
		defer r.working.Done()
		ctx, cancel := context.WithDeadline(context.Background(), f.Request.Deadline)
		defer cancel()
		answer := r.opts.Forwarder.Forward(ctx, f)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runCommand(r.opts.Commands.ForwardReply(r.opts.Clock(), f.Waiter, answer))
	}()
}
