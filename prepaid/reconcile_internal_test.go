package prepaid

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// distantCaller answers each call after a while.
type distantCaller time.Duration

// Call implements lending.Caller.
func (d distantCaller) Call(context.Context, string, string, any, any) error {
	time.Sleep(time.Duration(d))
	return nil
}

// Guards against pages that stay closed for the sum of the times in which all processes answer: a lender ended around a restoration
// in a fleet of 984 processes.
func TestProcessesAreAskedForTheirUseAtTheSameTime(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		members := &member.Group{Store: memstore.New(), Prefix: "m/", Report: nopReporter{}}
		b := New(Parts{Incarnation: "lender/1", Settings: settings.DefaultGateway().Budgets, Store: members.Store, Members: members,
			Links: distantCaller(20 * time.Millisecond), Limits: &ReportedLimits{}, Log: zerolog.New(io.Discard)})
		r := &reconciliation{replies: map[string]link.ConfirmReply{}, used: map[string]map[string]int64{}}
		var items []store.Item
		for i := range 984 {
			id := fmt.Sprintf("router-%d/1", i)
			r.replies[id] = link.ConfirmReply{Known: true}
			value := fmt.Sprintf(`{"id":%q,"role":"router","vm":"router-%d","address":"router-%d:1"}`, id, i, i)
			items = append(items, store.Item{Key: "m/" + id, Value: []byte(value), Revision: store.Revision(i + 1)})
		}
		members.Reset(items)
		began := time.Now()
		b.sumUse(t.Context(), r, "lender/0")
		require.Empty(t, r.pending)
		require.Less(t, time.Since(began), time.Second)
		began = time.Now()
		_, ok := b.askWitnesses(t.Context(), r, "lender/0", slices.Collect(maps.Keys(r.replies)))
		require.True(t, ok)
		require.Less(t, time.Since(began), time.Second)
	})
}

// Guards against limits of one witness that count as those of two: it ended and handed them over to two others.
func TestLimitsThatWereHandedOverTwiceCountOnce(t *testing.T) {
	limits := func(n int64) grant.ExposureLimits { return grant.ExposureLimits{"team": {"router/1": n}} }
	merged, witnesses := mergeLimits([]settlement.WitnessAnswer{
		{Known: true, Term: 2, Limits: limits(20), Of: []string{"lender/3"}},
		{Known: true, Term: 2, Limits: limits(30), Of: []string{"lender/3"}},
		{Known: true, Term: 1, Limits: limits(10), Of: []string{"lender/4"}},
	})
	require.Equal(t, 1, witnesses)
	require.Equal(t, limits(30), merged)
}

// Guards against replies that grow with all processes that ended lately, although the caller counts them: each primary would get them
// from each process.
func TestConfirmationLeavesOutMembersThatTheCallerCounts(t *testing.T) {
	const ended = 60
	members := &member.Group{Store: memstore.New(), Prefix: "m/", Report: nopReporter{}}
	b := New(Parts{Incarnation: "lender/1", Settings: settings.DefaultGateway().Budgets, Store: members.Store, Members: members,
		Limits: &ReportedLimits{}, Log: zerolog.New(io.Discard)})
	var items []store.Item
	var ids []string
	for i := range ended {
		ids = append(ids, fmt.Sprintf("router-%d/1", i))
		value := fmt.Sprintf(`{"id":%q,"role":"router","vm":"router-%d","address":"router-%d:1"}`, ids[i], i, i)
		items = append(items, store.Item{Key: "m/" + ids[i], Value: []byte(value), Revision: store.Revision(i + 1)})
	}
	members.Reset(items)
	b.EraChanged(1)
	for i := range ended {
		members.Changed(store.Event{Item: store.Item{Key: "m/" + ids[i], Revision: store.Revision(ended + i + 1)}, Deleted: true})
	}
	request := link.ConfirmRequest{Holder: "lender/1", Era: 1}
	reply, err := b.confirm(t.Context(), request)
	require.NoError(t, err)
	require.Len(t, reply.Members, ended)
	request.Known = ids[1:]
	reply, err = b.confirm(t.Context(), request)
	require.NoError(t, err)
	require.Len(t, reply.Members, 1)
	require.Equal(t, ids[0], reply.Members[0].ID)
}

// Guards against work for each change of a member that goes on for good after a restoration: every process ranks the lenders of all pages
// that it takes for closed.
func TestClosedPagesOfOthersAreDropped(t *testing.T) {
	members := &member.Group{Self: member.Member{ID: "router-0/1", VM: "router-0", Role: RoleRouter}, Store: memstore.New(), Prefix: "m/", Report: nopReporter{}}
	b := New(Parts{Incarnation: "router-0/1", Settings: settings.DefaultGateway().Budgets, Store: members.Store, Members: members,
		Limits: &ReportedLimits{}, Log: zerolog.New(io.Discard)})
	members.Reset([]store.Item{{Key: "m/lender/1", Revision: 1, Value: []byte(`{"id":"lender/1","role":"lender","vm":"lender","address":"lender:1"}`)}})
	b.EraChanged(1)
	now := time.Now()
	require.Empty(t, b.closedPages(now))
	require.Len(t, b.reopening.closed.list(), b.layout.Pages)
	require.Empty(t, b.closedPages(now.Add(othersClosedRetention)))
	require.Empty(t, b.reopening.closed.list())
}
