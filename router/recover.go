package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/incarnation"
	"github.com/arbutusmill/arbutusmill/coord/recovery"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/vm"
)

// watch is what this router suspects about other holders.
type watch struct {
	mu sync.Mutex
	// since is when a holder was first found missing.
	since map[string]time.Time
	why   map[string]string
}

func (w *watch) state() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]string{}
	for h, t := range w.since {
		out[h] = t.Format(time.RFC3339) + " " + w.why[h]
	}
	return out
}

// note returns how long the holder has been suspected.
func (w *watch) note(holder, why string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since == nil {
		w.since, w.why = map[string]time.Time{}, map[string]string{}
	}
	if _, ok := w.since[holder]; !ok {
		w.since[holder] = time.Now()
	}
	w.why[holder] = why
	return time.Since(w.since[holder])
}

func (w *watch) clear(holder string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.since, holder)
	delete(w.why, holder)
}

// recoverDead recovers the holders that are dead and that this router, by
// rendezvous, is to look after. Two routers that both think so do the same work
// twice, with the same result.
func (r *Router) recoverDead(ctx context.Context) {
	others := r.holder.OtherHolders()
	newest := newestLives(others)
	for _, holder := range others {
		why := r.deadBecause(holder, newest)
		if why == "" {
			r.watch.clear(holder)
			continue
		}
		age := r.watch.note(holder, why)
		gone := why == whyAbsent
		if gone && age < time.Duration(r.base.Settings.Platform.ListLag) {
			continue
		}
		if r.looksAfter(holder) {
			r.recoverOne(ctx, holder, gone, age)
		}
	}
}

// Reasons to think a holder dead.
const (
	whyAbsent  = "absent_from_list"
	whyNewLife = "has_a_newer_life"
)

func newestLives(holders []string) map[string]int64 {
	out := map[string]int64{}
	for _, h := range holders {
		if id, n, err := incarnation.Parse(h); err == nil {
			out[id] = max(out[id], n)
		}
	}
	return out
}

// deadBecause says why a holder is taken for dead, or nothing. Silence is no
// reason: a partition looks the same.
func (r *Router) deadBecause(holder string, newest map[string]int64) string {
	id, n, err := incarnation.Parse(holder)
	if err != nil {
		return ""
	}
	own, count, _ := incarnation.Parse(r.holder.ID())
	if n < newest[id] || (id == own && n < count) {
		return whyNewLife
	}
	if _, listed := r.base.View.Get(id); !listed {
		return whyAbsent
	}
	return ""
}

func (r *Router) looksAfter(holder string) bool {
	var names []string
	for _, m := range r.base.View.Routers() {
		if m.ID != vm.IDOf(holder) || m.ID == r.base.Settings.VM {
			names = append(names, m.ID)
		}
	}
	return rendezvous.Pick("recovery/"+holder, names) == r.base.Settings.VM
}

func (r *Router) recoverOne(ctx context.Context, holder string, gone bool, age time.Duration) {
	if gone {
		if err := r.base.Lives.MarkGone(ctx, vm.IDOf(holder)); err != nil {
			return
		}
	}
	rec := &recovery.Recoverer{Store: r.base.Store, Layout: r.layout, Incarnations: r.base.Lives,
		Fences: r.base.Fences, Fleet: recoveryFleet{r, holder}}
	forfeit := age > time.Duration(r.base.Settings.Budgets.ForfeitAfter)
	res, err := rec.Recover(ctx, holder, forfeit)
	if err != nil {
		if errors.Is(err, recovery.ErrIncomplete) {
			r.watch.note(holder, err.Error())
			r.markGoneAgents(ctx)
		}
		r.log.Warn().Str("holder", holder).Err(err).Msg("recovery_waits")
		return
	}
	r.holder.ForgetRecovered(holder)
	r.watch.clear(holder)
	r.metrics.recovered.Add(int(res.Returned))
	r.metrics.forfeited.Add(int(res.Forfeited))
	r.log.Warn().Str("holder", holder).Int64("returned", res.Returned).Int64("used", res.Used).
		Int64("forfeited", res.Forfeited).Msg("recovered")
}

// markGoneAgents records agents whose VMs have been absent from the list for longer
// than its lag, so that recovery does not wait for them for ever.
func (r *Router) markGoneAgents(ctx context.Context) {
	lives, err := r.base.Lives.All(ctx)
	if err != nil {
		return
	}
	for _, e := range lives {
		if e.Role != recovery.AgentRole || e.Clean || e.Gone {
			continue
		}
		if _, listed := r.base.View.Get(e.VM); listed {
			r.watch.clear(e.VM)
			continue
		}
		if r.watch.note(e.VM, whyAbsent) > time.Duration(r.base.Settings.Platform.ListLag) {
			_ = r.base.Lives.MarkGone(ctx, e.VM) // tried again with the next recovery
		}
	}
}

// recoveryFleet is the other processes as recovery sees them.
type recoveryFleet struct {
	r      *Router
	holder string
}

// Agents implements recovery.Fleet.
func (f recoveryFleet) Agents() []string { return ids(f.r.base.View.AllAgents()) }

// Peers implements recovery.Fleet. The dead holder's VM is among them when it has a
// new life.
func (f recoveryFleet) Peers() []string { return ids(f.r.base.View.Routers()) }

// FenceAgent implements recovery.Fleet.
func (f recoveryFleet) FenceAgent(ctx context.Context, id, holder string) (recovery.Evidence, error) {
	var out recovery.Evidence
	err := f.call(ctx, id, link.MethodFence, link.FenceRequest{Holder: holder}, &out)
	return out, err
}

// FencePeer implements recovery.Fleet.
func (f recoveryFleet) FencePeer(ctx context.Context, id, holder string) (recovery.PeerEvidence, error) {
	var out recovery.PeerEvidence
	err := f.call(ctx, id, link.MethodFence, link.FenceRequest{Holder: holder}, &out)
	return out, err
}

// SettleLot implements recovery.Fleet.
func (f recoveryFleet) SettleLot(ctx context.Context, id string, back grant.LotReturn) error {
	return f.call(ctx, id, link.MethodSettleLot, back, nil)
}

// Forget implements recovery.Fleet.
func (f recoveryFleet) Forget(ctx context.Context, id, holder string) error {
	return f.call(ctx, id, link.MethodForget, link.FenceRequest{Holder: holder}, nil)
}

func (f recoveryFleet) call(ctx context.Context, id, method string, in, out any) error {
	m, ok := f.r.base.View.Get(id)
	if !ok {
		return link.Error.Wrap(link.ErrDown)
	}
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	return f.r.base.Links.Call(ctx, m.Link, method, in, out)
}
