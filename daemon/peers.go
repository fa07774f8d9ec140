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

// maxClockSkew is how far a peer's wall clock may be ahead of this host's. Stamps
// that are further ahead are ignored, so that they do not advance this host's
// hybrid clock.
const maxClockSkew = time.Minute

// peers sends requests to other hosts and serves theirs.
type peers struct {
	transport *peer.Transport
	runner    *traffic.Runner
	control   *controller
	events    *timeline.Ring
	relay     *relay.Relay
	// relayed counts the leaf calls that this host has made for peers.
	relayed *metrics.Counter
	// serving is the number of commands and leaf calls in progress for peers,
	// and lastServed is when the last one ended, in Unix nanoseconds.
	serving    atomic.Int64
	lastServed atomic.Int64
}

// Request sends a message to a peer and returns the answer. The stamps in the two
// messages put the events of the two hosts in causal order.
func (p *peers) Request(ctx context.Context, address string, m *wire.Message) (*wire.Message, error) {
	m.Stamp = p.events.Now()
	answer, err := p.transport.Request(ctx, address, m)
	if err != nil {
		return nil, err
	}
	p.observeStamp(answer.Stamp)
	if answer.Failure != nil {
		// The peer received the message, so its step goes into the detail only.
		// As the step of this error it would read like a step of this host, such
		// as connect, from which isNotSent concludes that nothing was sent.
		detail := fmt.Errorf("%s: %s", answer.Failure.Step, answer.Failure.Detail)
		return nil, fault.Wrap(fault.Peer, "answer", address, detail)
	}
	return answer, nil
}

// BeginRelayed implements relay.Admission.
func (p *peers) BeginRelayed(service, leaf, server string) (*policy.Server, func(leafcall.Result), error) {
	return p.runner.BeginRelayed(service, leaf, server)
}

// stats returns the counters of traffic with other hosts.
func (p *peers) stats() peer.Stats {
	if p.transport == nil {
		return peer.Stats{}
	}
	return p.transport.Stats()
}

func (p *peers) observeStamp(s timeline.Stamp) {
	if s.Wall < time.Now().Add(maxClockSkew).UnixNano() {
		p.events.Observe(s)
	}
}

// ask sends a sync request to a peer and returns the response. Control state uses
// it to synchronize the configuration.
func (p *peers) ask(ctx context.Context, address string, a *control.SyncRequest) (*control.SyncResponse, error) {
	answer, err := p.Request(ctx, address, &wire.Message{Ask: a})
	if err != nil {
		return nil, err
	}
	if answer.Answer == nil {
		return nil, fault.Wrap(fault.Peer, "ask", address, errors.New("the peer answered with another type of message"))
	}
	return answer.Answer, nil
}

// Forward sends a command to the host that minted its ticket.
func (p *peers) Forward(ctx context.Context, f command.Forward) command.Finish {
	m := &wire.Message{Forward: &wire.ForwardedCommand{
		RequestID:   f.Request.ID,
		Service:     f.Request.Service,
		Command:     f.Request.Wire(),
		RemainingMs: max(f.Request.Deadline.Sub(clock.Now()).Milliseconds(), 1),
	}}
	answer, err := p.Request(ctx, f.To.Address, m)
	if err != nil {
		return command.Finish{NotHanded: isNotSent(err)}
	}
	if answer.Outcome == nil {
		return command.Finish{}
	}
	return command.Finish{Answer: answer.Outcome.Answer, Problem: answer.Outcome.Problem}
}

// isNotSent reports whether it is certain that the peer did not receive the
// message.
func isNotSent(err error) bool {
	step, _ := fault.Origin(err)
	return step == "connect" || step == "encode"
}

// serve handles a message of a peer and returns the answer.
func (p *peers) serve(ctx context.Context, m *wire.Message) *wire.Message {
	p.observeStamp(m.Stamp)
	answer := p.dispatch(ctx, m)
	answer.Stamp = p.events.Now()
	return answer
}

func (p *peers) dispatch(ctx context.Context, m *wire.Message) *wire.Message {
	switch {
	case m.Ask != nil:
		return p.serveAsk(ctx, m.Ask)
	case m.Forward != nil:
		defer p.beginServing()()
		return p.serveForward(ctx, m.Forward)
	case m.LeafCall != nil:
		defer p.beginServing()()
		p.relayed.Inc()
		return p.relay.Serve(ctx, m.LeafCall)
	default:
		return failureMessage("serve", "unknown message")
	}
}

func failureMessage(step, detail string) *wire.Message {
	return &wire.Message{Failure: &wire.Failure{Step: step, Detail: detail}}
}

func (p *peers) serveAsk(ctx context.Context, a *control.SyncRequest) *wire.Message {
	answer := p.control.serveAsk(ctx, a)
	if answer == nil {
		return failureMessage("ask", "the host is stopping")
	}
	return &wire.Message{Answer: answer}
}

func (p *peers) serveForward(ctx context.Context, f *wire.ForwardedCommand) *wire.Message {
	remaining := time.Duration(f.RemainingMs) * time.Millisecond
	req := command.FromWire(f.Service, f.RequestID, f.Command)
	req.Deadline = clock.Now().Add(remaining)
	req.Forwarded = true
	answer, problem := p.runner.Command(ctx, req)
	return &wire.Message{Outcome: &wire.Outcome{Answer: answer, Problem: problem}}
}

// beginServing counts a request of a peer as in progress until the function that
// it returns is called.
func (p *peers) beginServing() (end func()) {
	p.serving.Add(1)
	return func() {
		p.lastServed.Store(time.Now().UnixNano())
		p.serving.Add(-1)
	}
}
