package grant

import (
	"context"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/stretchr/testify/require"
)

// restoredGranter returns a granter whose store has one budget of 1,000 tokens.
func restoredGranter(t *testing.T, s *memstore.Store, id string) *StoreGranter {
	layout := account.Layout{Prefix: "p/", Pages: 1}
	admin := account.AdminClient{Store: s, Layout: layout}
	require.NoError(t, admin.Create(context.Background(), "b", "team"))
	require.NoError(t, admin.TopUp(context.Background(), "b", "first", 1000))
	h := NewHolder(id, layout, RequestPolicy{})
	h.UseMinimalRows(func(string) bool { return false })
	return &StoreGranter{Holder: h, Store: s, Layout: layout, Timeout: time.Second, CallTimeout: time.Second, PageCacheTTL: time.Minute,
		Now: time.Now, Timing: DefaultTiming(), Era: s.Era}
}

func (g *StoreGranter) take(n int64) error {
	_, err := (&Acquirer{Holder: g.Holder, Now: time.Now, Chain: []Granter{g}}).Acquire(context.Background(), "b", n)
	return err
}

// Guards against tokens taken from a page that was read from an older copy, or from one cached before: the tokens may be
// granted to another holder already.
func TestClosedPageGrantsNothing(t *testing.T) {
	s := memstore.New()
	x, y := restoredGranter(t, s, "x"), restoredGranter(t, s, "y")
	older := s.Copy()
	require.NoError(t, x.take(600))
	require.NoError(t, y.take(100))
	s.Restore(older)
	closed := 0
	y.OnClosed = func(string) { closed++ }
	require.ErrorIs(t, y.take(700), ErrUnreachable)
	require.Positive(t, closed)

	item, page, err := y.ReadPage(context.Background(), "p/00000")
	require.NoError(t, err)
	for id, g := range map[string]*StoreGranter{"x": x, "y": y} {
		rows, err := g.Confirm(context.Background(), "p/00000")
		require.NoError(t, err)
		page.Accounts["b"].Confirm(id, rows["b"])
	}
	page.Era = s.Era()
	require.NoError(t, y.WritePage(context.Background(), item, page))
	require.ErrorIs(t, y.take(700), ErrUnreachable, "x holds 600")
	require.NoError(t, y.take(300))
}

// Guards against a holder that goes on spending although the page was opened without it: others may have its tokens.
func TestHolderWithoutAConfirmedRowStops(t *testing.T) {
	for _, confirmed := range []*account.Row{nil, {Granted: 100}} {
		s := memstore.New()
		x := restoredGranter(t, s, "x")
		require.NoError(t, x.take(600))
		item, page, err := x.ReadPage(context.Background(), "p/00000")
		require.NoError(t, err)
		page.Accounts["b"].Confirm("x", account.Confirmation{Row: confirmed})
		require.NoError(t, x.WritePage(context.Background(), item, page))
		require.ErrorIs(t, x.take(1), ErrFenced)
	}
}

// Guards against a confirmation that lacks the tokens of a sync in flight: it may still succeed.
func TestConfirmationWaitsForTheSyncInFlight(t *testing.T) {
	s := memstore.New()
	x := restoredGranter(t, s, "x")
	call, started := x.joinSync("p/00000")
	require.True(t, started)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := x.Confirm(ctx, "p/00000")
	require.ErrorIs(t, err, ErrUnreachable)
	x.finishSync("p/00000", call)
	_, err = x.Confirm(context.Background(), "p/00000")
	require.NoError(t, err)
}

// Guards against a row that counts as used twice or not at all: its removal was lost with the older copy.
func TestRemovedRowIsConfirmed(t *testing.T) {
	s := memstore.New()
	x := restoredGranter(t, s, "x")
	r, err := (&Acquirer{Holder: x.Holder, Now: time.Now, Chain: []Granter{x}}).Acquire(context.Background(), "b", 600)
	require.NoError(t, err)
	x.Holder.Settle(time.Now(), r, 450)
	older := s.Copy()
	x.Holder.ReturnAll()
	require.NoError(t, x.Sync(context.Background(), "p/00000"))
	s.Restore(older)
	item, page, err := x.ReadPage(context.Background(), "p/00000")
	require.NoError(t, err)
	require.True(t, page.Closed(item.Revision.Era()))
	rows, err := x.Confirm(context.Background(), "p/00000")
	require.NoError(t, err)
	require.Equal(t, account.Confirmation{Removed: 450}, rows["b"])
	a := page.Accounts["b"]
	a.Confirm("x", rows["b"])
	require.EqualValues(t, 550, a.Free())
	require.Equal(t, store.Era(1), s.Era())
}
