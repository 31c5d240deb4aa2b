package relay

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

// mostKept bounds the changes that a feed keeps for followers that were away. One that has
// missed more gets all keys again.
const mostKept = 1024

// feed is a copy of the keys under one prefix, with their last changes. It implements
// mirror.Reader; its followers read it at the same time.
type feed struct {
	now func() time.Time
	// staleAfter is how long after the last word of the store the copy counts as not followed:
	// a call that is never answered would else leave followers without changes for as long as
	// its own timeout.
	staleAfter time.Duration
	// changed is called, without the lock, when there may be something new for followers.
	changed func()

	mu      sync.Mutex
	items   map[string]store.Item
	changes []Change // oldest first; complete after from
	from    store.Revision
	// at is the revision up to which the copy is complete; 0 before the first read.
	at store.Revision
	// heard is when the store last answered, or the feed began.
	heard time.Time
	// lost says that the store is not followed; outage, that it was not before the last read.
	lost, outage bool
	// fresh is what was read last, until its revision is known, and pending the changes since
	// at was: the copy is always that of one revision.
	fresh   map[string]store.Item
	pending []Change
	// whole is the revision from which the copy is one: the pages of a read are no snapshot,
	// and a key of a later page may be newer than the revision of the read. Passed on at
	// once, such a key would go back at a follower that turns to another relay.
	whole store.Revision
}

// Reset implements mirror.Reader. Followers see it with the revision, which complete brings.
func (f *feed) Reset(items []store.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh, f.pending, f.whole = make(map[string]store.Item, len(items)), nil, 0
	for _, it := range items {
		f.fresh[it.Key] = it
		f.whole = max(f.whole, it.Revision)
	}
}

// complete notes that the copy has all changes up to a revision.
func (f *feed) complete(at store.Revision) {
	f.mu.Lock()
	defer f.changed()
	defer f.mu.Unlock()
	f.heard = f.now()
	if f.fresh != nil {
		f.items, f.fresh = f.fresh, nil
		f.changes, f.from, f.at = nil, at, at
		f.outage, f.lost = f.lost, false
		return
	}
	for _, c := range f.pending {
		f.applyLocked(c)
	}
	f.pending = nil
	if f.at < f.whole && f.whole <= at {
		f.changes, f.from = nil, at // nobody has been told anything yet
	}
	f.at = max(f.at, at)
}

// applyLocked brings the copy up to date with one change.
func (f *feed) applyLocked(c Change) {
	if f.items[c.Key].Revision > c.Revision {
		return // the read was newer
	}
	if c.Removed {
		delete(f.items, c.Key)
	} else {
		f.items[c.Key] = c.item()
	}
	f.changes = append(f.changes, c)
	if over := len(f.changes) - mostKept; over > 0 {
		f.from = f.changes[over-1].Revision
		f.changes = slices.Clone(f.changes[over:])
	}
}

// Changed implements mirror.Reader.
func (f *feed) Changed(e store.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := changeOf(e.Item)
	if c.Removed = e.Deleted; c.Removed {
		c.Value = nil
	}
	f.pending = append(f.pending, c)
}

// Lost implements mirror.Reader. A history that is gone is no outage: the keys are read
// again at once, and until then the copy stands.
func (f *feed) Lost(err error) {
	if errors.Is(err, store.ErrCompacted) {
		return
	}
	f.mu.Lock()
	defer f.changed()
	defer f.mu.Unlock()
	f.lost = true
}

// since returns what came after a position, and whether that is news to the follower.
func (f *feed) since(p Position) (u Update, news bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u = Update{Prefix: p.Prefix, At: p.After, Age: f.now().Sub(f.heard)}
	if f.lost || u.Age >= f.staleAfter {
		u.Lost = true
		return u, !p.Lost
	}
	if f.at == 0 || f.at < f.whole {
		u.Lost = p.Lost // the first read is under way
		return u, false
	}
	u.At = f.at
	if p.After == 0 || p.After < f.from {
		u.Whole, u.AfterOutage, u.Changes = true, f.outage, f.allLocked()
		return u, true
	}
	first, _ := slices.BinarySearchFunc(f.changes, p.After+1, byRevision)
	u.Changes = slices.Clone(f.changes[first:])
	return u, len(u.Changes) > 0 || p.Lost
}

func byRevision(c Change, r store.Revision) int { return cmp.Compare(c.Revision, r) }

// staleAt is when the copy counts as not followed unless the store is heard of.
func (f *feed) staleAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard.Add(f.staleAfter)
}

// allLocked lists all keys in their order.
func (f *feed) allLocked() []Change {
	out := make([]Change, 0, len(f.items))
	for _, it := range f.items {
		out = append(out, changeOf(it))
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// state is a feed for dumps and metrics.
func (f *feed) state(prefix string) FeedState {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.now().Sub(f.heard)
	return FeedState{Prefix: prefix, At: f.at, Keys: len(f.items), Lost: f.lost || age >= f.staleAfter, AgeSeconds: age.Seconds()}
}

// FeedState is one prefix as a relay has it.
type FeedState struct {
	Prefix string         `json:"prefix"`
	At     store.Revision `json:"revision"`
	Keys   int            `json:"keys"`
	Lost   bool           `json:"lost"`
	// AgeSeconds is the time since the store was heard of.
	AgeSeconds float64 `json:"age_seconds"`
}
