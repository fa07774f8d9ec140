package command

import (
	figmast "github.com/figmast/figmast"
)

// FromWire converts a request sent by a caller or a peer. It does not set the
// deadline.
func FromWire(service, id string, c figmast.CommandRequest) Request {
	return Request{
		ID: id, Service: service, Operation: c.Operation, ShardKey: c.ShardKey,
		Ticket: c.Ticket, Payload: c.Payload, Urgency: c.Urgency, Worth: c.Worth,
	}
}

// Wire converts the request for sending to another process.
func (r Request) Wire() figmast.CommandRequest {
	return figmast.CommandRequest{
		Operation: r.Operation, ShardKey: r.ShardKey, Ticket: r.Ticket,
		Payload: r.Payload, Urgency: r.Urgency, Worth: r.Worth,
	}
}
