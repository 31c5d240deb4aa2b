// Package member tells the processes of a fleet which others there are: each keeps a
// key with a lease in the store, and follows the keys of all.
package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/lapse"
	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/zeebo/errs"
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
	// Relays says that its VM is strong enough to relay the store's changes to many others.
	Relays bool `json:"relays,omitempty"`
	// revision is that of the key; of two lives of one VM the newer has the higher.
	revision store.Revision
	// created is the revision at which the key was created; see store.Item.
	created store.Revision
}

// Group is a process's view of all members, itself included while its lease holds. It
// implements mirror.Reader: whoever follows the members' keys passes them on to it.
//
// While they are not followed the view stays as it was: members that the process cannot hear
// of are more likely alive than gone, and what is shared by their number (retry budget,
// connections) is then divided by too many rather than too few.
type Group struct {
	// Store and Prefix say where the keys are.
	Store  store.Store
	Prefix string
	// Self is this process.
	Self Member
	// TTL is the lease's time, and Interval the pause between two renewals. The lease should
	// outlast usual cuts from the store: a process that starts just after one would otherwise
	// find nobody listed and take itself for the only one.
	TTL      time.Duration
	Interval time.Duration
	// Report is told of failures and of changes of the number of members.
	Report Reporter

	once  sync.Once
	woken chan struct{} // wakes Keep

	mu      sync.Mutex
	members map[string]Member // nil before the first read
	beside  map[string]Member // by the upstream's address; nil while it is not known
	former  map[string]formerMember
	// told is the number of members that was reported last.
	told int
	// ranks are the results of Rank for this view; they are never changed.
	ranks map[rankOf][]Member
	// version counts the views.
	version uint64
	// missing are members that are not listed any more after a loss of the store. They are in
	// the view as long as they count as lapsed.
	missing map[string]Member
	// kept are the keys of members that outlived the last loss of the store.
	kept   map[string]bool
	lapses lapse.Judge
	lease  store.LeaseID
	// aside says that this process is not to be listed.
	aside bool
	// lost says that the members are not followed.
	lost bool
}

var _ mirror.Reader = (*Group)(nil)

// rankOf is one ranking.
type rankOf struct{ key, role string }

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
	// MembersChanged is called with the number of members when it has changed, at most once
	// a second.
	MembersChanged(count int)
	// MembersLost is called when the members are not followed any more, MembersRead when
	// they were read.
	MembersLost(err error)
	MembersRead()
	// NotRegistered is called each time that the store did not take this process's own
	// entry, Registered each time that it did.
	NotRegistered(err error)
	Registered()
	// MemberUnreadable is called for an entry that cannot be decoded.
	MemberUnreadable(err error)
}

const (
	// retryMin and retryMax bound the pause before the own entry is tried again. A process
	// that is not listed gets no work of others, but a whole fleet may be trying.
	retryMin = 250 * time.Millisecond
	retryMax = 2 * time.Second
	// findTries is how often the list is read at the start until there is somebody else in
	// it, and findPause the pause between. A fleet that starts at once is listed within it.
	findTries = 3
	findPause = 150 * time.Millisecond
	// findTimeout bounds one such read: a store that is slow by a factor of 100 answers in it.
	findTimeout = 500 * time.Millisecond
	// tidyPause is the pause between two looks for members that did not return.
	tidyPause = time.Second
)

// Keep registers this process and renews its lease until the context ends.
func (g *Group) Keep(ctx context.Context) {
	g.init()
	tidy := time.NewTicker(tidyPause)
	defer tidy.Stop()
	retry := backoff.New(retryMin, retryMax)
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tidy.C:
			g.tidy(time.Now())
		case <-g.woken:
			next.Reset(0)
		case <-next.C:
			next.Reset(g.renewed(ctx, retry))
		}
	}
}

// renewed renews once and returns the pause until the next time.
func (g *Group) renewed(ctx context.Context, retry *backoff.Backoff) time.Duration {
	err := g.renew(ctx)
	switch {
	case err == nil:
		g.Report.Registered()
		retry.Reset()
		return g.Interval
	case ctx.Err() == nil:
		g.Report.NotRegistered(err)
	}
	return retry.Next()
}

// Find reads the list at the start until there is somebody else in it, or for a third of a second: whom
// to follow is not known before, and if each process of a fleet that starts followed the store
// meanwhile, they would ask for more than it takes.
func (g *Group) Find(ctx context.Context) {
	for try := range findTries {
		if try > 0 && backoff.Sleep(ctx, findPause) != nil {
			return
		}
		reading, cancel := context.WithTimeout(ctx, findTimeout)
		items, err := g.Store.Peek(reading, g.Prefix)
		cancel()
		if err == nil {
			g.Reset(items)
			if len(g.Members()) > 1 {
				return
			}
		}
	}
}

func (g *Group) init() {
	g.once.Do(func() {
		g.woken = make(chan struct{}, 1)
	})
}

// wake makes Keep look at once.
func (g *Group) wake() {
	g.init()
	select {
	case g.woken <- struct{}{}:
	default: // Keep has yet to take the last wake, and will see this too
	}
}

// StepAside takes this process off the list, or puts it back, and keeps it so. A process
// that is about to lose its VM steps aside while it can still hand over what it has.
func (g *Group) StepAside(aside bool) {
	g.mu.Lock()
	changed := g.aside != aside
	g.aside = aside
	g.mu.Unlock()
	if changed {
		g.wake()
	}
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
	if g.beside == nil {
		g.beside = besides(g.members)
	}
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

// Version changes with each change of the view.
func (g *Group) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}

// Newest returns the members of a role by their VMs: for each the newest of its lives.
func (g *Group) Newest(role string) map[string]Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.newestLocked(role)
}

func (g *Group) newestLocked(role string) map[string]Member {
	newest := map[string]Member{}
	for _, m := range g.members {
		if m.Role != role {
			continue
		}
		if have, ok := newest[m.VM]; !ok || have.revision < m.revision {
			newest[m.VM] = m
		}
	}
	return newest
}

// Rank returns the newest members of a role in the order of preference for key. All members
// with the same view have the same order. The caller must not change the list: it is kept
// until the view changes, since each request asks for it several times: 162 us with 160 members
// and 1.7 ms with 1,300, each time (BenchmarkRank).
func (g *Group) Rank(key, role string) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ranked, ok := g.ranks[rankOf{key, role}]; ok {
		return ranked
	}
	if g.ranks == nil || len(g.ranks) >= mostRanks {
		g.ranks = map[rankOf][]Member{}
	}
	ranked := g.rankLocked(key, role)
	g.ranks[rankOf{key, role}] = ranked
	return ranked
}

// mostRanks bounds the rankings that are kept: a few for each page of budgets.
const mostRanks = 256

func (g *Group) rankLocked(key, role string) []Member {
	newest := g.newestLocked(role)
	vms := slices.Collect(maps.Keys(newest))
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
// register again with their next renewal. A view that empties and fills again would move
// every home of a budget twice.
const returnGrace = 10 * time.Second

// Reset implements mirror.Reader.
func (g *Group) Reset(items []store.Item) {
	listed := map[string]Member{}
	for _, it := range items {
		if m, ok := g.decode(it); ok {
			listed[it.Key] = m
		}
	}
	g.Report.MembersRead()
	g.update(time.Now(), func(now time.Time) {
		if g.members == nil {
			g.members, g.former, g.missing = map[string]Member{}, map[string]formerMember{}, map[string]Member{}
		}
		if g.lost {
			g.lost = false
			g.lapses.StoreIsBack(now, returnGrace)
		}
		g.judgeReadLocked(listed)
		for key := range g.members {
			if _, ok := listed[key]; !ok {
				g.missLocked(now, key)
			}
		}
		for key, m := range listed {
			g.putLocked(key, m)
		}
	})
}

// Changed implements mirror.Reader.
func (g *Group) Changed(e store.Event) {
	if e.Deleted {
		g.update(time.Now(), func(now time.Time) { g.missLocked(now, e.Key) })
		return
	}
	if m, ok := g.decode(e.Item); ok {
		g.update(time.Now(), func(time.Time) { g.putLocked(e.Key, m) })
	}
}

// Lost implements mirror.Reader.
func (g *Group) Lost(err error) {
	g.mu.Lock()
	g.lost = true
	g.mu.Unlock()
	g.Report.MembersLost(err)
}

// tidy drops the members that did not return after an outage, and forgets former ones.
func (g *Group) tidy(now time.Time) {
	if g.hasMissing() {
		g.update(now, func(time.Time) {})
	}
	g.mu.Lock()
	maps.DeleteFunc(g.former, func(_ string, m formerMember) bool { return now.Sub(m.left) > rememberFor })
	g.mu.Unlock()
	if n, changed := g.newCount(); changed {
		g.Report.MembersChanged(n)
	}
}

func (g *Group) hasMissing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.missing) > 0
}

// newCount returns the number of members, and whether it is not the one reported last.
func (g *Group) newCount() (n int, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n = len(g.members)
	changed = n != g.told
	g.told = n
	return n, changed
}

// update changes the view. When this process is not listed although it should be, its lease
// ended: it registers again at once.
func (g *Group) update(now time.Time, change func(now time.Time)) {
	g.mu.Lock()
	change(now)
	g.judgeMissingLocked(now)
	g.beside, g.ranks = nil, nil
	g.version++
	_, missed := g.missing[g.Prefix+g.Self.ID]
	unlisted := g.lease != 0 && !g.aside && (missed || g.droppedLocked())
	g.mu.Unlock()
	if unlisted {
		g.wake()
	}
}

// droppedLocked reports whether this process was listed and is not any more.
func (g *Group) droppedLocked() bool {
	_, former := g.former[g.Prefix+g.Self.ID]
	return former
}

func (g *Group) putLocked(key string, m Member) {
	if g.members[key].revision > m.revision {
		return // told late
	}
	g.members[key] = m
	delete(g.missing, key)
	delete(g.former, key)
}

// judgeReadLocked notes the members whose leases outlasted the time since the last read: a lease
// that runs out takes the entry with it, and its owner creates another one.
func (g *Group) judgeReadLocked(listed map[string]Member) {
	g.kept = map[string]bool{}
	again := 0
	for key, m := range listed {
		have, ok := g.members[key]
		_, missing := g.missing[key]
		switch {
		case !ok || missing:
		case have.created == m.created:
			g.kept[key] = true
		default:
			again++
		}
	}
	g.lapses.Read(len(g.kept), again)
}

// missLocked notes that a member is listed no longer. It leaves the view at once, unless it may
// have lapsed only because the store was away.
func (g *Group) missLocked(now time.Time, key string) {
	m, known := g.members[key]
	_, missing := g.missing[key]
	switch {
	case !known || missing:
	case g.lapses.Possible(now):
		g.lapses.Miss(g.kept[key])
		delete(g.kept, key)
		g.missing[key] = m
	default:
		g.dropLocked(now, key, m)
	}
}

// judgeMissingLocked puts missing members into the view, or takes them out of it.
func (g *Group) judgeMissingLocked(now time.Time) {
	lapsed, over := g.lapses.Lapsed(now), !g.lapses.Possible(now)
	for key, m := range g.missing {
		if lapsed {
			g.members[key] = m
			delete(g.former, key)
			continue
		}
		if _, dropped := g.former[key]; !dropped {
			g.dropLocked(now, key, m)
		}
		if over {
			delete(g.missing, key)
		}
	}
}

func (g *Group) dropLocked(now time.Time, key string, m Member) {
	delete(g.members, key)
	g.former[key] = formerMember{Member: m, left: now}
}

func besides(members map[string]Member) map[string]Member {
	out := map[string]Member{}
	for _, m := range members {
		if have, ok := out[m.Beside]; m.Beside != "" && (!ok || have.revision < m.revision) {
			out[m.Beside] = m
		}
	}
	return out
}

// ErrUnreadable says that a member's entry cannot be decoded or lacks something; it is left
// alone. Counted as a member without a role or VM, it would stand in for one that exists.
var ErrUnreadable = errs.New("member's entry cannot be read")

// decode reads a member.
func (g *Group) decode(it store.Item) (Member, bool) {
	m := Member{}
	err := json.Unmarshal(it.Value, &m)
	if err == nil && (m.ID != strings.TrimPrefix(it.Key, g.Prefix) || m.Role == "" || m.VM == "" || m.Address == "") {
		err = errors.New("id, role, vm or address is missing or wrong")
	}
	if err != nil {
		g.Report.MemberUnreadable(fmt.Errorf("%s: %w: %w", it.Key, ErrUnreadable, err))
		return Member{}, false
	}
	m.revision, m.created = it.Revision, it.Created
	return m, true
}
