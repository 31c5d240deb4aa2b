package grant_test

import (
	"context"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/stretchr/testify/require"
)

// askedPeer is one request for tokens that a peer received.
type askedPeer struct {
	peer string
	wait time.Duration
}

// reservedPeers are peers whose tokens are all reserved, but those of one.
type reservedPeers struct {
	lends string
	asked []askedPeer
}

// Lend implements grant.Lender.
func (p *reservedPeers) Lend(ctx context.Context, peer, _, _ string, need, _ int64) (grant.Lot, error) {
	p.asked = append(p.asked, askedPeer{peer, grant.UrgencyOf(ctx).Wait})
	if peer == p.lends {
		return grant.Lot{Part: grant.Part{Holder: peer, Seq: 1, Tokens: need}}, nil
	}
	return grant.Lot{}, grant.Error.Wrap(grant.ErrAllReserved)
}

// Guards against a request that waits for reserved tokens of its own region while tokens of another one are idle.
func TestOtherRegionsAreAskedBeforeARequestWaits(t *testing.T) {
	const wait = 300 * time.Millisecond
	for lends, want := range map[string][]askedPeer{
		"b1": {{"a1", 0}, {"b1", 0}},
		"":   {{"a1", 0}, {"b1", 0}, {"c1", 0}, {"a1", wait}},
	} {
		p := &reservedPeers{lends: lends}
		layout := account.Layout{Prefix: "budget/", Pages: 1}
		g := grant.PeerGranter{Holder: grant.NewHolder("router/1", layout, grant.HorizonPolicy{}), Lender: p, Timeout: time.Second, Now: time.Now,
			Peers:        func(string) []string { return []string{"a1", "a2"} },
			OtherRegions: func(string) [][]string { return [][]string{{"b1"}, {"c1"}} }}
		err := g.Obtain(grant.WithUrgency(t.Context(), grant.Urgency{Rank: 1, Wait: wait}), "team", 100)
		require.Equal(t, want, p.asked)
		if lends == "" {
			require.ErrorIs(t, err, grant.ErrAllReserved)
		} else {
			require.NoError(t, err)
		}
	}
}
