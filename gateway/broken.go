package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// upstreamState is the result of probing an upstream.
type upstreamState string

// The results of probing an upstream.
const (
	// upstreamDown means that no process listens at the address.
	upstreamDown upstreamState = "ended"
	// upstreamListening means that only the connection broke, or that another incarnation listens.
	upstreamListening upstreamState = "listens"
	// upstreamUnknown means that the address did not respond: it may be partitioned from this VM.
	upstreamUnknown upstreamState = "unknown"
)

// dialFunc opens a connection, like net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// probeUpstream determines whether the upstream at an address is down by dialing it. A broken
// connection is no proof of that: running upstreams reset connections and send corrupt responses, too.
func probeUpstream(ctx context.Context, dial dialFunc, address string) upstreamState {
	conn, err := dial(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent
		return upstreamListening
	case errors.Is(err, syscall.ECONNREFUSED):
		return upstreamDown
	}
	return upstreamUnknown
}
