package backend

import (
	"context"
	"net/http"
)

// clientConn is one connection: net/http's ClientConn and the socket beneath it.
type clientConn struct {
	*http.ClientConn
	socket *socket
}

// clientConnKey is the context key of the clientConn that a socket is opened
// for.
type clientConnKey struct{}

// withClientConn returns a context under which quota.dial stores the socket that
// it opens in conn.
func withClientConn(ctx context.Context, conn *clientConn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}
