package prepaid

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// network is the way to peers: each answer takes some time, or never comes.
type network struct {
	delay time.Duration
	calls int
}

// Call implements lending.Caller.
func (n *network) Call(ctx context.Context, _, _ string, _, _ any) error {
	n.calls++
	t := time.NewTimer(n.delay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return link.Error.Wrap(joined{link.ErrDown, ctx.Err()})
	}
}

// joined is two errors as one, as package link returns them.
type joined []error

func (j joined) Error() string   { return j[0].Error() }
func (j joined) Unwrap() []error { return j }

// quiet hears of members and does nothing.
type quiet struct{}

func (quiet) MembersChanged(int) {}
func (quiet) MembersLost(error)  {}
func (quiet) MembersRead()       {}

func (quiet) NotRegistered(error)    {}
func (quiet) Registered()            {}
func (quiet) MemberUnreadable(error) {}

// borrower is the budgets of a router that knows one lender.
func borrower(t *testing.T, n *network) *Budgets {
	s := memstore.New()
	members := &member.Group{Store: s, Prefix: "m/", TTL: time.Hour, Interval: time.Second, Report: quiet{},
		Self: member.Member{ID: "home/1", Role: RoleLender, VM: "home", Address: "home:1"}}
	ctx, cancel := context.WithCancel(t.Context())
	go members.KeepAlive(ctx)
	time.Sleep(2 * time.Second)
	members.FindPeers(ctx)
	cancel()
	synctest.Wait()
	return New(Parts{Life: "router/1", Settings: settings.DefaultGateway().Budgets, Store: s, Members: members,
		Links: n, Limits: &Told{}, Log: zerolog.New(io.Discard)})
}

// A hot team fills the link of a small VM, and every answer takes 0.7 s. Requests give up on
// the lender before that, but it must not count as lost: for seconds all requests would be
// refused at once although it has tokens. When it answers nothing at all it is lost, and
// requests leave it alone until it answers again.
func TestLateAnswersAreNoOutage(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := &network{delay: 700 * time.Millisecond}
		b := borrower(t, n)
		lend := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			_, err := b.Lend(ctx, "home/1", "team", "id", 10, 10)
			return err
		}
		require.ErrorIs(t, lend(), context.DeadlineExceeded)
		require.False(t, b.peers.of("home/1").lasts(), "one late answer says little")
		b.probePeers(t.Context())
		require.False(t, b.peers.of("home/1").lasts(), "the probe was answered")

		n.delay = time.Hour
		require.ErrorIs(t, lend(), context.DeadlineExceeded)
		b.probePeers(t.Context())
		require.True(t, b.peers.of("home/1").lasts())
		before := n.calls
		began := time.Now()
		require.ErrorIs(t, lend(), link.ErrDown)
		require.Equal(t, before, n.calls, "it is left alone")
		require.Zero(t, time.Since(began))

		n.delay = 0
		b.probePeers(t.Context())
		require.NoError(t, lend())
	})
}

// A limit that comes with a late router's request is older than the one known: it must not
// undo what operators decided since.
func TestToldLimitsOnlyGetNewer(t *testing.T) {
	var l Told
	l.Note("team", 5, 1000)
	l.Note("team", 4, 9000)
	l.Note("team", 0, 0) // a router that has no configuration yet
	version, tokens := l.Of("team")
	require.EqualValues(t, 5, version)
	require.EqualValues(t, 1000, tokens)
	l.Note("team", 6, 500)
	_, tokens = l.Of("team")
	require.EqualValues(t, 500, tokens)
}

// The home has looked at the whole page and everything left is set aside for requests in
// progress. The borrower asks neither another lender nor the store: there is nothing, and
// near the end of a budget each request would cost all these calls.
func TestNobodyAsksOnForTokensThatAreSetAside(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		asked := 0
		held := lenderFunc(func() error { asked++; return grant.Error.Wrap(grant.ErrAllReserved) })
		b := borrower(t, &network{})
		peers := &grant.PeerGranter{Holder: b.holder, Lender: held, Timeout: time.Second, Now: time.Now,
			Peers: func(string) []string { return []string{"home/1", "next/1"} }}
		storeAsked := granterFunc(func() error { asked += 100; return nil })
		a := &grant.Acquirer{Holder: b.holder, Now: time.Now, Chain: []grant.Granter{peers, storeAsked}}
		_, err := a.Acquire(t.Context(), "team", 10)
		require.ErrorIs(t, err, grant.ErrUnreachable, "some may come back: it is not exhausted")
		require.Equal(t, 1, asked)
	})
}

type lenderFunc func() error

// Lend implements grant.Lender.
func (f lenderFunc) Lend(context.Context, string, string, string, int64, int64) (grant.Lot, error) {
	return grant.Lot{}, f()
}

type granterFunc func() error

// Obtain implements grant.Granter.
func (f granterFunc) Obtain(context.Context, string, int64) error { return f() }
