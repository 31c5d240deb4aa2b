package link_test

import (
	"context"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/stretchr/testify/require"
)

// Guards against a refusal that loses on its way when reservations end, and against one of a process that does not say it.
func TestReservedErrorCrossesTheLink(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		var refusal error
		serveMethods(t, &network, map[string]link.Handler{
			link.MethodLend: link.Handle(func(context.Context, link.LendRequest) (grant.Lot, error) { return grant.Lot{}, refusal }),
		})
		p := newPool(&network)
		defer p.Close()
		for _, retryAfter := range []time.Duration{0, 350 * time.Millisecond} {
			refusal = grant.Error.Wrap(&grant.ReservedError{RetryAfter: retryAfter})
			err := p.Call(t.Context(), peerAddress, link.MethodLend, link.LendRequest{}, nil)
			require.ErrorIs(t, err, grant.ErrAllReserved)
			require.Equal(t, retryAfter, grant.RetryAfter(err))
		}
		refusal = grant.Error.Wrap(grant.ErrAllReserved)
		err := p.Call(t.Context(), peerAddress, link.MethodLend, link.LendRequest{}, nil)
		require.ErrorIs(t, err, grant.ErrAllReserved)
		require.Zero(t, grant.RetryAfter(err))
	})
}
