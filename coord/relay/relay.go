// Package relay distributes the changes of a store's keys in a fleet without each process
// watching the store. A few processes, the relays, follow the store; all others follow them.
//
// A relay needs no election and has no state of its own: a Hub follows the store as long as
// its changes are requested, and its copy is disposable. A process that picks other relays
// than the rest, because its list of members differs, costs the store a few more calls and
// nothing else.
//
// A follower's copy never returns to an older revision: each change carries the store's
// revision, a follower sends the revision up to which it has all changes, and accepts nothing
// older from any relay. If the store was restored from an older copy, its next revisions are of another era, and
// higher for that reason; each relay reads all keys again, and passes them on as a whole. A stale
// copy is always detected: a relay reports when it lost the store and how long ago the store
// last answered, and a follower that gets no answer in time polls another relay too, and finally
// the store itself, without giving up the first one: its late answer still counts.
package relay

import (
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("relay")

var (
	// ErrUnknownPrefix is returned for a prefix that the relay is not configured to follow.
	ErrUnknownPrefix = errs.New("the relay does not follow this prefix")
	// ErrOtherStore is returned if the relay follows another store than the requested one.
	ErrOtherStore = errs.New("the relay follows another store")
	// ErrTooManyFollowers is returned if the relay has reached its maximum of followers.
	ErrTooManyFollowers = errs.New("too many followers")
	// ErrStopping is returned by a relay that is shutting down.
	ErrStopping = errs.New("the relay is stopping")
	// ErrBehind is returned for a reply with an older copy than the follower has.
	ErrBehind = errs.New("the relay's copy is older than the follower's")
	// ErrStale is returned if the relay has had no answer from the store for too long.
	ErrStale = errs.New("the relay has had no answer from the store for too long")
	// ErrInvalidReply is returned for a reply that violates the protocol of this package.
	ErrInvalidReply = errs.New("invalid reply from the relay")
	// ErrStoreLost is returned while the store cannot be followed.
	ErrStoreLost = errs.New("the store is not followed now")
	// ErrNoAnswer is the reason for polling another source while an answer is late.
	ErrNoAnswer = errs.New("the relay has not answered in time")
	// ErrNotUsable is returned for a source that must not be polled now; see Source.Usable.
	ErrNotUsable = errs.New("the source is not usable now")
	// ErrMissingUpdate is returned for a reply without an update for a requested prefix.
	ErrMissingUpdate = errs.New("the reply lacks a requested prefix")
)

// Position is the state of a follower's copy of the keys under a prefix.
type Position struct {
	Prefix string `json:"prefix"`
	// After is the revision up to which the follower has all changes; 0 means none.
	After store.Revision `json:"after"`
	// Lost is set if the loss of the store was already reported to the follower; it then waits
	// until the store is followed again.
	Lost bool `json:"lost,omitempty"`
}

// Request asks a relay for the changes after the positions.
type Request struct {
	// Store is the name of the store to follow, the same in the whole fleet.
	Store     string     `json:"store"`
	Positions []Position `json:"positions"`
	// Eras is set by followers whose revisions have eras; see store.Revision. Others get the store's numbers.
	Eras bool `json:"eras,omitempty"`
	// Wait is how long (ns) the relay waits for the first change.
	Wait time.Duration `json:"wait"`
}

// Reply has an update for each position.
type Reply struct {
	Updates []Update `json:"updates"`
}

// lag returns the time since a time up to which the relay's copy is complete.
func (u Update) lag() time.Duration { return max(u.Lag, u.Age+maxUnstatedLag) }

// age returns the age of the oldest update.
func (r Reply) age() time.Duration {
	var oldest time.Duration
	for _, u := range r.Updates {
		oldest = max(oldest, u.Age)
	}
	return oldest
}

// held returns how long the relay has had the newest change of the reply, 0 without changes.
func (r Reply) held() time.Duration {
	var longest time.Duration
	for _, u := range r.Updates {
		if len(u.Changes) > 0 {
			longest = max(longest, u.Held)
		}
	}
	return longest
}

// hasNews reports whether the relay sent the reply as soon as it could, and not after the requested wait.
func (r Reply) hasNews() bool {
	return slices.ContainsFunc(r.Updates, func(u Update) bool { return len(u.Changes) > 0 || u.Whole || u.Lost || u.Unread })
}

// unread reports whether the relay has not read one of the prefixes yet.
func (r Reply) unread() bool {
	return slices.ContainsFunc(r.Updates, func(u Update) bool { return u.Unread })
}

// due returns the time after which the store's answer to the relay is overdue for one of the prefixes, if
// that is known.
func (r Reply) due() (due time.Duration, known bool) {
	for _, u := range r.Updates {
		if u.Due != 0 && (!known || u.Due < due) {
			due, known = u.Due, true
		}
	}
	return due, known
}

// Update holds the changes after one position.
type Update struct {
	Prefix string `json:"prefix"`
	// At is the revision up to which the follower has all changes with this update.
	At store.Revision `json:"at"`
	// Whole is set if Changes are all keys and replace the follower's copy.
	Whole bool `json:"whole,omitempty"`
	// AfterOutage is set, with Whole, if the store was not followed before it was read.
	AfterOutage bool `json:"after_outage,omitempty"`
	// Lost is set if the relay does not follow the store now; there are no changes then.
	Lost bool `json:"lost,omitempty"`
	// Unread is set if the relay has just begun to follow the prefix and has not read it yet; there are no
	// changes then, and At says nothing about the store.
	Unread bool `json:"unread,omitempty"`
	// Due is the time (ns) after which the store's next answer to the relay is overdue. It is negative if it
	// is overdue, and 0 if the relay does not say.
	Due time.Duration `json:"due,omitempty"`
	// Age is the time (ns) since the store last answered the relay, or since it began to read the prefix.
	Age time.Duration `json:"age"`
	// Lag is the time (ns) since a time up to which the relay's copy is complete; it includes what the store's answer took. 0 stands for
	// Age and maxUnstatedLag.
	Lag time.Duration `json:"lag,omitempty"`
	// Held is how long (ns) the relay has had the newest of the changes.
	Held    time.Duration `json:"held,omitempty"`
	Changes []Change      `json:"changes,omitempty"`
}

// Change is one write or removal of a key.
type Change struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Packed replaces a large Value between processes; it is Value compressed with DEFLATE.
	Packed   []byte         `json:"packed,omitempty"`
	Revision store.Revision `json:"revision"`
	Created  store.Revision `json:"created,omitempty"`
	Removed  bool           `json:"removed,omitempty"`
}

func changeOf(it store.Item) Change {
	return Change{Key: it.Key, Value: it.Value, Revision: it.Revision, Created: it.Created}
}

func (c Change) item() store.Item {
	return store.Item{Key: c.Key, Value: c.Value, Revision: c.Revision, Created: c.Created}
}
