package grant_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/settlement"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// errLost says that a message or its answer was lost.
var errLost = errors.New("lost")

// leanFleet is two lenders and two routers on one page, whose dead are not recovered: what
// they held counts as spent.
type leanFleet struct {
	words   settlement.AnswerCache
	t       *rapid.T
	store   *memstore.Store
	faults  memstore.Faults
	layout  account.Layout
	lenders [2]*leanLife
	routers [2]*leanLife
	all     []*leanLife // dead ones too
	dead    map[string]bool
	lives   int
	limit   int64
	version int64
	// used is what upstreams delivered, open requests counted with what they will.
	used int64
	// usedOf is the part of it that came out of each holder's present row.
	usedOf map[string]int64
	// loseAnswers makes messages between lives take effect without an answer.
	loseAnswers bool
	// settles makes lenders that are dead, or taken for dead, be settled by their borrowers.
	settles bool
	freed   int64
	// witnesses keep the lenders' limits of exposure; nil where there are none.
	witnesses []*leanLife
	// late are messages to witnesses that arrive again later; guarded by mu.
	late []func()
	mu   sync.Mutex
	// freedByWitnesses is what was freed although a borrower had died with its lender.
	freedByWitnesses int64
}

// leanLife is one run of a process.
type leanLife struct {
	fleet  *leanFleet
	id     string
	holder *grant.Holder
	pages  *grant.StoreGranter
	ask    *grant.Acquirer
	// cut lives reach nobody, aside ones are no homes, asking ones turn to the store.
	cut, aside, asking bool
	open               []leanRequest
	register           settlement.BorrowerRegistry
	exposure           settlement.Exposure
	witness            settlement.Witness
}

type leanRequest struct {
	reservation grant.Reservation
	use         int64
}

// cutStore is the store as a life reaches it.
type cutStore struct {
	*memstore.Store
	life *leanLife
}

// Get implements store.Store.
func (s cutStore) Get(ctx context.Context, key string) (store.Item, error) {
	if s.life.cut {
		return store.Item{}, store.Error.Wrap(store.ErrUnknown)
	}
	return s.Store.Get(ctx, key)
}

// CompareAndSwap implements store.Store.
func (s cutStore) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if s.life.cut {
		return 0, store.Error.Wrap(store.ErrUnknown)
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

func newLeanFleet(t *rapid.T) *leanFleet {
	f := &leanFleet{t: t, store: memstore.New(), layout: account.Layout{Prefix: "p/", Pages: 1}, dead: map[string]bool{}, usedOf: map[string]int64{}}
	f.raise()
	for i := range f.lenders {
		f.lenders[i] = f.start("lender")
		f.routers[i] = f.start("router")
	}
	return f
}

func (f *leanFleet) raise() {
	f.version++
	f.limit += rapid.Int64Range(50, 400).Draw(f.t, "limit")
}

func (f *leanFleet) start(kind string) *leanLife {
	f.lives++
	l := &leanLife{fleet: f, id: fmt.Sprint(kind, "/", f.lives)}
	f.all = append(f.all, l)
	l.register = settlement.BorrowerRegistry{Store: cutStore{f.store, l}, Key: listPrefix + l.id}
	l.exposure = settlement.Exposure{Register: &l.register, Notify: l.tell, Timeout: 100 * time.Millisecond,
		Lookahead: 250 * time.Millisecond, Now: time.Now}
	role := func(string) grant.Role {
		if kind == "router" || l.aside {
			return grant.RoleBorrower
		}
		if f.lenders[0] == l {
			return grant.RolePrimary
		}
		return grant.RoleStandby
	}
	l.holder = grant.NewHolder(l.id, f.layout, grant.HorizonPolicy{Horizon: 4 * time.Second, StandbyHorizon: 2 * time.Second,
		LargestRequests: 1, Share: 0.9, Slack: 0.25, Role: role, UsingStore: func(string) bool { return l.asking }})
	l.exposure.Holder = l.holder
	l.holder.SetDemandWindow(10 * time.Second)
	l.holder.UseMinimalRows(func(id string) bool { return f.dead[id] })
	l.pages = &grant.StoreGranter{Holder: l.holder, Store: cutStore{f.store, l}, Layout: f.layout, Now: time.Now,
		Timeout: 100 * time.Millisecond, PageCacheTTL: 10 * time.Second, MaxFreshAge: 500 * time.Millisecond,
		Timing: grant.Timing{Rebalance: time.Second, Report: time.Second, RemoveIdleAfter: time.Minute, ExhaustedBackoff: 10 * time.Millisecond,
			LowBackoff: 300 * time.Millisecond},
		Prepare: func(_ string, p *account.Page) bool {
			a := p.Accounts[budget]
			if a == nil {
				a = &account.Account{Team: budget}
				p.Accounts[budget] = a
			}
			return a.SetPrepaid(f.version, f.limit)
		}}
	peers := &grant.PeerGranter{Holder: l.holder, Lender: l, Timeout: 100 * time.Millisecond, Now: time.Now,
		Peers: func(string) []string { return []string{f.lenders[0].id, f.lenders[1].id} }}
	l.ask = &grant.Acquirer{Holder: l.holder, Now: time.Now, Chain: []grant.Granter{peers, l}}
	return l
}

// Obtain implements grant.Granter: the store.
func (l *leanLife) Obtain(ctx context.Context, budget string, lack int64) error {
	l.asking = true
	defer func() { l.asking = false }()
	return l.pages.Obtain(ctx, budget, lack)
}

// Lend implements grant.Lender: it asks a lender.
func (l *leanLife) Lend(ctx context.Context, peer, budget, id string, need, want int64) (grant.Lot, error) {
	for _, lender := range l.fleet.lenders {
		if lender.id != peer || lender == l || lender.cut || l.cut {
			continue
		}
		if l.fleet.settles && lender.register.Admit(ctx, l.id) != nil {
			return grant.Lot{}, errLost
		}
		own := &grant.Acquirer{Holder: lender.holder, Now: time.Now, Chain: []grant.Granter{lender}, Exposer: &lender.exposure}
		lot, err := own.Lend(ctx, budget, id, l.id, need, want)
		if l.fleet.loseAnswers {
			return grant.Lot{}, errLost
		}
		return lot, err
	}
	return grant.Lot{}, errLost
}

func (l *leanLife) sync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_ = l.pages.Sync(ctx, l.fleet.layout.PageKey(0)) // failures are part of the world
}

func (f *leanFleet) router() *leanLife { return rapid.SampledFrom(f.routers[:]).Draw(f.t, "router") }
func (f *leanFleet) lender() *leanLife { return rapid.SampledFrom(f.lenders[:]).Draw(f.t, "lender") }

func (f *leanFleet) step(ctx context.Context) {
	ops := 19
	if f.settles {
		ops += 2
	}
	if f.witnesses != nil {
		ops += 8
	}
	switch rapid.IntRange(0, ops).Draw(f.t, "op") {
	case 0, 1, 2, 3, 4:
		f.serve(ctx)
	case 5, 6:
		f.finish()
	case 7, 16:
		f.router().sync(ctx)
	case 8, 17, 18, 19:
		f.lender().sync(ctx)
	case 9:
		f.returnLots()
	case 10:
		f.kill()
	case 11:
		l := rapid.SampledFrom([]*leanLife{f.lenders[0], f.lenders[1], f.routers[0], f.routers[1]}).Draw(f.t, "cut")
		l.cut = !l.cut
	case 12:
		l := f.lender()
		l.aside = !l.aside
	case 13:
		f.loseAnswers = !f.loseAnswers
	case 14:
		f.faults = memstore.Faults{Down: rapid.Bool().Draw(f.t, "down"), LoseResponses: rapid.IntRange(0, 2).Draw(f.t, "lose")}
		f.store.SetFaults(f.faults)
	case 15:
		f.audit()
		if rapid.Bool().Draw(f.t, "raise") {
			f.raise()
		}
	case 20, 21, 22:
		f.settle(ctx)
	case 23, 24:
		f.appoint(ctx)
	case 25:
		_ = f.lender().exposure.RaiseLimits(ctx) // failures are part of the world
	case 26:
		f.disturbWitness()
	case 27:
		f.deliverLate()
	case 28, 29:
		f.killPair()
	}
	time.Sleep(time.Duration(rapid.IntRange(0, 1500).Draw(f.t, "ms")) * time.Millisecond)
}

func (f *leanFleet) serve(ctx context.Context) {
	l := f.router()
	n := rapid.Int64Range(1, 60).Draw(f.t, "tokens")
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	r, err := l.ask.Acquire(ctx, budget, n)
	if err != nil {
		return
	}
	use := rapid.Int64Range(0, n).Draw(f.t, "use")
	f.used += use
	for _, p := range r.Split(use) {
		f.usedOf[p.Holder] += p.Tokens
	}
	l.open = append(l.open, leanRequest{r, use})
}

func (f *leanFleet) finish() {
	l := f.router()
	if len(l.open) == 0 {
		return
	}
	l.holder.Settle(time.Now(), l.open[0].reservation, l.open[0].use)
	l.open = l.open[1:]
}

// returnLots gives lots back; answers may be lost.
func (f *leanFleet) returnLots() {
	l := f.router()
	for _, r := range l.holder.CloseLots(time.Now()) {
		for _, lender := range f.lenders {
			if lender.id != r.Lender || l.cut || lender.cut {
				continue
			}
			lender.holder.TakeBack(time.Now(), r)
			if !f.loseAnswers {
				l.holder.Acknowledge(r)
			}
		}
	}
}

// audit asks borrowers for lots whose answers were lost, and settles those of dead ones.
func (f *leanFleet) audit() {
	lender := f.lender()
	for borrower, parts := range lender.holder.LentLots() {
		for _, r := range f.routers {
			if r.id != borrower || r.cut || lender.cut {
				continue
			}
			for _, p := range r.holder.Disown(parts) {
				lender.holder.TakeBackLost(time.Now(), p)
			}
		}
		if !f.dead[borrower] {
			continue
		}
		for _, lot := range lender.holder.LentTo(borrower) {
			lot.Used = account.MaxTokens // cut to what was lent
			lender.holder.TakeBack(time.Now(), lot)
		}
	}
}

// listPrefix begins the keys of lenders' lists of borrowers.
const listPrefix = "lends/"

// settle settles a lender, which may be alive: then it was only taken for dead.
func (f *leanFleet) settle(ctx context.Context) {
	var lenders []string
	for _, l := range f.all {
		if strings.HasPrefix(l.id, "lender") && (f.dead[l.id] || rapid.IntRange(0, 9).Draw(f.t, "mistaken") == 0) {
			lenders = append(lenders, l.id)
		}
	}
	if len(lenders) == 0 {
		return
	}
	s := settlement.Settler{Store: f.store, Prefix: listPrefix, Answers: &f.words,
		Ended: func(borrower string) bool { return f.dead[borrower] },
		AskBorrower: func(_ context.Context, borrower, lender string) (grant.Borrowed, error) {
			for _, r := range f.routers {
				if r.id == borrower && !r.cut {
					word := r.holder.BorrowedFrom(lender)
					if f.loseAnswers {
						return grant.Borrowed{}, errLost
					}
					return word, nil
				}
			}
			return grant.Borrowed{}, errLost
		}}
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	s.AskWitness = f.askWitness
	lender := rapid.SampledFrom(lenders).Draw(f.t, "settled")
	done, _ := s.Settle(ctx, lender, f.layout.PageKey(0), rapid.Bool().Draw(f.t, "patient")) // failures are part of the world
	if used, ended := done.Used[budget]; ended {
		require.GreaterOrEqual(f.t, used, f.usedOf[lender], "tokens of a row count as used")
	}
	f.freed += done.Freed[budget]
	if len(done.Missing) > 0 {
		f.freedByWitnesses += done.Freed[budget]
	}
}

// kill ends a life and starts the next one in its place.
func (f *leanFleet) kill() {
	i := rapid.IntRange(0, 1).Draw(f.t, "which")
	if rapid.Bool().Draw(f.t, "a router") {
		f.killRouter(i)
		return
	}
	f.killLender(i)
}

// killPair ends a lender and a router at the same moment.
func (f *leanFleet) killPair() {
	f.killLender(rapid.IntRange(0, 1).Draw(f.t, "which lender"))
	f.killRouter(rapid.IntRange(0, 1).Draw(f.t, "which router"))
}

func (f *leanFleet) killRouter(i int) {
	f.dead[f.routers[i].id] = true
	f.routers[i] = f.start("router")
}

func (f *leanFleet) killLender(i int) {
	f.dead[f.lenders[i].id] = true
	f.lenders[i] = f.start("lender")
}

// Lenders and routers die, are cut off, step aside and give rows up; writes and messages are
// lost after they took effect; limits rise. Nobody recovers anything, and never are more
// tokens delivered than the limit.
func TestNoOverspendWithLenders(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			f := newLeanFleet(rt)
			for range rapid.IntRange(1, 80).Draw(rt, "steps") {
				f.step(t.Context())
				for _, l := range f.all {
					l.pages.Wait() // nothing of a step goes on in the next one
				}
				require.LessOrEqual(rt, f.used, f.limit, "overspend")
			}
		})
	})
}

// As above, and lenders that died are settled by the word of their borrowers; some of them
// only seemed dead and go on lending, to routers that know and to new ones. What is freed is
// granted again, and never are more tokens delivered than the limit.
func TestNoOverspendWithSettlement(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		freed := int64(0)
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			f := newLeanFleet(rt)
			f.settles = true
			for range rapid.IntRange(1, 80).Draw(rt, "steps") {
				f.step(t.Context())
				for _, l := range f.all {
					l.pages.Wait() // nothing of a step goes on in the next one
				}
				require.LessOrEqual(rt, f.used, f.limit, "overspend")
			}
			freed += f.freed
		})
		require.Positive(t, freed, "some settlement freed tokens")
	})
}
