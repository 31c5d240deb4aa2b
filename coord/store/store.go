// Package store is the contract between the coordination library and the
// platform's key-value service: compare-and-swap, leases and watches.
//
// Every value has a revision, the number of the write that put it there. A key
// that does not exist has revision 0.
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of a store.
var Error = errs.Class("store")

var (
	// ErrConflict says that the key's revision was not the expected one, so
	// nothing was written.
	ErrConflict = errs.New("revision conflict")
	// ErrUnknown says that the call may or may not have taken effect: the
	// store was unreachable, timed out, or its answer was lost.
	ErrUnknown = errs.New("outcome unknown")
	// ErrUnavailable says that the store refused the call and did nothing: it is
	// overloaded or down. It comes together with ErrUnknown, so that callers
	// which do not tell the two apart are safe.
	ErrUnavailable = errs.New("store unavailable, nothing was done")
	// ErrTooLarge says that the value passes MaxValueBytes; nothing was written.
	ErrTooLarge = errs.New("value too large")
	// ErrCompacted says that the store no longer has the history that a watch
	// asked for; read a snapshot and watch from there.
	ErrCompacted = errs.New("history is gone")
	// ErrNoLease says that the lease lapsed or never existed.
	ErrNoLease = errs.New("no such lease")
)

// MaxValueBytes is the largest value that the platform's service holds.
const MaxValueBytes = 1 << 20

// Revision numbers the writes of a store; 0 stands for an absent key.
type Revision int64

// LeaseID names a lease; 0 stands for no lease.
type LeaseID int64

// Item is a key's value at a revision. An absent key has a nil Value and
// Revision 0.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// Created is the revision at which the key was created. It stays the same through later
	// writes; a key that was removed, or whose lease ran out, gets a new one.
	Created Revision
}

// Event is one message of a watch. A progress event carries no item: it says
// that every event up to Revision has been delivered.
type Event struct {
	Item
	Deleted  bool
	Progress bool
	// Err is the reason why a watch ends; it comes alone in the last event. A
	// watch may also end without one.
	Err error
}

// Store is the platform's service. Each method counts as one call, a waiting
// watch as one. Implementations are safe for concurrent use and honour the
// context's deadline. Errors other than ErrConflict, ErrTooLarge,
// ErrCompacted and ErrNoLease wrap ErrUnknown.
type Store interface {
	// Get reads one key. An absent key is no error.
	Get(ctx context.Context, key string) (Item, error)
	// List reads up to limit keys that begin with prefix, in key order,
	// starting at from (inclusive; empty for the first).
	List(ctx context.Context, prefix, from string, limit int) ([]Item, error)
	// Snapshot reads all keys that begin with prefix, in key order, and returns
	// a revision from which a Watch misses nothing: events at or below it are in
	// the items. Large sets are read in pages, so an item may be newer than the
	// revision; the watch then sends it again.
	Snapshot(ctx context.Context, prefix string) ([]Item, Revision, error)
	// StaleSnapshot reads all keys that begin with prefix like Snapshot, but what it returns
	// may be seconds old. It costs the store little; nothing that must not be
	// missed may depend on it.
	StaleSnapshot(ctx context.Context, prefix string) ([]Item, error)
	// CompareAndSwap writes value if the key is still at revision expect, and
	// returns the new revision. The key goes away with the lease, if one is given.
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes the key if it is still at revision expect.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch sends the events of all keys under prefix after the given
	// revision, with progress events between. The channel is closed when the
	// context ends or the connection is lost.
	Watch(ctx context.Context, prefix string, after Revision) (<-chan Event, error)
	// GrantLease makes a lease that lapses after ttl without KeepAlive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease for its whole ttl.
	KeepAlive(ctx context.Context, id LeaseID) error
	// EndLease removes the lease and its keys. A lease that has ended is no error.
	EndLease(ctx context.Context, id LeaseID) error
}
