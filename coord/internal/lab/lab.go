// Package lab is a small set of fakes around the real holders, granters, witnesses
// and recovery: routers and agents in data centres, with links that can be cut. It
// has no network and no clock of its own; tests move the time.
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

// CallTimeout bounds each store call and lot request of a node.
const CallTimeout = 500 * time.Millisecond

// witnessRuns is room enough for every experiment.
const witnessRuns = 1 << 20

// Options describe a fleet.
type Options struct {
	Pages  int
	Policy func() grant.Policy
	Timing grant.Timing
	// Transfers lets nodes borrow from each other.
	Transfers bool
	// Expect is the number of holders that policies reckon with.
	Expect int
}

// Fleet is a set of nodes and agents around one store.
type Fleet struct {
	Opt    Options
	Store  *memstore.Store
	Layout account.Layout
	Lives  incarnation.Registry
	Fences recovery.Fences
	Now    time.Time
	Nodes  []*Node
	Agents []*Agent
	// DropLots makes that many next answers to lot requests get lost.
	DropLots int

	// side of the cut on which a data centre is; the store is on side 0.
	side map[string]int
}

// Agent is a witness in a data centre.
type Agent struct {
	VM, DC, Life string
	Witness      *witness.Witness
	// Served counts the tokens that were really used here.
	Served map[string]int64
	Dead   bool
}

// Node is one life of a router.
type Node struct {
	VM, DC string
	Holder *grant.Holder
	Pages  *grant.StoreGranter
	Acq    *grant.Acquirer
	// Dead nodes do nothing; Frozen ones come back.
	Dead, Frozen bool

	fleet *Fleet
}

// New returns a fleet without nodes.
func New(opt Options) *Fleet {
	s := memstore.New()
	return &Fleet{
		Opt: opt, Store: s, Layout: account.Layout{Prefix: "budget/", Pages: opt.Pages},
		Lives:  incarnation.Registry{Store: s, Prefix: "life/"},
		Fences: recovery.Fences{Store: s, Key: "fences"},
		Now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		side:   map[string]int{},
	}
}

// Book is the operator's access to the accounts.
func (f *Fleet) Book() account.AdminClient { return account.AdminClient{Store: f.Store, Layout: f.Layout} }

// Quiesce waits for the calls of the store that are on their way, so that nothing of one
// step goes on in the next. No request may be beginning meanwhile.
func (f *Fleet) Quiesce() {
	for _, n := range f.Nodes {
		n.Pages.Wait()
	}
}

// Cut puts data centres on the side away from the store.
func (f *Fleet) Cut(dcs ...string) {
	f.Quiesce()
	for _, dc := range dcs {
		f.side[dc] = 1
	}
}

// Heal joins all sides.
func (f *Fleet) Heal() {
	f.Quiesce()
	f.side = map[string]int{}
}

// Side returns the side of the cut on which a data centre is.
func (f *Fleet) Side(dc string) int { return f.side[dc] }

func (f *Fleet) reach(a, b string) bool { return f.side[a] == f.side[b] }

// gate is the store as one data centre reaches it.
type gate struct {
	*memstore.Store
	open func() bool
}

// Get implements store.Store.
func (g gate) Get(ctx context.Context, key string) (store.Item, error) {
	if !g.open() {
		return store.Item{}, store.Error.Wrap(store.ErrUnknown)
	}
	return g.Store.Get(ctx, key)
}

// List implements store.Store.
func (g gate) List(ctx context.Context, prefix, from string, limit int) ([]store.Item, error) {
	if !g.open() {
		return nil, store.Error.Wrap(store.ErrUnknown)
	}
	return g.Store.List(ctx, prefix, from, limit)
}

// CompareAndSwap implements store.Store.
func (g gate) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, id store.LeaseID) (store.Revision, error) {
	if !g.open() {
		return 0, store.Error.Wrap(store.ErrUnknown)
	}
	return g.Store.CompareAndSwap(ctx, key, expect, value, id)
}

func (f *Fleet) gate(dc string) store.Store {
	return gate{Store: f.Store, open: func() bool { return f.side[dc] == 0 }}
}

// AddAgent starts a life of an agent.
func (f *Fleet) AddAgent(ctx context.Context, vm, dc string) (*Agent, error) {
	life, err := f.Lives.Begin(ctx, vm, recovery.AgentRole)
	if err != nil {
		return nil, err
	}
	a := &Agent{VM: vm, DC: dc, Life: life, Witness: witness.New(witnessRuns), Served: map[string]int64{}}
	upTo, err := f.Fences.Load(ctx)
	if err != nil {
		return nil, err
	}
	a.Witness.RestoreFences(upTo)
	f.Agents = append(f.Agents, a)
	return a, nil
}

// AddNode starts a life of a router.
func (f *Fleet) AddNode(ctx context.Context, vm, dc string) (*Node, error) {
	life, err := f.Lives.Begin(ctx, vm, "router")
	if err != nil {
		return nil, err
	}
	n := &Node{VM: vm, DC: dc, fleet: f, Holder: grant.NewHolder(life, f.Layout, f.Opt.Policy())}
	n.Holder.SetExpectedHolders(f.Opt.Expect)
	now := func() time.Time { return f.Now }
	n.Pages = &grant.StoreGranter{Holder: n.Holder, Store: f.gate(dc), Layout: f.Layout, Timing: f.Opt.Timing,
		Timeout: CallTimeout / 2, Now: now}
	chain := []grant.Granter{n.Pages}
	if f.Opt.Transfers {
		chain = append(chain, &grant.PeerGranter{Holder: n.Holder, Lender: n, Peers: n.peers, Timeout: CallTimeout, Now: now})
	}
	n.Acq = &grant.Acquirer{Holder: n.Holder, Chain: chain, Now: now}
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// peers lists the other nodes, those of the data centre first.
func (n *Node) peers(string) []string {
	var near, far []string
	for _, p := range n.fleet.Nodes {
		switch {
		case p == n || p.Dead:
		case p.DC == n.DC:
			near = append(near, p.Holder.ID())
		default:
			far = append(far, p.Holder.ID())
		}
	}
	return append(near, far...)
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

// over reports whether a call's time is over; its context may not have been told yet.
func over(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || (ok && !time.Now().Before(deadline))
}

var errDown = fmt.Errorf("link down")

// Lend implements grant.Lender.
func (n *Node) Lend(ctx context.Context, peer, budget, id string, need, want int64) (grant.Lot, error) {
	p := n.fleet.Node(peer)
	if p == nil || p.Dead || p.Frozen || !n.fleet.reach(n.DC, p.DC) || over(ctx) {
		return grant.Lot{}, errDown
	}
	l, err := p.Holder.Lend(n.fleet.Now, budget, id, n.Holder.ID(), need, want)
	if err == nil && n.fleet.DropLots > 0 {
		n.fleet.DropLots--
		return grant.Lot{}, errDown
	}
	return l, err
}

// Request is a reservation at work at an agent.
type Request struct {
	ID    string
	Node  *Node
	Agent *Agent
	Res   grant.Reservation
}

// Serve reserves worst tokens and begins the request at an agent within reach.
func (n *Node) Serve(ctx context.Context, id, budget string, worst int64) (*Request, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	res, err := n.Acq.Acquire(ctx, budget, worst)
	if err != nil {
		return nil, err
	}
	a := n.agent()
	if a == nil {
		n.Holder.Settle(n.fleet.Now, res, 0)
		return nil, errDown
	}
	a.Witness.Trim(budget, n.Holder.Watermarks(budget))
	if err := a.Witness.Begin(witness.Run{ID: id, Spender: n.Holder.ID(), Reservation: res}); err != nil {
		n.Holder.Settle(n.fleet.Now, res, 0)
		return nil, err
	}
	return &Request{ID: id, Node: n, Agent: a, Res: res}, nil
}

// agent returns the node's agent: one of its data centre, else one within reach.
func (n *Node) agent() *Agent {
	var other *Agent
	for _, a := range n.fleet.Agents {
		if a.Dead || !n.fleet.reach(n.DC, a.DC) {
			continue
		}
		if a.DC == n.DC {
			return a
		}
		other = a
	}
	return other
}

// Finish ends the request. The agent knows what it used; the node settles it unless
// it died meanwhile.
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

// Sync does a node's due page work.
func (n *Node) Sync(ctx context.Context) {
	if n.Dead || n.Frozen {
		return
	}
	for _, key := range n.Holder.Due(n.fleet.Now) {
		n.SyncPage(ctx, key)
	}
}

// SyncPage syncs one page.
func (n *Node) SyncPage(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if !n.fleet.reachesStore(n.DC) || n.Pages.Sync(ctx, key) != nil {
		n.Holder.Postpone(n.fleet.Now, key)
	}
}

func (f *Fleet) reachesStore(dc string) bool { return f.side[dc] == 0 }

// Place syncs all pages of a node once.
func (n *Node) Place(ctx context.Context) {
	for p := range n.fleet.Layout.Pages {
		n.SyncPage(ctx, n.fleet.Layout.PageKey(p))
	}
}

// ReturnLots gives a node's idle lots back.
func (n *Node) ReturnLots(idle time.Duration) {
	if n.Dead || n.Frozen {
		return
	}
	for _, r := range n.Holder.CloseLots(n.fleet.Now.Add(-idle)) {
		p := n.fleet.Node(r.Lender)
		if p == nil || p.Dead || p.Frozen || !n.fleet.reach(n.DC, p.DC) {
			continue
		}
		p.Holder.TakeBack(n.fleet.Now, r)
		n.Holder.Acknowledge(r)
	}
}

// Audit takes back lots whose answers were lost.
func (n *Node) Audit() {
	for borrower, parts := range n.Holder.LentLots() {
		b := n.fleet.Node(borrower)
		if b == nil || b.Dead || b.Frozen || !n.fleet.reach(n.DC, b.DC) {
			continue
		}
		for _, p := range b.Holder.Disown(parts) {
			n.Holder.TakeBackLost(n.fleet.Now, p)
		}
	}
}

// Recover recovers a dead life, as seen from a data centre.
func (f *Fleet) Recover(ctx context.Context, dc, holder string, forfeit bool) (recovery.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	r := &recovery.Recoverer{Store: f.gate(dc), Layout: f.Layout,
		Incarnations:  incarnation.Registry{Store: f.gate(dc), Prefix: f.Lives.Prefix},
		Fences: recovery.Fences{Store: f.gate(dc), Key: f.Fences.Key}, Fleet: access{f, dc, holder}}
	return r.Recover(ctx, holder, forfeit)
}

// access is the fleet as recovery in one data centre reaches it.
type access struct {
	f      *Fleet
	dc     string
	holder string
}

// Agents implements recovery.Fleet.
func (x access) Agents() []string {
	var out []string
	for _, a := range x.f.Agents {
		if !a.Dead {
			out = append(out, a.VM)
		}
	}
	return out
}

// Peers implements recovery.Fleet.
func (x access) Peers() []string {
	var out []string
	for _, n := range x.f.Nodes {
		if !n.Dead && n.Holder.ID() != x.holder {
			out = append(out, n.Holder.ID())
		}
	}
	return out
}

func (x access) agent(vm string) (*Agent, error) {
	for _, a := range x.f.Agents {
		if a.VM == vm && !a.Dead && x.f.reach(x.dc, a.DC) {
			return a, nil
		}
	}
	return nil, errDown
}

func (x access) peer(id string) (*Node, error) {
	n := x.f.Node(id)
	if n == nil || n.Dead || n.Frozen || !x.f.reach(x.dc, n.DC) {
		return nil, errDown
	}
	return n, nil
}

// FenceAgent implements recovery.Fleet.
func (x access) FenceAgent(_ context.Context, vm, holder string) (recovery.Evidence, error) {
	a, err := x.agent(vm)
	if err != nil {
		return recovery.Evidence{}, err
	}
	return a.Witness.Fence(holder), nil
}

// FencePeer implements recovery.Fleet.
func (x access) FencePeer(_ context.Context, id, holder string) (recovery.PeerEvidence, error) {
	n, err := x.peer(id)
	if err != nil {
		return recovery.PeerEvidence{}, err
	}
	n.Holder.ExcludeHolder(holder)
	return recovery.PeerEvidence{Lots: n.Holder.LentTo(holder)}, nil
}

// SettleLot implements recovery.Fleet.
func (x access) SettleLot(_ context.Context, id string, r grant.LotReturn) error {
	n, err := x.peer(id)
	if err == nil {
		n.Holder.TakeBack(x.f.Now, r)
	}
	return err
}

// Forget implements recovery.Fleet.
func (x access) Forget(_ context.Context, vm, holder string) error {
	a, err := x.agent(vm)
	if err == nil {
		a.Witness.Forget(holder)
	}
	return err
}

// Served sums what all agents really served of a budget.
func (f *Fleet) Served(budget string) int64 {
	var n int64
	for _, a := range f.Agents {
		n += a.Served[budget]
	}
	return n
}
