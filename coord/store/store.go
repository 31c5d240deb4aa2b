// Package store defines the interface between the coordination library and the
// platform's key-value service: compare-and-swap, leases and watches.
//
// Every value has a revision, which identifies the write that stored it. A key
// that does not exist has revision 0.
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all store errors.
var Error = errs.Class("store")

var (
	// ErrConflict means that the key's revision differed from the expected one;
	// nothing was written.
	ErrConflict = errs.New("revision conflict")
	// ErrUnknown means that the call may or may not have taken effect: the
	// store was unreachable, timed out, or its response was lost.
	ErrUnknown = errs.New("outcome unknown")
	// ErrUnavailable means that the store rejected the call without effect: it is
	// overloaded or down. Such an error also wraps ErrUnknown, so that callers
	// that do not distinguish the two are safe.
	ErrUnavailable = errs.New("store unavailable, nothing was done")
	// ErrTooLarge means that the value exceeds MaxValueBytes; nothing was written.
	ErrTooLarge = errs.New("value too large")
	// ErrCompacted means that the store has discarded the history that a watch
	// requested; the caller reads a snapshot and watches from its revision.
	ErrCompacted = errs.New("history was compacted")
	// ErrNoLease means that the lease expired or never existed.
	ErrNoLease = errs.New("no such lease")
	// ErrRestored means that the store was restored from an older copy since the revision,
	// the lease or the call that the error is about. A call whose error also wraps ErrUnknown may
	// have taken effect before or after that.
	ErrRestored = errs.New("the store was restored from an older copy")
)

// MaxValueBytes is the maximum size of a value in the platform's service.
const MaxValueBytes = 1 << 20

// Revision identifies a write to the store; 0 stands for an absent key. It consists of the store's
// era and the write's number within it, since a store that was restored from an older copy gives out
// numbers again: revisions of two eras are never equal, and those of the later era are higher.
type Revision int64

// numberBits is the size of a write's number in a Revision. It lasts for a year at 30,000 writes a second.
const numberBits = 40

// NewRevision returns the revision with a number in an era.
func NewRevision(era Era, number int64) Revision { return Revision(era)<<numberBits | Revision(number) }

// Era returns the store's era in which the revision was given out.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the number that the store gave to the write.
func (r Revision) Number() int64 { return int64(r & (1<<numberBits - 1)) }

// Era counts how often the store was restored from an older copy of itself, which loses acknowledged
// writes and leases, and gives out their revisions again.
type Era int64

// MaxEra bounds eras, so that a Revision holds them.
const MaxEra Era = 1<<22 - 1

// LeaseID identifies a lease; 0 stands for no lease.
type LeaseID int64

// Item is a key's value at a revision. An absent key has a nil Value and
// Revision 0.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// Created is the revision at which the key was created. Later writes keep it; a key
	// that was deleted, or whose lease expired, gets a new one.
	Created Revision
}

// Event is one message of a watch. A progress event carries no item: it means
// that every event up to Revision has been delivered.
type Event struct {
	Item
	Deleted  bool
	Progress bool
	// AsOf is set, in some adapters, with Progress: every change that the store had made by then has arrived.
	AsOf time.Time
	// Err is the reason why the watch ends. It is set only in the last event,
	// which carries nothing else. A watch may also end without one.
	Err error
}

// Store is a client of the platform's key-value service. Each method counts as one
// call, an open watch as one. Implementations are safe for concurrent use and
// respect the context's deadline. Errors other than ErrConflict, ErrTooLarge,
// ErrCompacted and ErrNoLease wrap ErrUnknown.
type Store interface {
	// Get reads one key. An absent key is not an error.
	Get(ctx context.Context, key string) (Item, error)
	// List reads up to limit keys with the prefix, in key order, starting at
	// from (inclusive; empty for the first).
	List(ctx context.Context, prefix, from string, limit int) ([]Item, error)
	// Snapshot reads all keys with the prefix, in key order, and returns a
	// revision to watch from without missing events: the items include every
	// event up to it. Large sets are read in pages, so an item may be newer than
	// the revision; the watch then sends it again.
	Snapshot(ctx context.Context, prefix string) ([]Item, Revision, error)
	// StaleSnapshot reads all keys with the prefix like Snapshot, but its result may be
	// seconds old. It costs the store little; callers must not rely on it where
	// a missed write matters.
	StaleSnapshot(ctx context.Context, prefix string) ([]Item, error)
	// CompareAndSwap writes value if the key is still at revision expect, and
	// returns the new revision. If lease is not 0, the key is removed when the
	// lease ends. A revision of an earlier era conflicts.
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes the key if it is still at revision expect.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch sends the events of all keys with the prefix after the given
	// revision, interleaved with progress events. The channel is closed when the
	// context ends or the connection is lost. A watch from a revision of an
	// earlier era ends with ErrRestored.
	Watch(ctx context.Context, prefix string, after Revision) (<-chan Event, error)
	// GrantLease creates a lease that expires after ttl without KeepAlive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive resets the lease to its full ttl.
	KeepAlive(ctx context.Context, id LeaseID) error
	// EndLease removes the lease and its keys. It is not an error if the lease has
	// already ended.
	EndLease(ctx context.Context, id LeaseID) error
}
