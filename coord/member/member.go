// Package member tells the processes of one kind which others there are: each keeps a
// key with a lease in the store, and follows the keys of all.
package member

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Member is one process.
type Member struct {
	// ID names the process's life; it is the last part of its key.
	ID string `json:"id"`
	// VM names where it runs.
	VM string `json:"vm"`
	// Datacentre is where that is.
	Datacentre string `json:"datacentre"`
	// Address is where it takes messages of other members.
	Address string `json:"address"`
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
	// TTL is the lease's time; it is renewed three times as often.
	TTL time.Duration
	// Report is told of failures and of changes of the number of members.
	Report Reporter

	mu      sync.Mutex
	members map[string]Member
	lease   store.LeaseID
}

// Reporter hears what a group goes through.
type Reporter interface {
	// MembersChanged is called with the number of members after each change.
	MembersChanged(count int)
	// MembersLost is called when the store did not answer.
	MembersLost(err error)
}

// renewals is how many renewals fit into a lease: two may be lost.
const renewals = 3

// Follow keeps the view up to date until the context ends.
func (g *Group) Follow(ctx context.Context) {
	m := mirror.Mirror{Store: g.Store, Prefix: g.Prefix, Reader: (*reader)(g)}
	m.Run(ctx)
}

// Keep registers this process and renews its lease until the context ends.
func (g *Group) Keep(ctx context.Context) {
	t := time.NewTicker(g.TTL / renewals)
	defer t.Stop()
	for {
		if err := g.renew(ctx); err != nil && ctx.Err() == nil {
			g.Report.MembersLost(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// renew renews the lease, or registers anew when it has ended.
func (g *Group) renew(ctx context.Context) error {
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
	key := g.Prefix + g.Self.ID
	old, err := g.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	if _, err := g.Store.CompareAndSwap(ctx, key, old.Revision, value, id); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease = id
	return nil
}

func (g *Group) current() store.LeaseID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease
}

// Leave ends the lease, so that others count this process out at once.
func (g *Group) Leave(ctx context.Context) error {
	id := g.current()
	if id == 0 {
		return nil
	}
	return g.Store.EndLease(ctx, id)
}

// Count returns the number of members known, at least 1; known is false as long as
// the store was never read.
func (g *Group) Count() (n int, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(1, len(g.members)), g.members != nil
}

// Get returns a member by its id.
func (g *Group) Get(id string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[g.Prefix+id]
	return m, ok
}

// Rank returns the members in the order of preference for key, one for each VM: the
// newest of its lives. All members with the same view have the same order.
func (g *Group) Rank(key string) []Member {
	newest := map[string]Member{}
	for _, m := range g.Members() {
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

// reader is the mirror's side of a group.
type reader Group

// Reset implements mirror.Reader.
func (r *reader) Reset(items []store.Item) {
	members := map[string]Member{}
	for _, it := range items {
		members[it.Key] = r.decode(it)
	}
	r.update(func(map[string]Member) map[string]Member { return members })
}

// Changed implements mirror.Reader.
func (r *reader) Changed(e store.Event) {
	r.update(func(have map[string]Member) map[string]Member {
		if e.Deleted {
			delete(have, e.Key)
		} else {
			have[e.Key] = r.decode(e.Item)
		}
		return have
	})
}

// Lost implements mirror.Reader.
func (r *reader) Lost(err error) { r.Report.MembersLost(err) }

func (r *reader) update(change func(map[string]Member) map[string]Member) {
	r.mu.Lock()
	before := len(r.members)
	r.members = change(r.members)
	after := len(r.members)
	r.mu.Unlock()
	if before != after {
		r.Report.MembersChanged(after)
	}
}

// decode reads a member; one whose value cannot be read still counts, by its key.
func (r *reader) decode(it store.Item) Member {
	m := Member{ID: strings.TrimPrefix(it.Key, r.Prefix)}
	if err := json.Unmarshal(it.Value, &m); err != nil {
		r.Report.MembersLost(err)
	}
	m.revision = it.Revision
	return m
}
