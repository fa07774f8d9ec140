package backend

import (
	"context"
	"net/http"
)

// link is one connection: net/http's side of it and the socket beneath.
type link struct {
	*http.ClientConn
	socket *socket
}

// linkKey finds the link that a connection is opened for.
type linkKey struct{}

// withLink has the socket that is opened under ctx noted in l.
func withLink(ctx context.Context, l *link) context.Context {
	return context.WithValue(ctx, linkKey{}, l)
}
