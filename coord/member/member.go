// Package member maintains the membership of a fleet: each process keeps a key with a lease in
// the store, and follows the keys of all processes.
package member

import (
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/lapse"
	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Member is the entry of one process.
type Member struct {
	// ID names the process's incarnation; it is the last part of its key.
	ID string `json:"id"`
	// Role is the kind of process. The view holds members of all roles.
	Role string `json:"role"`
	// VM names the VM of the process.
	VM string `json:"vm"`
	// Datacentre names the data centre of that VM.
	Datacentre string `json:"datacentre"`
	// Address is where the process accepts messages from other members.
	Address string `json:"address"`
	// UpstreamAddress is the address of the upstream on its VM, "" if there is none.
	UpstreamAddress string `json:"beside,omitempty"`
	// CanRelay is set if its VM is large enough to relay the store's changes to many others.
	CanRelay bool `json:"relays,omitempty"`
	// revision is the key's revision; of two incarnations on one VM the newer has the higher.
	revision store.Revision
	// created is the revision at which the key was created; see store.Item.
	created store.Revision
}

// Group is a process's view of all members, itself included while its lease is valid. It
// implements mirror.Reader, through which it receives the members' keys.
//
// While the keys are not followed the view stays as it was: members without updates are more
// likely alive than gone, and limits that are divided by their number (retry budget, connections)
// are then divided by too many rather than too few.
type Group struct {
	// Store and Prefix are the location of the keys.
	Store  store.Store
	Prefix string
	// Self is this process.
	Self Member
	// TTL is the lease's duration, and Interval the pause between two renewals. The lease should
	// outlast usual disconnections from the store: a process that starts just after one would
	// otherwise find no other member and treat itself as the only one.
	TTL      time.Duration
	Interval time.Duration
	// Report receives failures and changes of the number of members.
	Report Reporter

	once    sync.Once
	wakeups chan struct{} // wakes KeepAlive

	mu         sync.Mutex
	members    map[string]Member // nil before the first read
	byUpstream map[string]Member // by the upstream's address; nil until it is computed
	former     map[string]formerMember
	// newest holds the revision of the newest of members and former by VM and role; nil until it is computed.
	newest map[vmRole]store.Revision
	// reportedCount is the number of members reported last.
	reportedCount int
	// rankings caches the results of Rank for this view; the slices are never modified.
	rankings map[rankingKey][]Member
	// candidates caches the members of a role that are ranked, in this view; they are never modified.
	candidates map[string]candidates
	// version counts the changes of the view.
	version uint64
	// missing holds members that are no longer listed after a loss of the store. They stay in
	// the view as long as they count as lapsed.
	missing map[string]Member
	// lostByStore holds the keys of those that are missing because the store was restored from an older copy; their
	// owners register again.
	lostByStore map[string]bool
	// survivors holds the keys of members whose leases outlasted the last loss of the store.
	survivors     map[string]bool
	lapseDetector lapse.Detector
	lease         store.LeaseID
	// registered is when the entry of that lease was written.
	registered time.Time
	// withdrawn is set if this process must not be listed.
	withdrawn bool
	// lost is set while the members are not followed, restored from a restoration of the store until the
	// members are read again.
	lost, restored bool
	// leaseVoid is set once the store was restored: the lease may be lost, or its number another process's.
	leaseVoid bool
}

var _ mirror.Reader = (*Group)(nil)

// Reporter receives the events of a group.
type Reporter interface {
	// MembersChanged is called with the number of members when it has changed, at most once
	// a second.
	MembersChanged(count int)
	// MembersLost is called when the members are no longer followed, MembersRead after they
	// were read.
	MembersLost(err error)
	MembersRead()
	// NotRegistered is called each time the store did not accept this process's entry or its
	// renewal, Registered each time it did.
	NotRegistered(err error)
	Registered()
	// MemberUnreadable is called for an entry that cannot be decoded.
	MemberUnreadable(err error)
}

// Count returns the number of members of a role, at least 1; known is false until the store was
// read once.
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

// Sharers returns the number of VMs among which the members of this process's role divide a shared
// limit, and since when this process has been one of them. A VM counts for a minute after it left
// the list, since it may just have used its share. n is 0 while this process is not listed: the
// others then do not count it.
func (g *Group) Sharers() (n int, since time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, listed := g.members[g.Prefix+g.Self.ID]; !listed {
		return 0, time.Time{}
	}
	vms := g.newestLocked(g.Self.Role)
	for _, m := range g.former {
		if m.Role == g.Self.Role {
			vms[m.VM] = m.Member
		}
	}
	return len(vms), g.registered
}

// Get returns a member by its ID.
func (g *Group) Get(id string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[g.Prefix+id]
	return m, ok
}

// Former lists the members that left the list lately.
func (g *Group) Former() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Member, 0, len(g.former))
	for _, m := range g.former {
		out = append(out, m.Member)
	}
	return out
}

// Address returns where a member accepts messages, also for one that left the list recently: a
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

// ByUpstream returns the member that runs on the VM of the upstream with that address.
func (g *Group) ByUpstream(upstream string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byUpstream == nil {
		g.byUpstream = indexByUpstream(g.members)
	}
	m, ok := g.byUpstream[upstream]
	return m, ok
}

// Replaced reports whether the VM of an incarnation has a newer one: then the old one has certainly
// ended, although its lease may stay valid for a while.
func (g *Group) Replaced(id, vm string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, listed := g.members[g.Prefix+id]
	if !listed {
		old = g.former[g.Prefix+id].Member // revision 0 if it was not listed lately
	}
	for _, m := range g.members {
		if m.VM == vm && m.revision > old.revision {
			return true
		}
	}
	return false
}

// HasSuccessor reports whether the VM of an incarnation that is listed, or was lately, has or had a newer one of the same role. An
// incarnation that was never listed here has none: the view may be older than its entry.
func (g *Group) HasSuccessor(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, known := g.members[g.Prefix+id]
	if !known {
		var former formerMember
		former, known = g.former[g.Prefix+id]
		old = former.Member
	}
	if !known {
		return false
	}
	if g.newest == nil {
		g.newest = g.newestRevisionsLocked()
	}
	return g.newest[vmRole{old.VM, old.Role}] > old.revision
}

// vmRole identifies the incarnations of one process.
type vmRole struct{ vm, role string }

func (g *Group) newestRevisionsLocked() map[vmRole]store.Revision {
	newest := make(map[vmRole]store.Revision, len(g.members))
	add := func(m Member) {
		key := vmRole{m.VM, m.Role}
		newest[key] = max(newest[key], m.revision)
	}
	for _, m := range g.members {
		add(m)
	}
	for _, m := range g.former {
		add(m.Member)
	}
	return newest
}

// Version changes with each change of the view.
func (g *Group) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}

// Newest returns the members of a role by VM: for each VM its newest incarnation.
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

// Members lists the members of all roles.
func (g *Group) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Member, 0, len(g.members))
	for _, m := range g.members {
		out = append(out, m)
	}
	return out
}

func indexByUpstream(members map[string]Member) map[string]Member {
	out := map[string]Member{}
	for _, m := range members {
		if have, ok := out[m.UpstreamAddress]; m.UpstreamAddress != "" && (!ok || have.revision < m.revision) {
			out[m.UpstreamAddress] = m
		}
	}
	return out
}
