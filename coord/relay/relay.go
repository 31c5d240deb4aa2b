// Package relay spreads the changes of a store's keys in a fleet without each process asking
// the store. A few processes follow the store, the relays; all others follow them.
//
// A relay needs no election and has no state of its own: a Hub follows the store as long as
// somebody asks it for changes, and is a copy that may be thrown away. Whoever picks other
// relays than the rest, because it knows other members, makes the store answer a few more
// calls and nothing else.
//
// Followers never go back: each change comes with the store's revision, a follower says up to
// which revision it has everything, and takes nothing older from any relay. None stays behind
// unnoticed: a relay says when it lost the store and how long ago it heard from it, and a
// follower that hears nothing in time asks another one, and the store itself at last.
package relay

import (
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("relay")

var (
	// ErrUnknownPrefix says that a relay does not follow such keys.
	ErrUnknownPrefix = errs.New("keys that are not followed here")
	// ErrOtherStore says that a relay follows another store than the one asked about.
	ErrOtherStore = errs.New("another store is followed here")
	// ErrTooManyFollowers says that a relay has as many followers as it takes.
	ErrTooManyFollowers = errs.New("too many followers")
	// ErrStopping says that a relay is about to end.
	ErrStopping = errs.New("the relay is stopping")
	// ErrBehind says that a relay offered an older copy than the follower has.
	ErrBehind = errs.New("the relay is behind")
	// ErrStale says that a relay has not heard from the store for long.
	ErrStale = errs.New("the relay has not heard from the store for long")
	// ErrInvalidReply says that an answer breaks the rules of this package.
	ErrInvalidReply = errs.New("the relay's answer makes no sense")
	// ErrStoreLost says that the store cannot be followed now.
	ErrStoreLost = errs.New("the store is not followed now")
	// ErrMissingUpdate says that an answer is silent about keys that were asked for.
	ErrMissingUpdate = errs.New("the relay left keys out")
)

// Position is how far a follower is with the keys under a prefix.
type Position struct {
	Prefix string `json:"prefix"`
	// After is the revision up to which the follower has all changes; 0 is none.
	After store.Revision `json:"after"`
	// Lost says that the follower knows that the store is not followed; it waits then for
	// the return.
	Lost bool `json:"lost,omitempty"`
}

// Request asks a relay for what came after the positions.
type Request struct {
	// Store names the store that the follower means, the same in the whole fleet.
	Store     string     `json:"store"`
	Positions []Position `json:"positions"`
	// Wait is how long (ns) the relay waits for the first change.
	Wait time.Duration `json:"wait"`
}

// Reply has an update for each position.
type Reply struct {
	Updates []Update `json:"updates"`
}

// age is the oldest that an update is.
func (r Reply) age() time.Duration {
	var oldest time.Duration
	for _, u := range r.Updates {
		oldest = max(oldest, u.Age)
	}
	return oldest
}

// Update is what came after one position.
type Update struct {
	Prefix string `json:"prefix"`
	// At is the revision up to which the follower has all changes with this update.
	At store.Revision `json:"at"`
	// Whole says that Changes are all keys, in place of what the follower has.
	Whole bool `json:"whole,omitempty"`
	// AfterOutage says, with Whole, that the store was away before it was read.
	AfterOutage bool `json:"after_outage,omitempty"`
	// Lost says that the relay does not follow the store now; there are no changes then.
	Lost bool `json:"lost,omitempty"`
	// Age is how long ago (ns) the relay heard from the store.
	Age     time.Duration `json:"age"`
	Changes []Change      `json:"changes,omitempty"`
}

// Change is a key as it was written, or its removal.
type Change struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Packed is a large Value in DEFLATE form, in its place, on the way between processes.
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
