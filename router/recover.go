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

// suspectTracker records the holders and agents that this router suspects to be dead.
type suspectTracker struct {
	mu sync.Mutex
	// since is the time at which each was first suspected.
	since  map[string]time.Time
	reason map[string]string
}

func (s *suspectTracker) state() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for h, t := range s.since {
		out[h] = t.Format(time.RFC3339) + " " + s.reason[h]
	}
	return out
}

// record records the reason for suspecting a holder and returns how long it has been
// suspected.
func (s *suspectTracker) record(holder, reason string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since == nil {
		s.since, s.reason = map[string]time.Time{}, map[string]string{}
	}
	if _, ok := s.since[holder]; !ok {
		s.since[holder] = time.Now()
	}
	s.reason[holder] = reason
	return time.Since(s.since[holder])
}

func (s *suspectTracker) clear(holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.since, holder)
	delete(s.reason, holder)
}

// recoverDead recovers the dead holders that are assigned to this router by rendezvous
// hashing. If two routers recover the same holder, the result is the same.
func (r *Router) recoverDead(ctx context.Context) {
	others := r.holder.OtherHolders()
	newest := newestIncarnations(others)
	for _, holder := range others {
		reason := r.deadReason(holder, newest)
		if reason == "" {
			r.suspects.clear(holder)
			continue
		}
		age := r.suspects.record(holder, reason)
		gone := reason == reasonAbsent
		if gone && age < time.Duration(r.base.Settings.Platform.ListLag) {
			continue
		}
		if r.isRecoverer(holder) {
			r.recoverHolder(ctx, holder, gone, age)
		}
	}
}

// Reasons for presuming a holder dead.
const (
	reasonAbsent         = "absent_from_list"
	reasonNewIncarnation = "has_a_newer_life"
)

func newestIncarnations(holders []string) map[string]int64 {
	out := map[string]int64{}
	for _, h := range holders {
		if id, n, err := incarnation.Parse(h); err == nil {
			out[id] = max(out[id], n)
		}
	}
	return out
}

// deadReason returns the reason why a holder is presumed dead, or "". A missing reply is
// no reason: a partition has the same effect.
func (r *Router) deadReason(holder string, newest map[string]int64) string {
	id, n, err := incarnation.Parse(holder)
	if err != nil {
		return ""
	}
	own, count, _ := incarnation.Parse(r.holder.ID())
	if n < newest[id] || (id == own && n < count) {
		return reasonNewIncarnation
	}
	if _, listed := r.base.View.Get(id); !listed {
		return reasonAbsent
	}
	return ""
}

func (r *Router) isRecoverer(holder string) bool {
	var names []string
	for _, m := range r.base.View.Routers() {
		if m.ID != vm.IDOf(holder) || m.ID == r.base.Settings.VM {
			names = append(names, m.ID)
		}
	}
	return rendezvous.Pick("recovery/"+holder, names) == r.base.Settings.VM
}

func (r *Router) recoverHolder(ctx context.Context, holder string, gone bool, age time.Duration) {
	if gone {
		if err := r.base.Incarnations.MarkGone(ctx, vm.IDOf(holder)); err != nil {
			return
		}
	}
	rec := &recovery.Recoverer{Store: r.base.Store, Layout: r.layout, Incarnations: r.base.Incarnations,
		Fences: r.base.Fences, Fleet: recoveryFleet{r, holder}}
	forfeit := age > time.Duration(r.base.Settings.Budgets.ForfeitAfter)
	res, err := rec.Recover(ctx, holder, forfeit)
	if err != nil {
		if errors.Is(err, recovery.ErrIncomplete) {
			r.suspects.record(holder, err.Error())
			r.markGoneAgents(ctx)
		}
		r.log.Warn().Str("holder", holder).Err(err).Msg("recovery_waits")
		return
	}
	r.holder.ForgetRecovered(holder)
	r.suspects.clear(holder)
	r.metrics.recovered.Add(int(res.Returned))
	r.metrics.forfeited.Add(int(res.Forfeited))
	r.log.Warn().Str("holder", holder).Int64("returned", res.Returned).Int64("used", res.Used).
		Int64("forfeited", res.Forfeited).Msg("recovered")
}

// markGoneAgents marks agents as gone whose VMs have been absent from the list for longer
// than platform.list_lag, so that recovery does not wait for them forever.
func (r *Router) markGoneAgents(ctx context.Context) {
	incarnations, err := r.base.Incarnations.All(ctx)
	if err != nil {
		return
	}
	for _, e := range incarnations {
		if e.Role != recovery.AgentRole || e.Clean || e.Gone {
			continue
		}
		if _, listed := r.base.View.Get(e.VM); listed {
			r.suspects.clear(e.VM)
			continue
		}
		if r.suspects.record(e.VM, reasonAbsent) > time.Duration(r.base.Settings.Platform.ListLag) {
			_ = r.base.Incarnations.MarkGone(ctx, e.VM) // retried with the next recovery
		}
	}
}

// recoveryFleet gives recovery access to the other processes.
type recoveryFleet struct {
	r      *Router
	holder string
}

// Agents implements recovery.Fleet.
func (f recoveryFleet) Agents() []string { return ids(f.r.base.View.AllAgents()) }

// Peers implements recovery.Fleet. The list includes the dead holder's VM if it has a
// new incarnation.
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
