package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// upstreamState is what a look at an upstream shows.
type upstreamState string

// The states.
const (
	// upstreamEnded says that nobody listens at the address.
	upstreamEnded upstreamState = "ended"
	// upstreamListens says that only the connection broke, or that another life listens.
	upstreamListens upstreamState = "listens"
	// upstreamUnknown says that the address did not answer: it may be cut off.
	upstreamUnknown upstreamState = "unknown"
)

// dialer makes a connection, as a net.Dialer does.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// lookAt finds out whether the upstream at an address ended, by the start of a connection. A
// broken connection alone does not tell: connections are reset, and answers spoiled, by upstreams
// that live.
func lookAt(ctx context.Context, dial dialer, address string) upstreamState {
	conn, err := dial(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent
		return upstreamListens
	case errors.Is(err, syscall.ECONNREFUSED):
		return upstreamEnded
	}
	return upstreamUnknown
}
