// Package recovery returns the unspent tokens of dead holders to their accounts,
// on evidence only.
//
// An unresponsive holder may only be paused and go on spending when it resumes. So
// the holder is fenced first, everywhere tokens can be spent: tokens are served only
// through agents, and each agent, once it has the fence, refuses the holder
// permanently and returns what it had served of the holder's tokens that the holder's
// last durable report does not cover. When every agent has answered, and no
// incarnation of an agent was lost since that report, the rest is certainly unspent.
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

// ErrIncomplete is returned while some evidence is missing; a later attempt may succeed.
var ErrIncomplete = errs.New("evidence is incomplete")

// Use is the number of tokens that one reservation used at one agent.
type Use struct {
	Holder string `json:"holder"`
	Budget string `json:"budget"`
	Seq    int64  `json:"seq"`
	Used   int64  `json:"used"`
}

// Evidence is an agent's answer: the uses of the holder's tokens, and of lots that the
// holder had borrowed, that are not reported durably.
type Evidence struct {
	// Running counts the requests that still use such tokens.
	Running int   `json:"running"`
	Uses    []Use `json:"uses"`
}

// PeerEvidence is another router's answer: the open lots that it lent to the holder.
type PeerEvidence struct {
	Lots []grant.LotReturn `json:"lots"`
}

// Fleet gives access to the other processes.
type Fleet interface {
	// Agents lists the VMs of all agents that may serve.
	Agents() []string
	// Peers lists the VMs of all routers, including this one but not the
	// dead holder's.
	Peers() []string
	// FenceAgent fences the holder at an agent permanently.
	FenceAgent(ctx context.Context, vm, holder string) (Evidence, error)
	// FencePeer makes a router stop using lots of the holder.
	FencePeer(ctx context.Context, vm, holder string) (PeerEvidence, error)
	// SettleLot settles a lot that a router lent to the holder.
	SettleLot(ctx context.Context, vm string, r grant.LotReturn) error
	// Forget lets an agent discard its evidence about the holder.
	Forget(ctx context.Context, vm, holder string) error
}

// Recoverer recovers the tokens of dead holders.
type Recoverer struct {
	Store        store.Store
	Layout       account.Layout
	Incarnations incarnation.Registry
	Fences       Fences
	Fleet        Fleet
}

// Result summarizes one recovery. Amounts are tokens.
type Result struct {
	Holder    string `json:"holder"`
	Returned  int64  `json:"returned"`
	Used      int64  `json:"used"`
	Forfeited int64  `json:"forfeited"`
}

// Recover fences a holder and returns its unspent tokens to their accounts. While
// evidence is missing it returns ErrIncomplete and changes no account, unless forfeit
// is set: then what is not proved unspent is forfeited. The caller decides that the
// holder is dead; a wrong decision costs the holder a restart, never tokens.
func (r *Recoverer) Recover(ctx context.Context, holder string, forfeit bool) (Result, error) {
	if err := r.Fences.Add(ctx, holder); err != nil {
		return Result{}, err
	}
	evidence, err := r.collect(ctx, holder)
	if err != nil {
		return Result{}, err
	}
	if evidence.missing != nil && !forfeit {
		return Result{}, Error.Wrap(fmt.Errorf("%w: %w", ErrIncomplete, evidence.missing))
	}
	result := Result{Holder: holder}
	for page := range r.Layout.Pages {
		if err := r.recoverPage(ctx, r.Layout.PageKey(page), evidence, &result); err != nil {
			return result, err
		}
	}
	if err := r.settleLots(ctx, evidence); err != nil {
		return result, err
	}
	for _, vm := range r.Fleet.Agents() {
		_ = r.Fleet.Forget(ctx, vm, holder) // on failure the agent only keeps evidence that is not needed
	}
	return result, nil
}

// evidenceSet holds all evidence about one holder.
type evidenceSet struct {
	holder       string
	uses         map[Use]int64 // keys have Used 0
	lots         map[string][]grant.LotReturn
	incarnations []incarnation.Entry
	// answered is the set of agents that have fenced the holder.
	answered map[string]bool
	missing  error
}

func (r *Recoverer) collect(ctx context.Context, holder string) (*evidenceSet, error) {
	e := &evidenceSet{holder: holder, uses: map[Use]int64{}, lots: map[string][]grant.LotReturn{}, answered: map[string]bool{}}
	var err error
	if e.incarnations, err = r.Incarnations.All(ctx); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range r.Fleet.Peers() {
		wg.Go(func() {
			ev, err := r.Fleet.FencePeer(ctx, vm, holder)
			mu.Lock()
			defer mu.Unlock()
			e.addPeer(vm, ev, err)
		})
	}
	for _, vm := range r.Fleet.Agents() {
		wg.Go(func() {
			ev, err := r.Fleet.FenceAgent(ctx, vm, holder)
			mu.Lock()
			defer mu.Unlock()
			e.addAgent(vm, ev, err)
		})
	}
	wg.Wait()
	e.requireRegisteredAgents()
	return e, nil
}

// requireRegisteredAgents records missing evidence for each registered agent that did not
// answer. An agent that has just started may not be in the lagging list yet, and may have
// read the fences before this one was added. Agents register their incarnation before they
// read the fences, so an agent that is not registered by now will read this fence.
func (e *evidenceSet) requireRegisteredAgents() {
	for _, entry := range e.incarnations {
		if entry.Role == AgentRole && !entry.Clean && !entry.Gone && !e.answered[entry.VM] {
			e.missing = errors.Join(e.missing, fmt.Errorf("agent %s: no answer", entry.VM))
		}
	}
}

func (e *evidenceSet) addPeer(vm string, ev PeerEvidence, err error) {
	if err != nil {
		e.missing = errors.Join(e.missing, fmt.Errorf("router %s: %w", vm, err))
		return
	}
	e.lots[vm] = ev.Lots
}

func (e *evidenceSet) addAgent(vm string, ev Evidence, err error) {
	if err == nil && ev.Running > 0 {
		err = fmt.Errorf("%d requests still run", ev.Running)
	}
	if err != nil {
		e.missing = errors.Join(e.missing, fmt.Errorf("agent %s: %w", vm, err))
		return
	}
	e.answered[vm] = true
	for _, u := range ev.Uses {
		key := u
		key.Used = 0
		e.uses[key] += u.Used
	}
}

// used sums the evidence about one row above its watermark.
func (e *evidenceSet) used(budget string, through int64) int64 {
	var n int64
	for u, tokens := range e.uses {
		if u.Holder == e.holder && u.Budget == budget && u.Seq > through {
			n += tokens
		}
	}
	return n
}

// complete reports whether the evidence covers everything since the revision at
// which the oldest unreported reservation was made.
func (e *evidenceSet) complete(since store.Revision) bool {
	if e.missing != nil {
		return false
	}
	for _, entry := range e.incarnations {
		if entry.Role == AgentRole && entry.LostSince(since) {
			return false
		}
	}
	return true
}

// AgentRole is the role under which agents register their incarnations.
const AgentRole = "agent"

func (r *Recoverer) recoverPage(ctx context.Context, key string, e *evidenceSet, res *Result) error {
	var applied Result // of the last attempt that found rows of the holder
	_, err := store.Update(ctx, r.Store, key, func(old store.Item) ([]byte, error) {
		p, err := account.Decode(old.Value)
		if err != nil {
			return nil, err
		}
		var attempt Result
		for budget, a := range p.Accounts {
			if err := e.recoverRow(budget, a, &attempt); err != nil {
				return nil, err
			}
		}
		if attempt.Holder == "" {
			return old.Value, nil
		}
		applied = attempt
		return p.Encode()
	})
	if err != nil {
		return err
	}
	res.Returned += applied.Returned
	res.Used += applied.Used
	res.Forfeited += applied.Forfeited
	return nil
}

// recoverRow closes the holder's row of one account. Without complete evidence the
// whole balance of the row is forfeited: what a lost agent served of it is unknown.
func (e *evidenceSet) recoverRow(budget string, a *account.Account, res *Result) error {
	row := a.Rows[e.holder]
	if row == nil {
		return nil
	}
	balance := row.Balance()
	used := e.used(budget, row.Through)
	var forfeit int64
	if !e.complete(store.Revision(row.Since)) {
		forfeit = balance
	}
	rest, err := a.Recover(e.holder, used, forfeit)
	if err != nil {
		return err
	}
	used = min(used, balance)
	res.Holder = e.holder
	res.Returned += rest
	res.Used += used
	res.Forfeited += balance - used - rest
	return nil
}

// settleLots settles the lots that the holder had borrowed. A lot with incomplete
// evidence counts as fully used.
func (r *Recoverer) settleLots(ctx context.Context, e *evidenceSet) error {
	for vm, lots := range e.lots {
		for _, lot := range lots {
			lot.Used = e.uses[Use{Holder: lot.Lender, Budget: lot.Budget, Seq: lot.Seq}]
			if !e.complete(store.Revision(lot.Since)) {
				lot.Used = account.MaxTokens
			}
			if err := r.Fleet.SettleLot(ctx, vm, lot); err != nil {
				return err
			}
		}
	}
	return nil
}

// Fences is the durable list of fenced holders. A process reads it before it serves:
// an agent that starts after the others were fenced must refuse the same holders.
type Fences struct {
	Store store.Store
	Key   string
}

// fenceList maps a VM to its newest fenced incarnation; all earlier ones are fenced too.
type fenceList struct {
	UpTo map[string]int64 `json:"up_to"`
}

// Add fences a holder durably.
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

// Load returns the newest fenced incarnation of each VM.
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
