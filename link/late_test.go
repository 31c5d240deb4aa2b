package link_test

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/stretchr/testify/require"
)

// dialCounter opens connections after a delay, and counts those that are being opened.
type dialCounter struct {
	network *memnet.Network
	delay   time.Duration
	pending atomic.Int64
}

func (d *dialCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.pending.Add(1)
	defer d.pending.Add(-1)
	if err := backoff.Sleep(ctx, d.delay); err != nil {
		return nil, err
	}
	return d.network.Dial(ctx, network, address)
}

// Guards against a process that reaches no other one while its link or processor delays each message by more than the time for which
// calls wait for a connection.
func TestConnectionThatOpensLateIsUsed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		ln, err := network.Listen("tcp", peerAddress)
		require.NoError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		s := &link.Server{Security: link.Security{TrustedNetwork: true}, Methods: map[string]link.Handler{
			"m": func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil }}}
		go s.Serve(ctx, ln)
		p := newPool(&network)
		defer p.Close()
		d := &dialCounter{network: &network, delay: 3 * p.DialTimeout}
		p.Dial = d.dial
		began := time.Now()
		require.ErrorIs(t, p.Call(ctx, peerAddress, "m", nil, nil), link.ErrDown)
		require.Equal(t, p.DialTimeout, time.Since(began))
		time.Sleep(d.delay - p.DialTimeout - time.Millisecond)
		require.ErrorIs(t, callWithin(p, time.Millisecond/2), link.ErrDown, "not open yet")
		time.Sleep(time.Millisecond)
		require.NoError(t, callWithin(p, time.Millisecond))
	})
}

func callWithin(p *link.Pool, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.Call(ctx, peerAddress, "m", nil, nil)
}

// Guards against connections that pile up while a process that does not answer is called again and again.
func TestFewConnectionsAreOpenedToASilentProcess(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		p := newPool(&network)
		d := &dialCounter{network: &network, delay: time.Hour}
		p.Dial = d.dial
		for range 50 {
			require.ErrorIs(t, callWithin(p, time.Second), link.ErrDown)
			require.LessOrEqual(t, d.pending.Load(), int64(3))
		}
		p.Close()
		synctest.Wait()
		require.Zero(t, d.pending.Load())
	})
}
