// Package recovery returns the unspent tokens of dead holders to their accounts,
// on evidence only.
//
// A holder's silence proves nothing: it may be frozen and go on spending when it
// wakes. So the holder is shut out first, at every place where tokens can be
// spent: tokens are served only through agents, and each agent, once told, refuses
// the holder for ever and says what it had served of the holder's tokens that the
// holder's last durable report does not cover. When every agent has answered, and
// no life of an agent was lost since that report, the rest is unspent for certain.
package recovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/incarnation"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("recovery")

// ErrIncomplete says that some evidence is still missing; try again later.
var ErrIncomplete = errs.New("evidence is incomplete")

// Use is what one reservation used at one agent.
type Use struct {
	Holder string `json:"holder"`
	Budget string `json:"budget"`
	Seq    int64  `json:"seq"`
	Used   int64  `json:"used"`
}

// Evidence is an agent's answer: what the holder's tokens, and lots that the holder
// had borrowed, were used for and nobody has reported durably.
type Evidence struct {
	// Running counts requests that still use them.
	Running int   `json:"running"`
	Uses    []Use `json:"uses"`
}

// PeerEvidence is another router's answer: the open lots that it lent to the holder.
type PeerEvidence struct {
	Lots []grant.LotReturn `json:"lots"`
}

// Fleet is the way to the other processes.
type Fleet interface {
	// Agents lists the VMs of all agents that may serve.
	Agents() []string
	// Peers lists the VMs of all routers, this one included, but not the
	// dead holder's.
	Peers() []string
	// FenceAgent shuts the holder out at an agent. It is final there.
	FenceAgent(ctx context.Context, vm, holder string) (Evidence, error)
	// FencePeer makes a router use no more lots of the holder.
	FencePeer(ctx context.Context, vm, holder string) (PeerEvidence, error)
	// SettleLot settles a lot that a router lent to the holder.
	SettleLot(ctx context.Context, vm string, r grant.LotReturn) error
	// Forget tells an agent that the evidence is not needed any more.
	Forget(ctx context.Context, vm, holder string) error
}

// Recoverer recovers dead holders.
type Recoverer struct {
	Store  store.Store
	Layout account.Layout
	Incarnations  incarnation.Registry
	Fences Fences
	Fleet  Fleet
}

// Result sums up one recovery. Amounts are tokens.
type Result struct {
	Holder    string `json:"holder"`
	Returned  int64  `json:"returned"`
	Used      int64  `json:"used"`
	Forfeited int64  `json:"forfeited"`
}

// Recover shuts a holder out and returns what it left unspent. While evidence is
// missing it returns ErrIncomplete and changes no account, unless forfeit is set:
// then what is not proved unspent is forfeited. The caller decides that the
// holder is dead; a wrong decision costs the holder a restart, never tokens.
func (r *Recoverer) Recover(ctx context.Context, holder string, forfeit bool) (Result, error) {
	if err := r.Fences.Add(ctx, holder); err != nil {
		return Result{}, err
	}
	c, err := r.collect(ctx, holder)
	if err != nil {
		return Result{}, err
	}
	if c.missing != nil && !forfeit {
		return Result{}, Error.Wrap(fmt.Errorf("%w: %w", ErrIncomplete, c.missing))
	}
	res := Result{Holder: holder}
	for page := range r.Layout.Pages {
		if err := r.page(ctx, r.Layout.PageKey(page), c, &res); err != nil {
			return res, err
		}
	}
	if err := r.settleLots(ctx, c); err != nil {
		return res, err
	}
	for _, vm := range r.Fleet.Agents() {
		_ = r.Fleet.Forget(ctx, vm, holder) // an agent that missed it only keeps more
	}
	return res, nil
}

// collected is all evidence about one holder.
type collected struct {
	holder string
	uses   map[Use]int64 // key with Used 0
	lots   map[string][]grant.LotReturn
	lives  []incarnation.Entry
	// answered are the agents that shut the holder out.
	answered map[string]bool
	missing  error
}

func (r *Recoverer) collect(ctx context.Context, holder string) (*collected, error) {
	c := &collected{holder: holder, uses: map[Use]int64{}, lots: map[string][]grant.LotReturn{}, answered: map[string]bool{}}
	var err error
	if c.lives, err = r.Incarnations.All(ctx); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range r.Fleet.Peers() {
		wg.Go(func() {
			ev, err := r.Fleet.FencePeer(ctx, vm, holder)
			mu.Lock()
			defer mu.Unlock()
			c.addPeer(vm, ev, err)
		})
	}
	for _, vm := range r.Fleet.Agents() {
		wg.Go(func() {
			ev, err := r.Fleet.FenceAgent(ctx, vm, holder)
			mu.Lock()
			defer mu.Unlock()
			c.addAgent(vm, ev, err)
		})
	}
	wg.Wait()
	c.requireAll()
	return c, nil
}

// requireAll guards against an agent that started a moment ago and is not in the
// lagging list yet: it may have read the fences before this one was added. Agents
// register their life before they read the fences, so one that is not registered by
// now will read this fence, and one that is must have answered.
func (c *collected) requireAll() {
	for _, e := range c.lives {
		if e.Role == AgentRole && !e.Clean && !e.Gone && !c.answered[e.VM] {
			c.missing = errors.Join(c.missing, fmt.Errorf("agent %s: no answer", e.VM))
		}
	}
}

func (c *collected) addPeer(vm string, ev PeerEvidence, err error) {
	if err != nil {
		c.missing = errors.Join(c.missing, fmt.Errorf("router %s: %w", vm, err))
		return
	}
	c.lots[vm] = ev.Lots
}

func (c *collected) addAgent(vm string, ev Evidence, err error) {
	if err == nil && ev.Running > 0 {
		err = fmt.Errorf("%d requests still run", ev.Running)
	}
	if err != nil {
		c.missing = errors.Join(c.missing, fmt.Errorf("agent %s: %w", vm, err))
		return
	}
	c.answered[vm] = true
	for _, u := range ev.Uses {
		key := u
		key.Used = 0
		c.uses[key] += u.Used
	}
}

// used sums the evidence about one row beyond its watermark.
func (c *collected) used(budget string, through int64) int64 {
	var n int64
	for u, tokens := range c.uses {
		if u.Holder == c.holder && u.Budget == budget && u.Seq > through {
			n += tokens
		}
	}
	return n
}

// complete reports whether the evidence covers everything since the revision at
// which the oldest unreported reservation was made.
func (c *collected) complete(since store.Revision) bool {
	if c.missing != nil {
		return false
	}
	for _, e := range c.lives {
		if e.Role == AgentRole && e.LostSince(since) {
			return false
		}
	}
	return true
}

// AgentRole is the role under which agents register their lives.
const AgentRole = "agent"

func (r *Recoverer) page(ctx context.Context, key string, c *collected, res *Result) error {
	var part Result // of the last try whose page had rows of the holder
	_, err := store.Update(ctx, r.Store, key, func(old store.Item) ([]byte, error) {
		p, err := account.Decode(old.Value)
		if err != nil {
			return nil, err
		}
		var changed Result
		for budget, a := range p.Accounts {
			if err := c.recoverRow(budget, a, &changed); err != nil {
				return nil, err
			}
		}
		if changed.Holder == "" {
			return old.Value, nil
		}
		part = changed
		return p.Encode()
	})
	if err != nil {
		return err
	}
	res.Returned += part.Returned
	res.Used += part.Used
	res.Forfeited += part.Forfeited
	return nil
}

// recoverRow ends the holder's row of one account. Without complete evidence the
// whole rest of the row is forfeited: what a lost agent served of it is unknown.
func (c *collected) recoverRow(budget string, a *account.Account, res *Result) error {
	row := a.Rows[c.holder]
	if row == nil {
		return nil
	}
	balance := row.Balance()
	used := c.used(budget, row.Through)
	var forfeit int64
	if !c.complete(store.Revision(row.Since)) {
		forfeit = balance
	}
	rest, err := a.Recover(c.holder, used, forfeit)
	if err != nil {
		return err
	}
	used = min(used, balance)
	res.Holder = c.holder
	res.Returned += rest
	res.Used += used
	res.Forfeited += balance - used - rest
	return nil
}

// settleLots settles the lots that the holder had borrowed. A lot whose evidence
// is incomplete counts as used whole.
func (r *Recoverer) settleLots(ctx context.Context, c *collected) error {
	for vm, lots := range c.lots {
		for _, l := range lots {
			l.Used = c.uses[Use{Holder: l.Lender, Budget: l.Budget, Seq: l.Seq}]
			if !c.complete(store.Revision(l.Since)) {
				l.Used = account.MaxTokens
			}
			if err := r.Fleet.SettleLot(ctx, vm, l); err != nil {
				return err
			}
		}
	}
	return nil
}

// Fences is the durable list of holders that are shut out. A process reads it
// before it serves: an agent that starts after the others were told must refuse
// the same holders.
type Fences struct {
	Store store.Store
	Key   string
}

// fenceList maps a VM to its newest life that is shut out; all earlier ones are too.
type fenceList struct {
	UpTo map[string]int64 `json:"up_to"`
}

// Add shuts a holder out durably.
func (f Fences) Add(ctx context.Context, holder string) error {
	vm, count, err := incarnation.Parse(holder)
	if err != nil {
		return err
	}
	_, err = store.Update(ctx, f.Store, f.Key, func(old store.Item) ([]byte, error) {
		l, err := decodeFences(old)
		if err != nil {
			return nil, err
		}
		l.UpTo[vm] = max(l.UpTo[vm], count)
		return json.Marshal(l)
	})
	return err
}

// Load returns, for each VM, its newest life that is shut out.
func (f Fences) Load(ctx context.Context) (map[string]int64, error) {
	item, err := f.Store.Get(ctx, f.Key)
	if err != nil {
		return nil, err
	}
	l, err := decodeFences(item)
	return l.UpTo, err
}

func decodeFences(item store.Item) (fenceList, error) {
	l := fenceList{}
	if item.Revision != 0 {
		if err := json.Unmarshal(item.Value, &l); err != nil {
			return l, Error.New("fences: %w", err)
		}
	}
	if l.UpTo == nil {
		l.UpTo = map[string]int64{}
	}
	return l, nil
}
