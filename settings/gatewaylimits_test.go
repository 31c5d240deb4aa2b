package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against limits that do not fit the process: a router of 88 MiB with 1,800 requests in progress took 93 MiB.
func TestGatewayLimitsFollowFromTheProcess(t *testing.T) {
	for _, c := range []struct {
		set                     GatewayLimits
		concurrent, connections int
		bodyBytes               int64
	}{
		{set: GatewayLimits{MemoryMB: 88, Descriptors: 4100}, concurrent: 750, connections: 1800, bodyBytes: 22 << 20},
		{set: GatewayLimits{MemoryMB: 128, Descriptors: 4096}, concurrent: 1092, connections: 1798, bodyBytes: 32 << 20},
		{set: GatewayLimits{MemoryMB: 536, Descriptors: 8192}, concurrent: 2000, connections: 3846, bodyBytes: 134 << 20},
		{set: GatewayLimits{MemoryMB: 1, Descriptors: 400}, concurrent: 8, connections: 100, bodyBytes: 1 << 18},
		{set: GatewayLimits{MemoryMB: 88, Descriptors: 4100, Concurrent: 3000, Connections: 10, BodiesMB: 1}, concurrent: 3000, connections: 10, bodyBytes: 1 << 20},
	} {
		require.Equal(t, c.concurrent, c.set.MaxConcurrent(), c.set)
		require.Equal(t, c.connections, c.set.MaxConnections(), c.set)
		require.Equal(t, c.bodyBytes, c.set.BodyBytes(), c.set)
	}
}
