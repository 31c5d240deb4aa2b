// Package lab simulates routers and agents in data centres around the real holders,
// granters, witnesses and recovery, with network partitions. It has no network and no
// clock of its own; tests advance the time.
package lab

import (
	"context"
	"fmt"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/incarnation"
	"github.com/arbutusmill/arbutusmill/coord/recovery"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/witness"
)

// CallTimeout bounds each acquisition, page sync, lot request and recovery.
const CallTimeout = 500 * time.Millisecond

// witnessRuns exceeds the number of runs that a witness has in any experiment.
const witnessRuns = 1 << 20

// Options configure a fleet.
type Options struct {
	Pages  int
	Policy func() grant.Policy
	Timing grant.Timing
	// Transfers allows nodes to borrow from each other.
	Transfers bool
	// ExpectedHolders is the number of holders that policies assume.
	ExpectedHolders int
}

// Fleet is a set of nodes and agents that share one store.
type Fleet struct {
	Opt          Options
	Store        *memstore.Store
	Layout       account.Layout
	Incarnations incarnation.Registry
	Fences       recovery.Fences
	Now          time.Time
	Nodes        []*Node
	Agents       []*Agent
	// DropLotReplies is the number of next replies to lot requests that are lost.
	DropLotReplies int

	// side is the side of the partition that a data centre is on; the store is on
	// side 0.
	side map[string]int
}

// Agent is a witness in a data centre.
type Agent struct {
	VM, DC, Incarnation string
	Witness             *witness.Witness
	// Served is the number of tokens used on this agent, by budget.
	Served map[string]int64
	Dead   bool
}

// Node is one incarnation of a router.
type Node struct {
	VM, DC   string
	Holder   *grant.Holder
	Pages    *grant.StoreGranter
	Acquirer *grant.Acquirer
	// Dead nodes do nothing; Paused ones do nothing until they resume.
	Dead, Paused bool

	fleet *Fleet
}

// New returns a fleet without nodes.
func New(opt Options) *Fleet {
	s := memstore.New()
	return &Fleet{
		Opt: opt, Store: s, Layout: account.Layout{Prefix: "budget/", Pages: opt.Pages},
		Incarnations: incarnation.Registry{Store: s, Prefix: "life/"},
		Fences:       recovery.Fences{Store: s, Key: "fences"},
		Now:          time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		side:         map[string]int{},
	}
}

// Accounts returns an operator's client of the accounts.
func (f *Fleet) Accounts() account.AdminClient {
	return account.AdminClient{Store: f.Store, Layout: f.Layout}
}

// Quiesce waits for outstanding store calls, so that no call of one step continues in the
// next. No request may begin in the meantime.
func (f *Fleet) Quiesce() {
	for _, n := range f.Nodes {
		n.Pages.Wait()
	}
}

// Partition partitions data centres from the store.
func (f *Fleet) Partition(dcs ...string) {
	f.Quiesce()
	for _, dc := range dcs {
		f.side[dc] = 1
	}
}

// Heal ends the partition.
func (f *Fleet) Heal() {
	f.Quiesce()
	f.side = map[string]int{}
}

// Side returns the side of the partition that a data centre is on; the store is on side 0.
func (f *Fleet) Side(dc string) int { return f.side[dc] }

func (f *Fleet) connected(a, b string) bool { return f.side[a] == f.side[b] }

// partitionedStore is the store as seen from one data centre: its calls fail while the
// data centre is partitioned from it.
type partitionedStore struct {
	*memstore.Store
	reachable func() bool
}

// Get implements store.Store.
func (p partitionedStore) Get(ctx context.Context, key string) (store.Item, error) {
	if !p.reachable() {
		return store.Item{}, store.Error.Wrap(store.ErrUnknown)
	}
	return p.Store.Get(ctx, key)
}

// List implements store.Store.
func (p partitionedStore) List(ctx context.Context, prefix, from string, limit int) ([]store.Item, error) {
	if !p.reachable() {
		return nil, store.Error.Wrap(store.ErrUnknown)
	}
	return p.Store.List(ctx, prefix, from, limit)
}

// CompareAndSwap implements store.Store.
func (p partitionedStore) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, id store.LeaseID) (store.Revision, error) {
	if !p.reachable() {
		return 0, store.Error.Wrap(store.ErrUnknown)
	}
	return p.Store.CompareAndSwap(ctx, key, expect, value, id)
}

func (f *Fleet) storeFrom(dc string) store.Store {
	return partitionedStore{Store: f.Store, reachable: func() bool { return f.side[dc] == 0 }}
}

// AddAgent starts an incarnation of an agent.
func (f *Fleet) AddAgent(ctx context.Context, vm, dc string) (*Agent, error) {
	incarnationID, err := f.Incarnations.Begin(ctx, vm, recovery.AgentRole)
	if err != nil {
		return nil, err
	}
	a := &Agent{VM: vm, DC: dc, Incarnation: incarnationID, Witness: witness.New(witnessRuns), Served: map[string]int64{}}
	upTo, err := f.Fences.Load(ctx)
	if err != nil {
		return nil, err
	}
	a.Witness.RestoreFences(upTo)
	f.Agents = append(f.Agents, a)
	return a, nil
}

// AddNode starts an incarnation of a router.
func (f *Fleet) AddNode(ctx context.Context, vm, dc string) (*Node, error) {
	incarnationID, err := f.Incarnations.Begin(ctx, vm, "router")
	if err != nil {
		return nil, err
	}
	n := &Node{VM: vm, DC: dc, fleet: f, Holder: grant.NewHolder(incarnationID, f.Layout, f.Opt.Policy())}
	n.Holder.SetExpectedHolders(f.Opt.ExpectedHolders)
	now := func() time.Time { return f.Now }
	n.Pages = &grant.StoreGranter{Holder: n.Holder, Store: f.storeFrom(dc), Layout: f.Layout, Timing: f.Opt.Timing,
		Timeout: CallTimeout / 2, Now: now}
	chain := []grant.Granter{n.Pages}
	if f.Opt.Transfers {
		chain = append(chain, &grant.PeerGranter{Holder: n.Holder, Lender: n, Peers: n.peers, Timeout: CallTimeout, Now: now})
	}
	n.Acquirer = &grant.Acquirer{Holder: n.Holder, Chain: chain, Now: now}
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// peers lists the other live nodes, those in the node's data centre first.
func (n *Node) peers(string) []string {
	var local, remote []string
	for _, p := range n.fleet.Nodes {
		switch {
		case p == n || p.Dead:
		case p.DC == n.DC:
			local = append(local, p.Holder.ID())
		default:
			remote = append(remote, p.Holder.ID())
		}
	}
	return append(local, remote...)
}

// Node returns the node with a holder's id.
func (f *Fleet) Node(id string) *Node {
	for _, n := range f.Nodes {
		if n.Holder.ID() == id {
			return n
		}
	}
	return nil
}

// deadlinePassed reports whether a call's deadline has passed. It compares the time, since
// the context's timer may not have fired yet.
func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || (ok && !time.Now().Before(deadline))
}

var errUnreachable = fmt.Errorf("peer or agent is unreachable")

// Lend implements grant.Lender.
func (n *Node) Lend(ctx context.Context, peer, budget, id string, need, want int64) (grant.Lot, error) {
	p := n.fleet.Node(peer)
	if p == nil || p.Dead || p.Paused || !n.fleet.connected(n.DC, p.DC) || deadlinePassed(ctx) {
		return grant.Lot{}, errUnreachable
	}
	l, err := p.Holder.Lend(n.fleet.Now, budget, id, n.Holder.ID(), need, want)
	if err == nil && n.fleet.DropLotReplies > 0 {
		n.fleet.DropLotReplies--
		return grant.Lot{}, errUnreachable
	}
	return l, err
}

// Request is a request that runs on an agent, with its reservation.
type Request struct {
	ID    string
	Node  *Node
	Agent *Agent
	Res   grant.Reservation
}

// Serve reserves tokens and begins the request on a reachable agent.
func (n *Node) Serve(ctx context.Context, id, budget string, tokens int64) (*Request, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	res, err := n.Acquirer.Acquire(ctx, budget, tokens)
	if err != nil {
		return nil, err
	}
	a := n.pickAgent()
	if a == nil {
		n.Holder.Settle(n.fleet.Now, res, 0)
		return nil, errUnreachable
	}
	a.Witness.Trim(budget, n.Holder.Watermarks(budget))
	if err := a.Witness.Begin(witness.Run{ID: id, Spender: n.Holder.ID(), Reservation: res}); err != nil {
		n.Holder.Settle(n.fleet.Now, res, 0)
		return nil, err
	}
	return &Request{ID: id, Node: n, Agent: a, Res: res}, nil
}

// pickAgent returns an agent in the node's data centre, or else another reachable agent,
// or nil.
func (n *Node) pickAgent() *Agent {
	var other *Agent
	for _, a := range n.fleet.Agents {
		if a.Dead || !n.fleet.connected(n.DC, a.DC) {
			continue
		}
		if a.DC == n.DC {
			return a
		}
		other = a
	}
	return other
}

// Finish ends the request with the tokens used. The agent's witness records them and the
// node settles the reservation, each unless it is dead; Served counts them in any case.
func (r *Request) Finish(used int64) {
	used = min(used, r.Res.Tokens())
	if !r.Agent.Dead {
		r.Agent.Witness.End(r.ID, used)
	}
	r.Agent.Served[r.Res.Budget] += used
	if !r.Node.Dead {
		r.Node.Holder.Settle(r.Node.fleet.Now, r.Res, used)
	}
}

// Sync syncs the node's pages that are due.
func (n *Node) Sync(ctx context.Context) {
	if n.Dead || n.Paused {
		return
	}
	for _, key := range n.Holder.Due(n.fleet.Now) {
		n.SyncPage(ctx, key)
	}
}

// SyncPage syncs one page, and postpones it on failure.
func (n *Node) SyncPage(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if !n.fleet.reachesStore(n.DC) || n.Pages.Sync(ctx, key) != nil {
		n.Holder.Postpone(n.fleet.Now, key)
	}
}

func (f *Fleet) reachesStore(dc string) bool { return f.side[dc] == 0 }

// SyncAllPages syncs all pages once.
func (n *Node) SyncAllPages(ctx context.Context) {
	for p := range n.fleet.Layout.Pages {
		n.SyncPage(ctx, n.fleet.Layout.PageKey(p))
	}
}

// ReturnLots returns the lots that have been idle for the given time to their lenders.
func (n *Node) ReturnLots(idle time.Duration) {
	if n.Dead || n.Paused {
		return
	}
	for _, r := range n.Holder.CloseLots(n.fleet.Now.Add(-idle)) {
		p := n.fleet.Node(r.Lender)
		if p == nil || p.Dead || p.Paused || !n.fleet.connected(n.DC, p.DC) {
			continue
		}
		p.Holder.TakeBack(n.fleet.Now, r)
		n.Holder.Acknowledge(r)
	}
}

// ReclaimLostLots takes back lots whose replies to the borrower were lost.
func (n *Node) ReclaimLostLots() {
	for borrower, parts := range n.Holder.LentLots() {
		b := n.fleet.Node(borrower)
		if b == nil || b.Dead || b.Paused || !n.fleet.connected(n.DC, b.DC) {
			continue
		}
		for _, p := range b.Holder.Disown(parts) {
			n.Holder.TakeBackLost(n.fleet.Now, p)
		}
	}
}

// Recover recovers the tokens of a dead incarnation from a data centre.
func (f *Fleet) Recover(ctx context.Context, dc, holder string, forfeit bool) (recovery.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	r := &recovery.Recoverer{Store: f.storeFrom(dc), Layout: f.Layout,
		Incarnations: incarnation.Registry{Store: f.storeFrom(dc), Prefix: f.Incarnations.Prefix},
		Fences:       recovery.Fences{Store: f.storeFrom(dc), Key: f.Fences.Key}, Fleet: recoveryView{f, dc, holder}}
	return r.Recover(ctx, holder, forfeit)
}

// recoveryView is the fleet as recovery in one data centre can reach it.
type recoveryView struct {
	f      *Fleet
	dc     string
	holder string
}

// Agents implements recovery.Fleet.
func (x recoveryView) Agents() []string {
	var out []string
	for _, a := range x.f.Agents {
		if !a.Dead {
			out = append(out, a.VM)
		}
	}
	return out
}

// Peers implements recovery.Fleet.
func (x recoveryView) Peers() []string {
	var out []string
	for _, n := range x.f.Nodes {
		if !n.Dead && n.Holder.ID() != x.holder {
			out = append(out, n.Holder.ID())
		}
	}
	return out
}

func (x recoveryView) agent(vm string) (*Agent, error) {
	for _, a := range x.f.Agents {
		if a.VM == vm && !a.Dead && x.f.connected(x.dc, a.DC) {
			return a, nil
		}
	}
	return nil, errUnreachable
}

func (x recoveryView) peer(id string) (*Node, error) {
	n := x.f.Node(id)
	if n == nil || n.Dead || n.Paused || !x.f.connected(x.dc, n.DC) {
		return nil, errUnreachable
	}
	return n, nil
}

// FenceAgent implements recovery.Fleet.
func (x recoveryView) FenceAgent(_ context.Context, vm, holder string) (recovery.Evidence, error) {
	a, err := x.agent(vm)
	if err != nil {
		return recovery.Evidence{}, err
	}
	return a.Witness.Fence(holder), nil
}

// FencePeer implements recovery.Fleet.
func (x recoveryView) FencePeer(_ context.Context, id, holder string) (recovery.PeerEvidence, error) {
	n, err := x.peer(id)
	if err != nil {
		return recovery.PeerEvidence{}, err
	}
	n.Holder.ExcludeHolder(holder)
	return recovery.PeerEvidence{Lots: n.Holder.LentTo(holder)}, nil
}

// SettleLot implements recovery.Fleet.
func (x recoveryView) SettleLot(_ context.Context, id string, r grant.LotReturn) error {
	n, err := x.peer(id)
	if err == nil {
		n.Holder.TakeBack(x.f.Now, r)
	}
	return err
}

// Forget implements recovery.Fleet.
func (x recoveryView) Forget(_ context.Context, vm, holder string) error {
	a, err := x.agent(vm)
	if err == nil {
		a.Witness.Forget(holder)
	}
	return err
}

// Served returns the tokens of a budget used on all agents.
func (f *Fleet) Served(budget string) int64 {
	var n int64
	for _, a := range f.Agents {
		n += a.Served[budget]
	}
	return n
}
