// Package mirror keeps a process's copy of the keys under one prefix of the store: it
// reads a snapshot, follows it by a watch, and reads again whenever the watch is cut
// or its history is gone.
package mirror

import (
	"context"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/zeebo/errs"
)

// ErrWatchInterrupted says that a watch ended; the keys are read again.
var ErrWatchInterrupted = errs.New("watch was cut")

// Reader takes what a Mirror reads. Its methods are called from one goroutine.
type Reader interface {
	// Reset replaces everything that is known by a fresh, linearizable read.
	Reset(items []store.Item)
	// Changed applies one write or removal that came after the last Reset. An
	// event may repeat what a Reset or an earlier event brought.
	Changed(e store.Event)
	// Lost says that the copy is not followed now; it stays as it is until the
	// next Reset. It is called once for each try that failed.
	Lost(err error)
}

// Bounds of the pause between two tries while the store does not answer. The first is
// short, since a cut watch is usually followed by a good read; the longest bounds how
// late a process learns of changes after the store's return.
const (
	pauseMin = 20 * time.Millisecond
	pauseMax = time.Second
)

// Mirror follows one prefix.
type Mirror struct {
	Store  store.Store
	Prefix string
	Reader Reader
	// OnProgress, if set, is called after each answer of the store with the revision up to
	// which the Reader has all changes.
	OnProgress func(at store.Revision)
}

// Run follows the prefix until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := backoff.New(pauseMin, pauseMax)
	for ctx.Err() == nil {
		if err := m.follow(ctx, pause.Reset); err != nil && ctx.Err() == nil {
			m.Reader.Lost(err)
		}
		_ = pause.Wait(ctx) // ends early only with the context
	}
}

// follow reads a snapshot and passes events on until the watch ends.
func (m *Mirror) follow(ctx context.Context, answered func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	items, revision, err := m.Store.Snapshot(ctx, m.Prefix)
	if err != nil {
		return err
	}
	m.Reader.Reset(items)
	m.complete(revision)
	answered()
	events, err := m.Store.Watch(ctx, m.Prefix, revision)
	if err != nil {
		return err
	}
	for e := range events {
		switch {
		case e.Err != nil:
			return e.Err
		case e.Progress:
			m.complete(e.Revision)
		default:
			m.Reader.Changed(e)
		}
	}
	return store.Error.Wrap(ErrWatchInterrupted)
}

func (m *Mirror) complete(at store.Revision) {
	if m.OnProgress != nil {
		m.OnProgress(at)
	}
}
