// Package mirror keeps a local copy of the keys under one prefix of the store: it
// reads a snapshot, watches for changes, and reads again whenever the watch is
// interrupted or its history is compacted.
package mirror

import (
	"context"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/zeebo/errs"
)

// ErrWatchInterrupted is reported when a watch ends; the keys are then read again.
var ErrWatchInterrupted = errs.New("watch was interrupted")

// Reader receives what a Mirror reads. Its methods are called from one goroutine.
type Reader interface {
	// Reset replaces the whole copy by a fresh, linearizable read.
	Reset(items []store.Item)
	// Changed applies one write or removal that came after the last Reset. An
	// event may repeat the content of a Reset or of an earlier event.
	Changed(e store.Event)
	// Lost reports that the copy is not followed now; it stays unchanged until the
	// next Reset. It is called once for each failed attempt, and with store.ErrRestored before a
	// Reset with the keys of a later era of the store.
	Lost(err error)
}

// Bounds of the pause between two attempts while the store does not answer. The first
// is short, since the read after an interrupted watch usually succeeds; the longest
// bounds how late a process receives changes after the store's return.
const (
	minPause = 20 * time.Millisecond
	maxPause = time.Second
)

// Mirror follows the keys under one prefix.
type Mirror struct {
	Store  store.Store
	Prefix string
	Reader Reader
	// OnProgress, if set, is called after each answer of the store with the revision up to
	// which the Reader has all changes, and a time up to which it has them, zero if that is not known.
	OnProgress func(at store.Revision, asOf time.Time)

	// at is the revision up to which the Reader has all changes.
	at store.Revision
}

// Run follows the prefix until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := backoff.New(minPause, maxPause)
	for ctx.Err() == nil {
		if err := m.follow(ctx, pause.Reset); err != nil && ctx.Err() == nil {
			m.Reader.Lost(err)
		}
		_ = pause.Wait(ctx) // ends early only with the context
	}
}

// follow reads a snapshot and passes events to the Reader until the watch ends.
func (m *Mirror) follow(ctx context.Context, answered func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asOf := time.Now()
	items, revision, err := m.Store.Snapshot(ctx, m.Prefix)
	if err != nil {
		return err
	}
	if m.at != 0 && revision.Era() > m.at.Era() {
		m.Reader.Lost(store.Error.Wrap(store.ErrRestored))
	}
	m.Reader.Reset(items)
	m.complete(revision, asOf)
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
			m.complete(e.Revision, e.AsOf)
		default:
			m.Reader.Changed(e)
		}
	}
	return store.Error.Wrap(ErrWatchInterrupted)
}

func (m *Mirror) complete(at store.Revision, asOf time.Time) {
	m.at = at
	if m.OnProgress != nil {
		m.OnProgress(at, asOf)
	}
}
