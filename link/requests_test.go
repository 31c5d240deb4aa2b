package link_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/stretchr/testify/require"
)

// serveMethods serves methods at peerAddress until the test ends.
func serveMethods(t *testing.T, network *memnet.Network, methods map[string]link.Handler) {
	ln, err := network.Listen("tcp", peerAddress)
	require.NoError(t, err)
	s := &link.Server{Security: link.Security{TrustedNetwork: true}, Heartbeat: heartbeat, Methods: methods, MaxMessageBytes: maxMessage}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() { s.Serve(ctx, ln); close(served) }()
	t.Cleanup(func() { stop(); <-served })
}

// Guards against a healthy connection that is closed, with all its calls, because its heartbeats wait behind
// many requests that are handled for long, such as while the store is silent.
func TestHeartbeatsAreAnsweredWhileManyRequestsAreHandled(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const calls, handling = maxHandled, 10 * time.Second
		var network memnet.Network
		serveMethods(t, &network, map[string]link.Handler{
			"slow": link.Handle(func(ctx context.Context, _ int) (int, error) {
				select {
				case <-time.After(handling):
				case <-ctx.Done():
				}
				return 0, ctx.Err()
			}),
			"quick": link.Handle(func(context.Context, int) (int, error) { return 0, nil })})
		p := newPool(&network)
		defer p.Close()
		errs := make(chan error, calls)
		for n := range calls {
			go func() { errs <- p.Call(t.Context(), peerAddress, "slow", n, nil) }()
		}
		time.Sleep(time.Second)
		quick, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		quickErr := p.Call(quick, peerAddress, "quick", 1, nil)
		failed := 0
		for range calls {
			if <-errs != nil {
				failed++
			}
		}
		require.Zero(t, failed, "calls that failed, although their peer is healthy")
		require.NoError(t, quickErr, "a quick call waits behind the slow ones")
	})
}

// Guards against requests that are handled for good after their caller closed the connection: the connection
// is not read while as many requests as allowed are handled, so that its end is not observed.
func TestRequestsEndWithTheirConnection(t *testing.T) {
	for _, calls := range []int{1000, maxHandled} {
		t.Run(fmt.Sprint(calls), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				var handling atomic.Int64
				var network memnet.Network
				serveMethods(t, &network, map[string]link.Handler{
					"wait": link.Handle(func(ctx context.Context, _ int) (int, error) {
						handling.Add(1)
						defer handling.Add(-1)
						<-ctx.Done()
						return 0, ctx.Err()
					})})
				p := newPool(&network)
				for n := range calls {
					go func() { _ = p.Call(t.Context(), peerAddress, "wait", n, nil) }()
				}
				time.Sleep(100 * time.Millisecond)
				p.Close()
				time.Sleep(time.Hour)
				synctest.Wait()
				require.Zero(t, handling.Load(), "requests still handled an hour after the connection ended")
			})
		})
	}
}

func BenchmarkCall(b *testing.B) {
	for _, size := range []int{100, 4 << 10, 256 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var network memnet.Network
			ln, err := network.Listen("tcp", peerAddress)
			require.NoError(b, err)
			s := &link.Server{Security: link.Security{TrustedNetwork: true}, Methods: map[string]link.Handler{
				"echo": link.Handle(func(_ context.Context, in []string) (int, error) { return len(in), nil })}}
			ctx, stop := context.WithCancel(b.Context())
			served := make(chan struct{})
			go func() { s.Serve(ctx, ln); close(served) }()
			defer func() { stop(); <-served }()
			p := &link.Pool{From: "router-1/A", Security: link.Security{TrustedNetwork: true}, Heartbeat: time.Second,
				DialTimeout: time.Second, Dial: network.Dial}
			defer p.Close()
			in := make([]string, size/50)
			for i := range in {
				in[i] = strings.Repeat("x", 47)
			}
			b.ReportAllocs()
			for b.Loop() {
				var n int
				require.NoError(b, p.Call(ctx, peerAddress, "echo", in, &n))
			}
		})
	}
}
