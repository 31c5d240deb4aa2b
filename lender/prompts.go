package lender

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/rs/zerolog"
)

const (
	// promptsKey is the store's key of what is known of prompts.
	promptsKey = "arbutusmill/prompts"
	// lapsePause is the pause between two looks for prompts whose time is over.
	lapsePause = time.Second
	// storePause is the pause between two writes to the store: the requests that one engine's end
	// cuts are told within less, and go in one write.
	storePause = time.Second
	// loadTimeout bounds the read of the store that a router's question waits for.
	loadTimeout = 100 * time.Millisecond
)

// errNotLoaded says that nothing is known of prompts here, and that the store could not be read.
var errNotLoaded = errors.New("what the store has of prompts was not read")

// promptKeeper keeps what routers know of prompts that end upstreams. It outlives them here when
// all routers start anew, and in the store when all processes do.
type promptKeeper struct {
	register poison.Registry
	store    store.Store
	// first reports whether this process is the first of the keepers, which writes to the store.
	first func() bool
	// unreadable is told of a value in the store that cannot be decoded.
	unreadable func(of string)
	log        zerolog.Logger

	// calls is held during calls of the store, so that one is made at a time.
	calls sync.Mutex
	// loaded says that the store's value was read, changed that more is known than was written.
	loaded, changed atomic.Bool
	// revision is the one that a write replaces. It belongs to the holder of calls.
	revision store.Revision
}

// methods answer routers.
func (k *promptKeeper) methods() map[string]link.Handler {
	return map[string]link.Handler{
		link.MethodPromptKeep: link.Handle(k.keep),
		link.MethodPromptList: link.Handle(k.list),
	}
}

// keep takes what a router knows.
func (k *promptKeeper) keep(_ context.Context, in link.PromptKeep) ([]poison.Evidence, error) {
	now := time.Now()
	for _, a := range in.Answered {
		k.register.RecordAnswer(now, a.Prompt, a.Service)
	}
	kept := make([]poison.Evidence, 0, len(in.Known))
	news := 0
	for _, e := range in.Known {
		all, isNew := k.register.Add(now, e)
		kept = append(kept, all)
		if isNew {
			news++
		}
	}
	if news+len(in.Answered) > 0 {
		k.changed.Store(true)
	}
	k.log.Info().Int("prompts", len(in.Known)).Int("news", news).Int("answered", len(in.Answered)).Msg("prompts_kept")
	return kept, nil
}

// list tells a router that has just started.
func (k *promptKeeper) list(ctx context.Context, _ link.Empty) ([]poison.Evidence, error) {
	if err := k.load(ctx); err != nil && k.register.Empty() {
		return nil, fmt.Errorf("%w: %w", errNotLoaded, err)
	}
	return k.register.List(time.Now()), nil
}

// load reads the store's value, once.
func (k *promptKeeper) load(ctx context.Context) error {
	if k.loaded.Load() {
		return nil
	}
	k.calls.Lock()
	defer k.calls.Unlock()
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return k.loadLocked(ctx)
}

func (k *promptKeeper) loadLocked(ctx context.Context) error {
	if k.loaded.Load() {
		return nil
	}
	item, err := k.store.Get(ctx, promptsKey)
	if err != nil {
		return err
	}
	all := k.decode(item)
	for _, e := range all {
		k.register.Add(time.Now(), e)
	}
	k.revision = item.Revision
	k.loaded.Store(true)
	k.log.Info().Int("prompts", len(all)).Int64("revision", int64(item.Revision)).Msg("prompts_loaded")
	return nil
}

// decode reads the store's value. One that is unreadable counts as empty, and the next write replaces it.
func (k *promptKeeper) decode(item store.Item) []poison.Evidence {
	if item.Revision == 0 {
		return nil
	}
	all, err := poison.Decode(time.Now(), item.Value)
	if err != nil {
		k.unreadable("prompts")
		k.log.Error().Err(err).Str("key", promptsKey).Int64("revision", int64(item.Revision)).Msg("prompts_unreadable")
	}
	return all
}

// write writes what changed to the store, at the first of the keepers. The next call repeats one that failed.
func (k *promptKeeper) write(ctx context.Context) {
	if !k.changed.Load() || !k.first() {
		return
	}
	k.calls.Lock()
	defer k.calls.Unlock()
	k.changed.Store(false) // what changes from here on may not be in the value
	if err := k.writeLocked(ctx); err != nil {
		k.changed.Store(true)
		k.loaded.Store(false) // another one may have written, or this write may be done later
		k.log.Warn().Err(err).Msg("prompts_not_stored")
	}
}

func (k *promptKeeper) writeLocked(ctx context.Context) error {
	if err := k.loadLocked(ctx); err != nil {
		return err
	}
	now := time.Now()
	value, err := poison.Encode(now, k.register.List(now))
	if err != nil {
		return err
	}
	revision, err := k.store.CompareAndSwap(ctx, promptsKey, k.revision, value, 0)
	if err != nil {
		return err
	}
	k.revision = revision
	k.log.Info().Int64("revision", int64(revision)).Int("bytes", len(value)).Msg("prompts_stored")
	return nil
}

// lapse forgets prompts whose time is over.
func (k *promptKeeper) lapse(context.Context) {
	for _, lapsed := range k.register.Expire(time.Now()) {
		k.log.Info().Str("prompt", string(lapsed.Prompt)).Stringer("was", lapsed.Was).Stringer("standing", lapsed.Now).Msg("prompt_lapsed")
	}
}
