package daemon

import (
	"context"
	"time"

	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/internal/clock"
	"github.com/figmast/figmast/internal/fault"
	"github.com/figmast/figmast/peer"
	"github.com/figmast/figmast/traffic"
	"github.com/figmast/figmast/wire"
)

// peers carries what hosts ask of each other.
type peers struct {
	transport *peer.Transport
	runner    *traffic.Runner
}

// Forward hands a command to the host that minted its ticket.
func (p *peers) Forward(ctx context.Context, f command.Forward) command.Finish {
	m := &wire.Message{Forward: &wire.Forward{
		RequestID: f.Request.ID,
		Service:   f.Request.Service,
		Command:   f.Request.Wire(),
		LeftMs:    max(f.Request.Deadline.Sub(clock.Now()).Milliseconds(), 1),
	}}
	answer, err := p.transport.Request(ctx, f.To.Address, m)
	if err != nil {
		return command.Finish{NotHanded: handedToNobody(err)}
	}
	if answer.Outcome == nil {
		return command.Finish{}
	}
	return command.Finish{Answer: answer.Outcome.Answer, Problem: answer.Outcome.Problem}
}

// handedToNobody reports whether it is certain that the peer got nothing.
func handedToNobody(err error) bool {
	step, _ := fault.Origin(err)
	return step == "connect" || step == "encode"
}

// serve answers what a peer asks.
func (p *peers) serve(ctx context.Context, m *wire.Message) *wire.Message {
	switch {
	case m.Forward != nil:
		return p.serveForward(ctx, m.Forward)
	default:
		return &wire.Message{Failure: &wire.Failure{Step: "serve", Detail: "unknown message"}}
	}
}

func (p *peers) serveForward(ctx context.Context, f *wire.Forward) *wire.Message {
	left := time.Duration(f.LeftMs) * time.Millisecond
	req := command.FromWire(f.Service, f.RequestID, f.Command)
	req.Deadline = clock.Now().Add(left)
	req.Forwarded = true
	answer, problem := p.runner.Command(ctx, req)
	return &wire.Message{Outcome: &wire.Outcome{Answer: answer, Problem: problem}}
}
