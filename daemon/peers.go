package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/control"
	"github.com/figmast/figmast/internal/clock"
	"github.com/figmast/figmast/internal/fault"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/peer"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/relay"
	"github.com/figmast/figmast/timeline"
	"github.com/figmast/figmast/traffic"
	"github.com/figmast/figmast/wire"
)

// maxAhead is how far a peer's wall clock may be ahead for its stamps to
// count.
const maxAhead = time.Minute

// peers carries what hosts ask of each other.
type peers struct {
	transport *peer.Transport
	runner    *traffic.Runner
	control   *controller
	events    *timeline.Ring
	carrier   *relay.Relay
	// relayed counts leaf calls that peers had this host make.
	relayed *metrics.Counter
	// serving counts commands and leaf calls in progress for peers, and
	// lastServed is when the last of them ended, in Unix nanoseconds.
	serving    atomic.Int64
	lastServed atomic.Int64
}

// Request sends a message and returns the answer; events of both hosts are
// ordered by it.
func (p *peers) Request(ctx context.Context, address string, m *wire.Message) (*wire.Message, error) {
	m.Stamp = p.events.Now()
	answer, err := p.transport.Request(ctx, address, m)
	if err != nil {
		return nil, err
	}
	p.observe(answer.Stamp)
	if answer.Failure != nil {
		// The step must not read like one of this host: the peer got the message.
		detail := fmt.Errorf("%s: %s", answer.Failure.Step, answer.Failure.Detail)
		return nil, fault.Wrap(fault.Peer, "answer", address, detail)
	}
	return answer, nil
}

// BeginRelayed decides whether this host makes a leaf call for a peer.
func (p *peers) BeginRelayed(service, leaf, server string) (*policy.Server, func(leafcall.Result), error) {
	return p.runner.BeginRelayed(service, leaf, server)
}

// stats returns the traffic with other hosts so far.
func (p *peers) stats() peer.Stats {
	if p.transport == nil {
		return peer.Stats{}
	}
	return p.transport.Stats()
}

func (p *peers) observe(s timeline.Stamp) {
	if s.Wall < time.Now().Add(maxAhead).UnixNano() {
		p.events.Observe(s)
	}
}

// ask asks a peer about the configuration.
func (p *peers) ask(ctx context.Context, address string, a *control.Ask) (*control.Answer, error) {
	answer, err := p.Request(ctx, address, &wire.Message{Ask: a})
	if err != nil {
		return nil, err
	}
	if answer.Answer == nil {
		return nil, fault.Wrap(fault.Peer, "ask", address, errors.New("the answer is of another kind"))
	}
	return answer.Answer, nil
}

// Forward hands a command to the host that minted its ticket.
func (p *peers) Forward(ctx context.Context, f command.Forward) command.Finish {
	m := &wire.Message{Forward: &wire.Forward{
		RequestID: f.Request.ID,
		Service:   f.Request.Service,
		Command:   f.Request.Wire(),
		LeftMs:    max(f.Request.Deadline.Sub(clock.Now()).Milliseconds(), 1),
	}}
	answer, err := p.Request(ctx, f.To.Address, m)
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
	p.observe(m.Stamp)
	answer := p.dispatch(ctx, m)
	answer.Stamp = p.events.Now()
	return answer
}

func (p *peers) dispatch(ctx context.Context, m *wire.Message) *wire.Message {
	switch {
	case m.Ask != nil:
		return p.serveAsk(ctx, m.Ask)
	case m.Forward != nil:
		defer p.begin()()
		return p.serveForward(ctx, m.Forward)
	case m.LeafCall != nil:
		defer p.begin()()
		p.relayed.Inc()
		return p.carrier.Serve(ctx, m.LeafCall)
	default:
		return refuse("serve", "unknown message")
	}
}

func refuse(step, detail string) *wire.Message {
	return &wire.Message{Failure: &wire.Failure{Step: step, Detail: detail}}
}

func (p *peers) serveAsk(ctx context.Context, a *control.Ask) *wire.Message {
	answer := p.control.serve(ctx, a)
	if answer == nil {
		return refuse("ask", "the host is stopping")
	}
	return &wire.Message{Answer: answer}
}

func (p *peers) serveForward(ctx context.Context, f *wire.Forward) *wire.Message {
	left := time.Duration(f.LeftMs) * time.Millisecond
	req := command.FromWire(f.Service, f.RequestID, f.Command)
	req.Deadline = clock.Now().Add(left)
	req.Forwarded = true
	answer, problem := p.runner.Command(ctx, req)
	return &wire.Message{Outcome: &wire.Outcome{Answer: answer, Problem: problem}}
}

// begin counts work for a peer; the function it returns ends it.
func (p *peers) begin() (end func()) {
	p.serving.Add(1)
	return func() {
		p.lastServed.Store(time.Now().UnixNano())
		p.serving.Add(-1)
	}
}
