// Package member tells the processes of a fleet which others there are: each keeps a
// key with a lease in the store, and follows the keys of all.
package member

import (
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/lapse"
	"github.com/arbutusmill/arbutusmill/coord/mirror"
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
	// UpstreamAddress is the address of the upstream on its VM, "" if there is none.
	UpstreamAddress string `json:"beside,omitempty"`
	// CanRelay says that its VM is strong enough to relay the store's changes to many others.
	CanRelay bool `json:"relays,omitempty"`
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
	lapses lapse.Detector
	lease  store.LeaseID
	// registered is when that lease's entry was written.
	registered time.Time
	// aside says that this process is not to be listed.
	aside bool
	// lost says that the members are not followed.
	lost bool
}

var _ mirror.Reader = (*Group)(nil)

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

// Sharers returns among how many VMs the members of this process's role divide what they share,
// and since when this process has been one of them. A VM counts for a minute after it left the
// list, since it may just have used its part. n is 0 while this process is not listed: the others
// then do not count it.
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

// ByUpstream returns the member on the VM of the upstream with that address.
func (g *Group) ByUpstream(upstream string) (Member, bool) {
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

func besides(members map[string]Member) map[string]Member {
	out := map[string]Member{}
	for _, m := range members {
		if have, ok := out[m.UpstreamAddress]; m.UpstreamAddress != "" && (!ok || have.revision < m.revision) {
			out[m.UpstreamAddress] = m
		}
	}
	return out
}
