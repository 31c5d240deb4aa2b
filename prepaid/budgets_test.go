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

// delayedCaller answers each call to a peer after a delay, which may exceed any timeout.
type delayedCaller struct {
	delay time.Duration
	calls int
}

// Call implements lending.Caller.
func (n *delayedCaller) Call(ctx context.Context, _, _ string, _, _ any) error {
	n.calls++
	t := time.NewTimer(n.delay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return link.Error.Wrap(joinedError{link.ErrDown, ctx.Err()})
	}
}

// joinedError joins two errors, as package link returns them.
type joinedError []error

func (j joinedError) Error() string   { return j[0].Error() }
func (j joinedError) Unwrap() []error { return j }

// nopReporter is a member.Reporter that does nothing.
type nopReporter struct{}

func (nopReporter) MembersChanged(int) {}
func (nopReporter) MembersLost(error)  {}
func (nopReporter) MembersRead()       {}

func (nopReporter) NotRegistered(error)    {}
func (nopReporter) Registered()            {}
func (nopReporter) MemberUnreadable(error) {}

// newBorrower returns the budgets of a router that has one lender in its member list.
func newBorrower(t *testing.T, n *delayedCaller) *Budgets {
	s := memstore.New()
	members := &member.Group{Store: s, Prefix: "m/", TTL: time.Hour, Interval: time.Second, Report: nopReporter{},
		Self: member.Member{ID: "primary/1", Role: RoleLender, VM: "primary", Address: "primary:1"}}
	ctx, cancel := context.WithCancel(t.Context())
	go members.KeepAlive(ctx)
	time.Sleep(2 * time.Second)
	members.FindPeers(ctx)
	cancel()
	synctest.Wait()
	return New(Parts{Incarnation: "router/1", Settings: settings.DefaultGateway().Budgets, Store: s, Members: members,
		Links: n, Limits: &ReportedLimits{}, Log: zerolog.New(io.Discard)})
}

// A busy team saturates the link of a small VM, and every reply takes 0.7 s. Requests time out
// before that, but the lender must not count as unreachable: all requests would be refused at once
// for seconds although it has tokens. A lender that answers nothing at all is unreachable, and no
// request calls it until it answers again.
func TestLateRepliesAreNoOutage(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := &delayedCaller{delay: 700 * time.Millisecond}
		b := newBorrower(t, n)
		lend := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			_, err := b.Lend(ctx, "primary/1", "team", "id", 10, 10)
			return err
		}
		require.ErrorIs(t, lend(), context.DeadlineExceeded)
		require.False(t, b.peerOutages.of("primary/1").ongoing(), "one late reply is no outage")
		b.probePeers(t.Context())
		require.False(t, b.peerOutages.of("primary/1").ongoing(), "the probe was answered")

		n.delay = time.Hour
		require.ErrorIs(t, lend(), context.DeadlineExceeded)
		b.probePeers(t.Context())
		require.True(t, b.peerOutages.of("primary/1").ongoing())
		before := n.calls
		began := time.Now()
		require.ErrorIs(t, lend(), link.ErrDown)
		require.Equal(t, before, n.calls, "a failed peer is not called")
		require.Zero(t, time.Since(began))

		n.delay = 0
		b.probePeers(t.Context())
		require.NoError(t, lend())
	})
}

// A router with an outdated configuration sends an older limit than the recorded one: it must not
// revert the newer limit.
func TestOlderReportedLimitsAreIgnored(t *testing.T) {
	var l ReportedLimits
	l.Record("team", 5, 1000)
	l.Record("team", 4, 9000)
	l.Record("team", 0, 0) // a router that has no configuration yet
	version, tokens := l.Get("team")
	require.EqualValues(t, 5, version)
	require.EqualValues(t, 1000, tokens)
	l.Record("team", 6, 500)
	_, tokens = l.Get("team")
	require.EqualValues(t, 500, tokens)
}

// The primary has checked the whole page, and all that is left is reserved for requests in
// progress. The borrower must call neither another lender nor the store: they have nothing, and
// near the end of a budget each request would make all these calls.
func TestNoFurtherRequestsWhenAllTokensAreReserved(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		calls := 0
		allReserved := lenderFunc(func() error { calls++; return grant.Error.Wrap(grant.ErrAllReserved) })
		b := newBorrower(t, &delayedCaller{})
		peers := &grant.PeerGranter{Holder: b.holder, Lender: allReserved, Timeout: time.Second, Now: time.Now,
			Peers: func(string) []string { return []string{"primary/1", "next/1"} }}
		storeGranter := granterFunc(func() error { calls += 100; return nil })
		a := &grant.Acquirer{Holder: b.holder, Now: time.Now, Chain: []grant.Granter{peers, storeGranter}}
		_, err := a.Acquire(t.Context(), "team", 10)
		require.ErrorIs(t, err, grant.ErrUnreachable, "reserved tokens may become free: the budget is not exhausted")
		require.Equal(t, 1, calls)
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
