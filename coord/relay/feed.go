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

// maxKeptChanges bounds the changes that a feed keeps for followers that fell behind. A
// follower that missed more gets all keys again.
const maxKeptChanges = 1024

// maxUnstatedLag is how much longer than its Age the Lag of an update may be without being stated: the store answers within it in calm, and
// a hundred followers get three updates each, more than once a second.
const maxUnstatedLag = 20 * time.Millisecond

// feed is a copy of the keys under one prefix, with their last changes. It implements
// mirror.Reader; followers read it concurrently.
type feed struct {
	now func() time.Time
	// staleAfter is how long after the store's last answer the copy counts as not followed.
	// Without it, a call that is never answered would leave followers without changes until
	// that call times out.
	staleAfter time.Duration
	// overdueAfter is how long after the store's last answer the next one is overdue.
	overdueAfter time.Duration
	// notify is called, without the lock held, when there may be updates for followers.
	notify func()

	mu      sync.Mutex
	items   map[string]store.Item
	changes []Change // oldest first; complete after from
	from    store.Revision
	// at is the revision up to which the copy is complete; 0 before the first read.
	at store.Revision
	// lastContact is when the store last answered, or when the feed started.
	lastContact time.Time
	// asOf is a time up to which the copy is complete.
	asOf time.Time
	// lastChange is when the newest change, or the last read, became visible to followers.
	lastChange time.Time
	// lost is set while the store is not followed; outage, if it was not followed before the
	// last read.
	lost, outage bool
	// snapshot holds the last read until its revision is known; pending holds the changes after
	// at. The copy thus always corresponds to a single revision.
	snapshot map[string]store.Item
	pending  []Change
	// consistentAt is the first revision at which the copy is consistent: the pages of a read
	// are not one snapshot, and a key of a later page may be newer than the revision of the
	// read. If such a key were passed on at once, it would go back to an older revision at a
	// follower that switches to another relay.
	consistentAt store.Revision
}

// Reset implements mirror.Reader. The items become visible to followers when complete sets
// their revision.
func (f *feed) Reset(items []store.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot, f.pending, f.consistentAt = make(map[string]store.Item, len(items)), nil, 0
	for _, it := range items {
		f.snapshot[it.Key] = it
		f.consistentAt = max(f.consistentAt, it.Revision)
	}
}

// complete records that the copy has all changes up to a revision, and up to a time, zero if that is not known.
func (f *feed) complete(at store.Revision, asOf time.Time) {
	f.mu.Lock()
	defer f.notify()
	defer f.mu.Unlock()
	f.lastContact = f.now()
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
	if f.snapshot != nil {
		f.items, f.snapshot = f.snapshot, nil
		f.changes, f.from, f.at = nil, at, at
		f.outage, f.lost = f.lost, false
		f.lastChange = f.lastContact
		return
	}
	if len(f.pending) > 0 {
		f.lastChange = f.lastContact
	}
	for _, c := range f.pending {
		f.applyLocked(c)
	}
	f.pending = nil
	if f.at < f.consistentAt && f.consistentAt <= at {
		f.changes, f.from = nil, at // nothing was served to followers yet
	}
	f.at = max(f.at, at)
}

// applyLocked applies one change to the copy.
func (f *feed) applyLocked(c Change) {
	if f.items[c.Key].Revision > c.Revision {
		return // the snapshot was newer
	}
	if c.Removed {
		delete(f.items, c.Key)
	} else {
		f.items[c.Key] = c.item()
	}
	f.changes = append(f.changes, c)
	if over := len(f.changes) - maxKeptChanges; over > 0 {
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

// Lost implements mirror.Reader. A compacted history is not an outage, nor is a store that was restored: it
// answers, and the keys are read again at once. The copy stays valid until then.
func (f *feed) Lost(err error) {
	if errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRestored) {
		return
	}
	f.mu.Lock()
	defer f.notify()
	defer f.mu.Unlock()
	f.lost = true
}

// since returns the changes after a position, and whether the update is new to the follower.
func (f *feed) since(p Position) (u Update, hasNew bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u = Update{Prefix: p.Prefix, At: p.After, Age: f.now().Sub(f.lastContact)}
	if f.lost || u.Age >= f.staleAfter {
		u.Lost = true
		return u, !p.Lost
	}
	if f.at == 0 || f.at < f.consistentAt {
		u.Lost, u.Unread = p.Lost, !p.Lost
		return u, false
	}
	u.Due = cmp.Or(f.overdueAfter-u.Age, -1)
	u.At, u.Held = f.at, f.now().Sub(f.lastChange)
	if lag := f.now().Sub(f.asOf); lag > u.Age+maxUnstatedLag {
		u.Lag = lag
	}
	if p.After == 0 || p.After < f.from {
		u.Whole, u.AfterOutage, u.Changes = true, f.outage, f.allLocked()
		return u, true
	}
	first, _ := slices.BinarySearchFunc(f.changes, p.After+1, byRevision)
	u.Changes = slices.Clone(f.changes[first:])
	return u, len(u.Changes) > 0 || p.Lost
}

func byRevision(c Change, r store.Revision) int { return cmp.Compare(c.Revision, r) }

// staleAt returns the time at which the copy counts as not followed, unless the store answers
// before.
func (f *feed) staleAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastContact.Add(f.staleAfter)
}

// allLocked lists all keys in order.
func (f *feed) allLocked() []Change {
	out := make([]Change, 0, len(f.items))
	for _, it := range f.items {
		out = append(out, changeOf(it))
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// state returns the feed's state for dumps and metrics.
func (f *feed) state(prefix string) FeedState {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.now().Sub(f.lastContact)
	return FeedState{Prefix: prefix, At: f.at, Keys: len(f.items), Lost: f.lost || age >= f.staleAfter, AgeSeconds: age.Seconds()}
}

// FeedState is the state of a relay's copy of one prefix.
type FeedState struct {
	Prefix string         `json:"prefix"`
	At     store.Revision `json:"revision"`
	Keys   int            `json:"keys"`
	Lost   bool           `json:"lost"`
	// AgeSeconds is the time since the store last answered.
	AgeSeconds float64 `json:"age_seconds"`
}
