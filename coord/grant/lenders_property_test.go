package grant_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
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

// lenderFleet is two lenders and two routers on one page. Dead processes are not recovered: what
// they held counts as spent.
type lenderFleet struct {
	reports settlement.AnswerCache
	t       *rapid.T
	store   *memstore.Store
	faults  memstore.Faults
	layout  account.Layout
	lenders [2]*process
	routers [2]*process
	all     []*process // including dead ones
	dead    map[string]bool
	started int
	limit   int64
	version int64
	// used is what upstreams deliver, including the later use of open requests.
	used int64
	// usedOf is the part of used that came from each holder's current row.
	usedOf map[string]int64
	// loseAnswers drops the answers to messages between processes; the messages take effect.
	loseAnswers bool
	// settleLenders enables the settlement, by their borrowers, of lenders that are dead or presumed
	// dead.
	settleLenders bool
	freed         int64
	// queueing makes requests wait for reserved tokens; waiting holds those that wait.
	queueing bool
	waiting  waitingRequests
	// witnesses store the lenders' exposure limits; nil disables them.
	witnesses []*process
	// delayed are duplicates of messages to witnesses, delivered later; guarded by mu.
	delayed []func()
	mu      sync.Mutex
	// regions is set if each lender is the primary of a region of its own.
	regions *lenderRegions
	// boundsLosses makes lenders hold less after losses; see HorizonPolicy.MinHeld.
	boundsLosses bool
	// freedByWitnesses is what was freed although a borrower died with its lender.
	freedByWitnesses int64
}

// process is one run of a process.
type process struct {
	fleet    *lenderFleet
	id       string
	holder   *grant.Holder
	pages    *grant.StoreGranter
	acquirer *grant.Acquirer
	// partitioned processes reach no other process or the store, and demoted lenders act as
	// borrowers.
	partitioned, demoted bool
	// usingStore is the number of Obtain calls on the store in progress.
	usingStore atomic.Int64
	open       []openRequest
	registry   settlement.BorrowerRegistry
	exposure   settlement.Exposure
	witness    settlement.Witness
}

type openRequest struct {
	reservation grant.Reservation
	use         int64
}

// partitionedStore fails all calls while its process is partitioned.
type partitionedStore struct {
	*memstore.Store
	process *process
}

func (s partitionedStore) isDown() bool {
	s.process.seePublished()
	return s.process.partitioned
}

// seePublished orders what follows after the last lenderFleet.publish, by the holder's lock.
func (p *process) seePublished() { p.holder.Revision() }

// Get implements store.Store.
func (s partitionedStore) Get(ctx context.Context, key string) (store.Item, error) {
	if s.isDown() {
		return store.Item{}, store.Error.Wrap(store.ErrUnknown)
	}
	return s.Store.Get(ctx, key)
}

// CompareAndSwap implements store.Store.
func (s partitionedStore) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if s.isDown() {
		return 0, store.Error.Wrap(store.ErrUnknown)
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

func newLenderFleet(t *rapid.T) *lenderFleet {
	f := &lenderFleet{t: t, store: memstore.New(), layout: account.Layout{Prefix: "p/", Pages: 1}, dead: map[string]bool{}, usedOf: map[string]int64{}}
	f.raiseLimit()
	for i := range f.lenders {
		f.lenders[i] = f.start("lender")
		f.routers[i] = f.start("router")
	}
	return f
}

func (f *lenderFleet) raiseLimit() {
	f.version++
	f.limit += rapid.Int64Range(50, 400).Draw(f.t, "limit")
}

func (f *lenderFleet) start(kind string) *process {
	f.started++
	l := &process{fleet: f, id: fmt.Sprint(kind, "/", f.started)}
	f.all = append(f.all, l)
	l.registry = settlement.BorrowerRegistry{Store: partitionedStore{f.store, l}, Key: listPrefix + l.id}
	l.exposure = settlement.Exposure{Registry: &l.registry, Notify: l.sendNotice, Timeout: 100 * time.Millisecond,
		Lookahead: 250 * time.Millisecond, Now: time.Now}
	role := func(string) grant.Role {
		if kind == "router" || l.demoted {
			return grant.RoleBorrower
		}
		if f.lenders[0] == l {
			return grant.RolePrimary
		}
		if f.regions != nil {
			return grant.RoleRegional
		}
		return grant.RoleStandby
	}
	l.holder = grant.NewHolder(l.id, f.layout, grant.HorizonPolicy{Horizon: 4 * time.Second, StandbyHorizon: 2 * time.Second,
		LargestRequests: 1, Share: 0.9, Slack: 0.25, MaxLoss: 0.3, MinHeld: 0.03, StoreDegraded: func() bool { return !f.boundsLosses }, Role: role, UsingStore: func(string) bool { return l.usingStore.Load() > 0 },
		Regional: f.regions.policy()})
	l.exposure.Holder = l.holder
	l.holder.SetDemandWindow(10 * time.Second)
	l.holder.UseMinimalRows(func(id string) bool { return f.dead[id] })
	l.holder.SetUnsettled(func(id string) bool { return f.boundsLosses && f.dead[id] })
	l.pages = &grant.StoreGranter{Holder: l.holder, Store: partitionedStore{f.store, l}, Layout: f.layout, Now: time.Now,
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
	f.regions.use(l, peers)
	l.acquirer = &grant.Acquirer{Holder: l.holder, Now: time.Now, Chain: []grant.Granter{peers, l}, Queueing: f.queueing}
	return l
}

// Obtain implements grant.Granter. It calls the store.
func (p *process) Obtain(ctx context.Context, budget string, shortfall int64) error {
	p.usingStore.Add(1)
	defer p.usingStore.Add(-1)
	return p.pages.Obtain(ctx, budget, shortfall)
}

// Lend implements grant.Lender.
func (p *process) Lend(ctx context.Context, peer, budget, id string, need, want int64) (grant.Lot, error) {
	p.seePublished()
	for _, lender := range p.fleet.lenders {
		if lender.id != peer || lender == p || lender.partitioned || p.partitioned {
			continue
		}
		if p.fleet.settleLenders && lender.registry.Admit(ctx, p.id) != nil {
			return grant.Lot{}, errLost
		}
		own := &grant.Acquirer{Holder: lender.holder, Now: time.Now, Chain: []grant.Granter{lender}, Exposer: &lender.exposure, Queueing: p.fleet.queueing}
		lot, err := own.Lend(ctx, budget, id, p.id, need, want)
		p.seePublished()
		if p.fleet.loseAnswers {
			p.fleet.cancelLost(lender, id, p.id)
			return grant.Lot{}, errLost
		}
		return lot, err
	}
	return grant.Lot{}, errLost
}

func (p *process) sync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_ = p.pages.Sync(ctx, p.fleet.layout.PageKey(0)) // failures are part of the test
}

func (f *lenderFleet) router() *process { return rapid.SampledFrom(f.routers[:]).Draw(f.t, "router") }
func (f *lenderFleet) lender() *process { return rapid.SampledFrom(f.lenders[:]).Draw(f.t, "lender") }

func (f *lenderFleet) step(ctx context.Context) {
	ops := 19
	if f.settleLenders {
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
		l := rapid.SampledFrom([]*process{f.lenders[0], f.lenders[1], f.routers[0], f.routers[1]}).Draw(f.t, "partitioned")
		l.partitioned = !l.partitioned
	case 12:
		l := f.lender()
		l.demoted = !l.demoted
	case 13:
		f.loseAnswers = !f.loseAnswers
	case 14:
		f.faults = memstore.Faults{Down: rapid.Bool().Draw(f.t, "down"), LoseResponses: rapid.IntRange(0, 2).Draw(f.t, "lose")}
		f.store.SetFaults(f.faults)
	case 15:
		f.audit()
		if rapid.Bool().Draw(f.t, "raise") {
			f.raiseLimit()
		}
	case 20, 21, 22:
		f.settle(ctx)
	case 23, 24:
		f.appoint(ctx)
	case 25:
		_ = f.lender().exposure.RaiseLimits(ctx) // failures are part of the test
	case 26:
		f.changeWitness()
	case 27:
		f.deliverDelayed()
	case 28, 29:
		f.killPair()
	}
	pause := time.Duration(rapid.IntRange(0, 1500).Draw(f.t, "ms")) * time.Millisecond
	f.publish()
	time.Sleep(pause)
}

func (f *lenderFleet) serve(ctx context.Context) {
	l := f.router()
	n := rapid.Int64Range(1, 60).Draw(f.t, "tokens")
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	r, err := l.acquirer.Acquire(ctx, budget, n)
	if err != nil {
		return
	}
	use := rapid.Int64Range(0, n).Draw(f.t, "use")
	f.used += use
	for _, p := range r.Split(use) {
		f.usedOf[p.Holder] += p.Tokens
	}
	l.open = append(l.open, openRequest{r, use})
}

func (f *lenderFleet) finish() {
	l := f.router()
	if len(l.open) == 0 {
		return
	}
	l.holder.Settle(time.Now(), l.open[0].reservation, l.open[0].use)
	l.open = l.open[1:]
}

// returnLots returns closed lots; answers may be lost.
func (f *lenderFleet) returnLots() {
	l := f.router()
	for _, r := range l.holder.CloseLots(time.Now()) {
		for _, lender := range f.lenders {
			if lender.id != r.Lender || l.partitioned || lender.partitioned {
				continue
			}
			lender.holder.TakeBack(time.Now(), r)
			if !f.loseAnswers {
				l.holder.Acknowledge(r)
			}
		}
	}
}

// audit takes back lots whose answers were lost, and settles lots of dead borrowers as used in
// full.
func (f *lenderFleet) audit() {
	lender := f.lender()
	for borrower, parts := range lender.holder.LentLots() {
		for _, r := range f.routers {
			if r.id != borrower || r.partitioned || lender.partitioned {
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
			lot.Used = account.MaxTokens // capped at what was lent
			lender.holder.TakeBack(time.Now(), lot)
		}
	}
}

// listPrefix begins the keys of lenders' lists of borrowers.
const listPrefix = "lends/"

// settle settles a lender that is dead, or alive and wrongly presumed dead.
func (f *lenderFleet) settle(ctx context.Context) {
	var lenders []string
	for _, l := range f.all {
		if strings.HasPrefix(l.id, "lender") && (f.dead[l.id] || rapid.IntRange(0, 9).Draw(f.t, "mistaken") == 0) {
			lenders = append(lenders, l.id)
		}
	}
	if len(lenders) == 0 {
		return
	}
	s := settlement.Settler{Store: f.store, Prefix: listPrefix, Answers: &f.reports,
		Ended: func(borrower string) bool { return f.dead[borrower] },
		AskBorrower: func(_ context.Context, borrower, lender string) (grant.Borrowed, error) {
			for _, r := range f.routers {
				if r.id == borrower && !r.partitioned {
					report := r.holder.BorrowedFrom(lender)
					if f.loseAnswers {
						return grant.Borrowed{}, errLost
					}
					return report, nil
				}
			}
			return grant.Borrowed{}, errLost
		}}
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	s.AskWitness = f.askWitness
	lender := rapid.SampledFrom(lenders).Draw(f.t, "settled")
	done, _ := s.Settle(ctx, lender, f.layout.PageKey(0), rapid.Bool().Draw(f.t, "wait for running")) // failures are part of the test
	if used, ended := done.Used[budget]; ended {
		require.GreaterOrEqual(f.t, used, f.usedOf[lender], "tokens of a row count as used")
	}
	f.freed += done.Freed[budget]
	if len(done.Missing) > 0 {
		f.freedByWitnesses += done.Freed[budget]
	}
}

// kill ends a process and starts another in its place.
func (f *lenderFleet) kill() {
	i := rapid.IntRange(0, 1).Draw(f.t, "which")
	if rapid.Bool().Draw(f.t, "a router") {
		f.killRouter(i)
		return
	}
	f.killLender(i)
}

// killPair ends a lender and a router at the same moment.
func (f *lenderFleet) killPair() {
	f.killLender(rapid.IntRange(0, 1).Draw(f.t, "which lender"))
	f.killRouter(rapid.IntRange(0, 1).Draw(f.t, "which router"))
}

func (f *lenderFleet) killRouter(i int) {
	f.dead[f.routers[i].id] = true
	f.routers[i] = f.start("router")
}

func (f *lenderFleet) killLender(i int) {
	f.dead[f.lenders[i].id] = true
	f.lenders[i] = f.start("lender")
}

// Guards against overspend while lenders and routers die, are partitioned, change roles and remove
// rows, answers to writes and messages are lost, and limits rise. Without any recovery, no more
// tokens may be delivered than the limit.
func TestNoOverspendWithLenders(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			f := newLenderFleet(rt)
			for range rapid.IntRange(1, 80).Draw(rt, "steps") {
				f.step(t.Context())
				for _, l := range f.all {
					l.pages.Wait() // no call continues in the next step
				}
				require.LessOrEqual(rt, f.used, f.limit, "overspend")
			}
		})
	})
}

// Guards against overspend as above when lenders are also settled by the reports of their
// borrowers. Some of these lenders are alive and go on lending, to routers that reported and to new
// ones. What is freed is granted again, and no more tokens may be delivered than the limit.
func TestNoOverspendWithSettlement(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		freed := int64(0)
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			f := newLenderFleet(rt)
			f.settleLenders = true
			for range rapid.IntRange(1, 80).Draw(rt, "steps") {
				f.step(t.Context())
				for _, l := range f.all {
					l.pages.Wait() // no call continues in the next step
				}
				require.LessOrEqual(rt, f.used, f.limit, "overspend")
			}
			freed += f.freed
		})
		require.Positive(t, freed, "some settlement freed tokens")
	})
}
