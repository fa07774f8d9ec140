package command

import (
	figmast "github.com/figmast/figmast"
)

// FromWire returns the request that a caller or a peer sent; the deadline is
// left to set.
func FromWire(service, id string, c figmast.CommandRequest) Request {
	return Request{
		ID: id, Service: service, Operation: c.Operation, ShardKey: c.ShardKey,
		Ticket: c.Ticket, Payload: c.Payload, Urgency: c.Urgency, Worth: c.Worth,
	}
}

// Wire returns the request as it travels between processes.
func (r Request) Wire() figmast.CommandRequest {
	return figmast.CommandRequest{
		Operation: r.Operation, ShardKey: r.ShardKey, Ticket: r.Ticket,
		Payload: r.Payload, Urgency: r.Urgency, Worth: r.Worth,
	}
}
