package prepaid

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/stretchr/testify/require"
)

// settlementBound is the time within which the lots of a router are settled once its VM has a newer incarnation.
const settlementBound = 2 * settleInterval

// Guards against tokens that a router which has ended had reserved, and that look reserved until it has been unlisted for 45 s: callers
// are told to come again for them, and a lender that stops waits for them.
func TestLotsOfAReplacedRouterAreSettled(t *testing.T) {
	withTokenFleet(t, true, 1000, 1, 2, func(t *testing.T, f *tokenFleet) {
		gone, other := f.routers()[0], f.routers()[1]
		require.Nil(t, gone.reserve(t.Context(), 0, 700).refusal)
		time.Sleep(3 * time.Second)
		f.kill(gone)
		time.Sleep(settlementBound)
		require.NotEmpty(t, f.primary().holder.LentLots(), "nothing shows that it has ended")
		require.Equal(t, contract.BudgetUnreachable, other.reserve(t.Context(), 0, 500).refusal.Kind)

		f.start(RoleRouter, gone.member.VM)
		time.Sleep(settlementBound)
		require.Empty(t, f.primary().holder.LentLots())
		require.Equal(t, contract.BudgetExhausted, other.reserve(t.Context(), 0, 500).refusal.Kind)
		require.EqualValues(t, 300, f.spendRest())
		require.Regexp(t, `"borrower":"`+gone.member.ID+`","why":"replaced","budget":"team","lots":1,"reserved":700,"used":700,"returned":0,"oldest_ms":[5-9]\d{3},`+
			`"event":"lots_of_gone_member_counted_as_used"`, f.primary().log.String())
		var out bytes.Buffer
		f.primary().metrics.WritePrometheus(&out)
		require.Contains(t, out.String(), `arbutusmill_budget_settled_tokens_total{why="replaced"} 700`)
	})
}

// lateEntry is the entry of an earlier incarnation of a node that is written after the node's own.
func (f *tokenFleet) lateEntry(n *tokenNode) store.Event {
	earlier := n.member
	earlier.ID += "-earlier"
	value, err := json.Marshal(earlier)
	require.NoError(f.t, err)
	return store.Event{Item: store.Item{Key: "m/" + earlier.ID, Value: value, Revision: n.entry.Revision + 1000}}
}

// Guards against lots that are settled while their router may run on them, and against lots that are never settled.
func TestLotsAreSettledOnceTheirRouterHasEnded(t *testing.T) {
	for name, c := range map[string]struct {
		happens func(f *tokenFleet, router *tokenNode)
		after   time.Duration
		why     string
	}{
		"its requests last": {after: 2 * absenceTimeout},
		"it is unlisted for less than the timeout": {
			happens: func(f *tokenFleet, router *tokenNode) {
				f.primary().members.Changed(store.Event{Item: store.Item{Key: router.entry.Key}, Deleted: true})
			},
			after: absenceTimeout - time.Second,
		},
		"it is unlisted for the timeout": {
			happens: func(f *tokenFleet, router *tokenNode) {
				f.primary().members.Changed(store.Event{Item: store.Item{Key: router.entry.Key}, Deleted: true})
			},
			after: absenceTimeout + settlementBound, why: "absent",
		},
		"the entry of an earlier incarnation is written late": {
			happens: func(f *tokenFleet, router *tokenNode) { f.primary().members.Changed(f.lateEntry(router)) },
			after:   2 * absenceTimeout,
		},
		"it has announced its end": {
			happens: func(f *tokenFleet, router *tokenNode) {
				router.AnnounceEnd(f.t.Context())
				f.kill(router)
			},
			after: settlementBound, why: "announced",
		},
		"its successor has ended too": {
			happens: func(f *tokenFleet, router *tokenNode) {
				f.kill(router)
				next := f.start(RoleRouter, router.member.VM)
				f.kill(next)
				f.listMembers()
			},
			after: settlementBound, why: "replaced",
		},
	} {
		t.Run(name, func(t *testing.T) {
			withTokenFleet(t, true, 1000, 1, 3, func(t *testing.T, f *tokenFleet) {
				router, primary := f.routers()[0], f.primary()
				held := router.reserve(t.Context(), 0, 700)
				require.Nil(t, held.refusal)
				if c.happens != nil {
					c.happens(f, router)
				}
				time.Sleep(c.after)
				require.Equal(t, c.why == "", len(primary.holder.LentLots()) > 0)
				if c.why != "" {
					require.Contains(t, primary.log.String(), `"why":"`+c.why+`"`)
				}
				held.settle(100) // also by a router that was presumed dead
				time.Sleep(5 * time.Second)
				require.LessOrEqual(t, 100+f.spendRest(), int64(1000))
			})
		})
	}
}

// Guards against tokens of a lender that has stopped as planned, which stay reserved until it has been unlisted for 45 s since a router
// had not returned its lots in time.
func TestLenderThatAnnouncedItsEndIsSettled(t *testing.T) {
	for name, routerEnds := range map[string]bool{"a router's request lasts longer": false, "the router has ended with it": true} {
		t.Run(name, func(t *testing.T) {
			withTokenFleet(t, true, 1000, 4, 3, func(t *testing.T, f *tokenFleet) {
				lender, router := f.primary(), f.routers()[0]
				held := router.reserve(t.Context(), 0, 400)
				require.Nil(t, held.refusal)
				time.Sleep(time.Second)
				lender.members.SetWithdrawn(true)
				stopping, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				require.Error(t, lender.ReturnTokens(stopping))
				if routerEnds {
					f.kill(router)
					f.start(RoleRouter, router.member.VM)
				}
				lender.AnnounceEnd(t.Context())
				f.kill(lender)
				f.listMembers()
				time.Sleep(settlementBound)
				held.settle(300)
				time.Sleep(settleWait)
				free := int64(700) // of 1000
				if routerEnds {
					free = 600 // it reports no use
				}
				require.Equal(t, free, f.spendRest())
				require.Contains(t, f.log(), `"event":"lender_settled"`)
			})
		})
	}
}

// Guards against a time of absence that goes on while a router is listed but has no lots: its next lots were settled, and it counted as
// dead, as soon as it was unlisted again.
func TestAbsenceEndsWithTheReturnToTheList(t *testing.T) {
	withTokenFleet(t, true, 1000, 1, 2, func(t *testing.T, f *tokenFleet) {
		router, primary := f.routers()[0], f.primary()
		unlisted := func() func(int64) {
			held := router.reserve(t.Context(), 0, 300)
			require.Nil(t, held.refusal)
			f.unlist(router)
			time.Sleep(3 * time.Second)
			return held.settle
		}
		unlisted()(300)
		time.Sleep(5 * time.Second)
		require.Empty(t, primary.holder.LentLots(), "it has returned its lots")
		f.listMembers()
		time.Sleep(absenceTimeout)
		settle := unlisted()
		require.NotEmpty(t, primary.holder.LentLots(), primary.log.String())
		require.False(t, primary.isDead(router.member.ID))
		settle(100)
		time.Sleep(5 * time.Second)
		require.EqualValues(t, 600, f.spendRest())
	})
}

// log returns what all running processes have logged.
func (f *tokenFleet) log() (out string) {
	for _, n := range f.nodes {
		out += n.log.String()
	}
	return out
}

// unlist takes a node off the lists of the others.
func (f *tokenFleet) unlist(n *tokenNode) {
	for _, other := range f.nodes {
		if other != n {
			other.members.Changed(store.Event{Item: store.Item{Key: n.entry.Key}, Deleted: true})
		}
	}
}

// Guards against callers that come back long before the tokens of a router that is cut off are settled, and against a 503 after that.
func TestRefusalsSayWhenLotsAreSettled(t *testing.T) {
	withTokenFleet(t, true, 1000, 1, 2, func(t *testing.T, f *tokenFleet) {
		gone, other := f.routers()[0], f.routers()[1]
		require.Nil(t, gone.reserve(t.Context(), 0, 700).refusal)
		refusal := func() *contract.Refusal { return other.reserve(t.Context(), 0, 500).refusal }
		require.Zero(t, refusal().RetryAfter, "the request may end at any time")
		f.unlist(gone)
		for _, c := range []struct{ after, least, most time.Duration }{
			{after: 5 * time.Second, least: maxRetryAfter, most: maxRetryAfter},
			{after: absenceTimeout - 7*time.Second, least: time.Second, most: 3 * time.Second},
		} {
			time.Sleep(c.after)
			r := refusal()
			require.Equal(t, contract.BudgetUnreachable, r.Kind)
			require.GreaterOrEqual(t, r.RetryAfter, c.least)
			require.LessOrEqual(t, r.RetryAfter, c.most)
		}
		require.Regexp(t, `"retry_after_ms":[12]\d{3},"event":"refused_after_wait"`, f.primary().log.String())
		time.Sleep(3 * time.Second)
		require.Equal(t, contract.BudgetExhausted, refusal().Kind)
	})
}

// Guards against a 402 for tokens of a dead lender that its settlement frees seconds later, and against a 503 once nothing can come free.
func TestTokensOfADeadLenderAreNotUsedUpBeforeItsSettlement(t *testing.T) {
	for name, routerEnds := range map[string]bool{"settled": false, "cannot be settled": true} {
		t.Run(name, func(t *testing.T) {
			withTokenFleet(t, true, 1000, 4, 3, func(t *testing.T, f *tokenFleet) {
				lender, router := f.primary(), f.routers()[0]
				held := router.reserve(t.Context(), 0, 400)
				require.Nil(t, held.refusal)
				time.Sleep(time.Second)
				if routerEnds { // and with it the lenders that witnessed its use
					for _, witness := range lender.exposure.Witnesses() {
						f.restart(f.node(witness))
					}
					f.restart(router)
				}
				f.restart(lender)
				asking := f.routers()[0]
				r := asking.reserve(t.Context(), 0, 600)
				require.Equal(t, contract.BudgetUnreachable, r.refusal.Kind)
				require.Positive(t, r.refusal.RetryAfter)
				require.LessOrEqual(t, r.refusal.RetryAfter, settleWait)
				held.settle(100)
				for end := time.Now().Add(settleWait + settlementBound); r.refusal != nil && time.Now().Before(end); time.Sleep(time.Second) {
					if r = asking.reserve(t.Context(), 0, 600); r.refusal != nil && r.refusal.Kind == contract.BudgetExhausted {
						break
					}
				}
				if routerEnds {
					require.Equal(t, contract.BudgetExhausted, r.refusal.Kind, f.log())
					return
				}
				require.Nil(t, r.refusal, f.log())
			})
		})
	}
}

// restart kills a node and starts the next incarnation on its VM.
func (f *tokenFleet) restart(n *tokenNode) {
	f.kill(n)
	f.start(n.member.Role, n.member.VM)
}

func (f *tokenFleet) node(id string) *tokenNode {
	i := slices.IndexFunc(f.nodes, func(n *tokenNode) bool { return n.member.ID == id })
	require.GreaterOrEqual(f.t, i, 0)
	return f.nodes[i]
}

// Guards against an alarm about a lender that has given everything back before it announced its end.
func TestLenderThatGaveEverythingBackNeedsNoSettlement(t *testing.T) {
	withTokenFleet(t, true, 1000, 4, 2, func(t *testing.T, f *tokenFleet) {
		lender, router := f.primary(), f.routers()[0]
		r := router.reserve(t.Context(), 0, 400)
		require.Nil(t, r.refusal)
		lender.members.SetWithdrawn(true)
		f.unlist(lender)
		require.Nil(t, router.reserve(t.Context(), 0, 10).refusal, "the next primary finds the rows of this one")
		r.settle(400)
		stopping, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		require.NoError(t, lender.ReturnTokens(stopping))
		lender.AnnounceEnd(t.Context())
		f.kill(lender)
		time.Sleep(settleWait)
		require.NotContains(t, f.log(), `"event":"lender_not_settled"`)
	})
}
