// Package member tells the processes of a fleet which others there are: each keeps a
// key with a lease in the store, and follows the keys of all.
package member

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Member is one process.
type Member struct {
	// ID names the process's life; it is the last part of its key.
	ID string `json:"id"`
	// Role is what it does. Members of all roles know of each other.
	Role string `json:"role"`
	// VM names where it runs.
	VM string `json:"vm"`
	// Datacentre is where that is.
	Datacentre string `json:"datacentre"`
	// Address is where it takes messages of other members.
	Address string `json:"address"`
	// Beside is the address of the upstream on its VM, "" if there is none.
	Beside string `json:"beside,omitempty"`
	// revision is that of the key; of two lives of one VM the newer has the higher.
	revision store.Revision
}

// Group is a process's view of all members, itself included while its lease holds.
// While the store is away the view stays as it was: members that the process cannot
// hear of are more likely alive than gone, and what is shared by their number (retry
// budget, connections) is then divided by too many rather than too few.
type Group struct {
	// Store and Prefix say where the keys are.
	Store  store.Store
	Prefix string
	// Self is this process.
	Self Member
	// TTL is the lease's time, and Interval the pause between two renewals and reads.
	// The lease should outlast usual cuts from the store: a process that starts just
	// after one would otherwise find nobody listed and take itself for the only one.
	TTL      time.Duration
	Interval time.Duration
	// Report is told of failures and of changes of the number of members.
	Report Reporter

	once    sync.Once
	woken   chan struct{} // wakes Keep
	mu      sync.Mutex
	members map[string]Member
	beside  map[string]Member // by the upstream's address
	former  map[string]formerMember
	lease   store.LeaseID
	// aside says that this process is not to be listed.
	aside bool
	// lost says that the last read failed; doubtUntil is the end of the time in
	// which missing members may have lapsed only because the store was away.
	lost       bool
	doubtUntil time.Time
}

// formerMember is one that is no longer listed.
type formerMember struct {
	Member
	left time.Time
}

// rememberFor is how long a member's address is remembered after it left the list. What
// others hold of it has to find its way back until then; it is longer than a planned stop.
const rememberFor = time.Minute

// Reporter hears what a group goes through.
type Reporter interface {
	// MembersChanged is called with the number of members after each change.
	MembersChanged(count int)
	// MembersLost is called each time that the store did not answer, MembersRead each
	// time that it did.
	MembersLost(err error)
	MembersRead()
}

// Keep registers this process, renews its lease and reads the members until the context
// ends. Members are read, not watched: in a fleet of n, each one that comes or goes would
// end n waiting calls, and a view that is two seconds old does no harm.
func (g *Group) Keep(ctx context.Context) {
	pause := firstPause
	for {
		err := errors.Join(g.renew(ctx), g.read(ctx))
		switch {
		case err == nil:
			g.Report.MembersRead()
		case ctx.Err() == nil:
			g.lose(err)
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-g.wake():
		case <-t.C:
		}
		pause = min(2*pause, g.Interval)
	}
}

// StepAside takes this process off the list, or puts it back, and keeps it so. A process
// that is about to lose its VM steps aside while it can still hand over what it has.
func (g *Group) StepAside(aside bool) {
	g.mu.Lock()
	changed := g.aside != aside
	g.aside = aside
	g.mu.Unlock()
	if !changed {
		return
	}
	select {
	case g.wake() <- struct{}{}:
	default: // Keep has yet to take the last wake, and will see this too
	}
}

func (g *Group) wake() chan struct{} {
	g.once.Do(func() { g.woken = make(chan struct{}, 1) })
	return g.woken
}

// firstPause is the pause between the first two reads; it doubles up to the interval.
// The members of a fleet that starts find each other within a second that way.
const firstPause = 250 * time.Millisecond

func (g *Group) lose(err error) {
	g.mu.Lock()
	g.lost = true
	g.mu.Unlock()
	g.Report.MembersLost(err)
}

// renew renews the lease, or registers anew when it has ended.
func (g *Group) renew(ctx context.Context) error {
	if g.Aside() {
		return g.withdraw(ctx)
	}
	if id := g.current(); id != 0 {
		err := g.Store.KeepAlive(ctx, id)
		if !errors.Is(err, store.ErrNoLease) {
			return err
		}
	}
	return g.register(ctx)
}

func (g *Group) register(ctx context.Context) error {
	id, err := g.Store.GrantLease(ctx, g.TTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(g.Self)
	if err != nil {
		return err
	}
	if err := g.put(ctx, value, id); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease = id
	return nil
}

// put writes the own key. It is there already only if an earlier lease of this life has yet
// to end, or a write was done and its answer lost.
func (g *Group) put(ctx context.Context, value []byte, lease store.LeaseID) error {
	key := g.Prefix + g.Self.ID
	_, err := g.Store.CompareAndSwap(ctx, key, 0, value, lease)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	old, err := g.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = g.Store.CompareAndSwap(ctx, key, old.Revision, value, lease)
	return err
}

func (g *Group) current() store.LeaseID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease
}

// Aside reports whether this process has stepped aside.
func (g *Group) Aside() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.aside
}

// withdraw ends the lease if there is one.
func (g *Group) withdraw(ctx context.Context) error {
	if err := g.Leave(ctx); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease = 0
	return nil
}

// Leave ends the lease, so that others count this process out at once.
func (g *Group) Leave(ctx context.Context) error {
	id := g.current()
	if id == 0 {
		return nil
	}
	return g.Store.EndLease(ctx, id)
}

// Count returns the number of members of a role that are known, at least 1; known is
// false as long as the store was never read.
func (g *Group) Count(role string) (n int, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.Role == role {
			n++
		}
	}
	return max(1, n), g.members != nil
}

// Get returns a member by its id.
func (g *Group) Get(id string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[g.Prefix+id]
	return m, ok
}

// Address returns where a member takes messages, also one that left the list lately: a
// process that stops still takes back what it lent.
func (g *Group) Address(id string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.members[g.Prefix+id]; ok {
		return m.Address, true
	}
	m, ok := g.former[g.Prefix+id]
	return m.Address, ok
}

// Beside returns the member on the VM of the upstream with that address.
func (g *Group) Beside(upstream string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.beside[upstream]
	return m, ok
}

// Replaced reports whether the VM of a life has a newer one: then the old one is certainly
// gone, although its lease may go on for a while.
func (g *Group) Replaced(id, vm string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.members[g.Prefix+id] // has revision 0 if it is not listed
	for _, m := range g.members {
		if m.VM == vm && m.revision > old.revision {
			return true
		}
	}
	return false
}

// Rank returns the members of a role in the order of preference for key, one for each
// VM: the newest of its lives. All members with the same view have the same order.
func (g *Group) Rank(key, role string) []Member {
	newest := map[string]Member{}
	for _, m := range g.Members() {
		if m.Role != role {
			continue
		}
		if have, ok := newest[m.VM]; !ok || have.revision < m.revision {
			newest[m.VM] = m
		}
	}
	vms := make([]string, 0, len(newest))
	for vm := range newest {
		vms = append(vms, vm)
	}
	out := make([]Member, 0, len(vms))
	for _, vm := range rendezvous.Rank(key, vms) {
		out = append(out, newest[vm])
	}
	return out
}

// Members lists the known members.
func (g *Group) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Member, 0, len(g.members))
	for _, m := range g.members {
		out = append(out, m)
	}
	return out
}

// returnGrace is how long members that are missing after an outage are kept: living ones
// register again with their next renewal.
const returnGrace = 10 * time.Second

// read replaces the view. For a while after an outage, members that are missing are kept:
// their leases may have ended although they live, and a view that empties and fills again
// would move every home of a budget twice.
func (g *Group) read(ctx context.Context) error {
	items, err := g.Store.Peek(ctx, g.Prefix)
	if err != nil {
		return err
	}
	members := map[string]Member{}
	for _, it := range items {
		members[it.Key] = g.decode(it)
	}
	if before, after := g.replace(time.Now(), members); before != after {
		g.Report.MembersChanged(after)
	}
	return nil
}

// replace takes a new view and returns the numbers of members before and after.
func (g *Group) replace(now time.Time, members map[string]Member) (before, after int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lost {
		g.lost, g.doubtUntil = false, now.Add(returnGrace)
	}
	for key, m := range g.members {
		if _, listed := members[key]; !listed && now.Before(g.doubtUntil) {
			members[key] = m
		}
	}
	g.noteFormerLocked(now, members)
	before = len(g.members)
	g.members, g.beside = members, besides(members)
	return before, len(members)
}

// noteFormerLocked remembers those that are not in the next view.
func (g *Group) noteFormerLocked(now time.Time, next map[string]Member) {
	if g.former == nil {
		g.former = map[string]formerMember{}
	}
	for key, m := range g.members {
		if _, listed := next[key]; !listed {
			g.former[key] = formerMember{Member: m, left: now}
		}
	}
	maps.DeleteFunc(g.former, func(key string, m formerMember) bool {
		_, listed := next[key]
		return listed || now.Sub(m.left) > rememberFor
	})
}

func besides(members map[string]Member) map[string]Member {
	out := map[string]Member{}
	for _, m := range members {
		if m.Beside != "" {
			out[m.Beside] = m
		}
	}
	return out
}

// decode reads a member; one whose value cannot be read still counts, by its key.
func (g *Group) decode(it store.Item) Member {
	m := Member{ID: strings.TrimPrefix(it.Key, g.Prefix)}
	if err := json.Unmarshal(it.Value, &m); err != nil {
		g.Report.MembersLost(err)
	}
	m.revision = it.Revision
	return m
}
