package lender

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/ctxlock"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/rs/zerolog"
)

const (
	// promptsKey is the store's key of the evidence about prompts.
	promptsKey = "arbutusmill/prompts"
	// expireInterval is the pause between two checks for expired evidence.
	expireInterval = time.Second
	// storeInterval is the pause between two writes to the store. The requests that one engine's
	// crash interrupts are reported within a shorter time, so they go into one write.
	storeInterval = time.Second
	// writerTimeout is how long a keeper that is not the writer waits until its evidence is stored by the
	// writer, which routers may not reach.
	writerTimeout = 2 * storeInterval
	// loadTimeout bounds how long a router's request waits for a read of the store, and for another
	// call of the store that is in progress.
	loadTimeout = 100 * time.Millisecond
)

// errNotLoaded is returned if no prompts are recorded here and the store could not be read.
var errNotLoaded = errors.New("the recorded prompts could not be read from the store")

// promptKeeper keeps the routers' evidence about prompts that crash upstreams: in memory, where it
// survives a restart of all routers, and in the store, where it survives a restart of all processes.
type promptKeeper struct {
	registry poison.Registry
	store    store.Store
	// isWriter reports whether this process ranks first among the keepers and writes to the store.
	isWriter func() bool
	// recordUnreadable counts a value in the store that cannot be decoded.
	recordUnreadable func(of string)
	log              zerolog.Logger

	// storeMu is held during calls of the store, so that one is made at a time.
	storeMu ctxlock.Mutex
	// loaded is set once the store's value was read, changed while the registry differs from the
	// written value.
	loaded, changed atomic.Bool
	// revision is the one that a write replaces. It is guarded by storeMu.
	revision store.Revision
	// readAt is the time of the last read of the store, changedAt that since which changed is set, in
	// nanoseconds.
	readAt, changedAt atomic.Int64
	// complete is set if the store's value, when it was last read, had all that was recorded here. It is
	// guarded by storeMu.
	complete bool
}

// methods returns the handlers of messages from routers.
func (k *promptKeeper) methods() map[string]link.Handler {
	return map[string]link.Handler{
		link.MethodPromptKeep:     link.Handle(k.keep),
		link.MethodPromptList:     link.Handle(k.list),
		link.MethodPromptEvidence: link.Handle(k.listAll),
	}
}

// keep records a router's evidence, and answers also to prompts that are not recorded yet. It returns all
// evidence on these prompts, as far as there are crashes.
func (k *promptKeeper) keep(_ context.Context, in link.PromptKeep) ([]poison.Evidence, error) {
	now := time.Now()
	merged := map[poison.Prompt]poison.Evidence{}
	added := 0
	record := func(all poison.Evidence, isNew bool) {
		merged[all.Prompt] = all
		if isNew {
			added++
		}
	}
	for _, a := range in.Answered {
		record(k.registry.AddAnswer(now, a.Prompt, a.Answer()))
	}
	for _, e := range in.Known {
		record(k.registry.Add(now, e))
	}
	if added > 0 {
		k.markChanged()
	}
	k.log.Info().Int("prompts", len(in.Known)).Int("news", added).Int("answered", len(in.Answered)).Msg("prompts_kept")
	maps.DeleteFunc(merged, func(_ poison.Prompt, e poison.Evidence) bool { return len(e.Crashes) == 0 })
	return slices.AppendSeq(make([]poison.Evidence, 0, len(merged)), maps.Values(merged)), nil
}

// list returns the evidence on prompts with crashes to a router that has just started.
func (k *promptKeeper) list(ctx context.Context, _ link.Empty) ([]poison.Evidence, error) {
	if err := k.loadForList(ctx); err != nil {
		return nil, err
	}
	return k.registry.List(time.Now()), nil
}

// listAll returns the evidence on all prompts to a router that has just started.
func (k *promptKeeper) listAll(ctx context.Context, _ link.Empty) ([]poison.Evidence, error) {
	if err := k.loadForList(ctx); err != nil {
		return nil, err
	}
	return k.registry.ListAll(time.Now()), nil
}

// loadForList loads the store's value, also if it was loaded before: another keeper may have stored evidence that
// routers could not send here. If that fails, what is recorded here must do.
func (k *promptKeeper) loadForList(ctx context.Context) error {
	wasLoaded := k.loaded.Load()
	if wasLoaded && time.Since(time.Unix(0, k.readAt.Load())) >= storeInterval {
		k.loaded.Store(false)
	}
	if err := k.load(ctx); err != nil && k.registry.Empty() && !wasLoaded {
		return fmt.Errorf("%w: %w", errNotLoaded, err)
	}
	return nil
}

// load reads the store's value, once.
func (k *promptKeeper) load(ctx context.Context) error {
	if k.loaded.Load() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if err := k.storeMu.Lock(ctx); err != nil {
		return err
	}
	defer k.storeMu.Unlock()
	return k.loadLocked(ctx)
}

// loadLocked reads the store's value and merges it, unless that was done since the last failed write.
func (k *promptKeeper) loadLocked(ctx context.Context) error {
	if k.loaded.Load() {
		return nil
	}
	item, err := k.store.Get(ctx, promptsKey)
	if err != nil {
		return err
	}
	all, now := k.decode(item), time.Now()
	var stored poison.Registry
	for _, e := range all {
		stored.Add(now, e)
	}
	k.complete = !slices.ContainsFunc(k.registry.ListAll(now), func(e poison.Evidence) bool {
		_, lacks := stored.Add(now, e)
		return lacks
	})
	for _, e := range all {
		k.registry.Add(now, e)
	}
	k.revision = item.Revision
	k.readAt.Store(time.Now().UnixNano())
	k.loaded.Store(true)
	k.log.Info().Int("prompts", len(all)).Int64("revision", item.Revision.Number()).Msg("prompts_loaded")
	return nil
}

// decode decodes the store's value. An undecodable value counts as empty, and the next write replaces it.
func (k *promptKeeper) decode(item store.Item) []poison.Evidence {
	if item.Revision == 0 {
		return nil
	}
	all, err := poison.Decode(time.Now(), item.Value)
	if err != nil {
		k.recordUnreadable("prompts")
		k.log.Error().Err(err).Str("key", promptsKey).Int64("revision", item.Revision.Number()).Msg("prompts_unreadable")
	}
	return all
}

// markChanged records that the registry differs from the written value.
func (k *promptKeeper) markChanged() {
	if !k.changed.Swap(true) {
		k.changedAt.Store(time.Now().UnixNano())
	}
}

// storeRestored makes the writer compare the store's value with what is recorded here: a store that was restored from an older copy may
// lack some of it.
func (k *promptKeeper) storeRestored() {
	if len(k.registry.ListAll(time.Now())) == 0 {
		return
	}
	k.loaded.Store(false)
	k.markChanged()
}

// writerIsLate reports whether the writer had enough time to store the changes.
func (k *promptKeeper) writerIsLate() bool {
	return time.Since(time.Unix(0, k.changedAt.Load())) >= writerTimeout
}

// write writes changes to the store if this process is the writer, or if the writer has not stored them in
// time. The next call retries a failed write.
func (k *promptKeeper) write(ctx context.Context) {
	isWriter := k.isWriter()
	if !k.changed.Load() || !isWriter && !k.writerIsLate() {
		return
	}
	if k.storeMu.Lock(ctx) != nil {
		return // the process stops
	}
	defer k.storeMu.Unlock()
	if !isWriter {
		k.loaded.Store(false)
	}
	k.changed.Store(false) // later changes may not be in the written value
	if err := k.writeLocked(ctx, isWriter); err != nil {
		k.changed.Store(true)
		k.loaded.Store(false) // another process may have written, or this write may take effect later
		k.log.Warn().Err(err).Msg("prompts_not_stored")
	}
}

// writeLocked writes all evidence. A process that is not the writer writes only what the store lacks.
func (k *promptKeeper) writeLocked(ctx context.Context, isWriter bool) error {
	if err := k.loadLocked(ctx); err != nil {
		return err
	}
	if !isWriter && k.complete {
		return nil
	}
	now := time.Now()
	value, err := poison.Encode(now, k.registry.ListAll(now))
	if err != nil {
		return err
	}
	revision, err := k.store.CompareAndSwap(ctx, promptsKey, k.revision, value, 0)
	if err != nil {
		return err
	}
	k.revision = revision
	k.log.Info().Int64("revision", revision.Number()).Int("bytes", len(value)).Msg("prompts_stored")
	return nil
}

// expire removes expired evidence and logs the prompts whose standing changes.
func (k *promptKeeper) expire(context.Context) {
	for _, change := range k.registry.Expire(time.Now()) {
		k.log.Info().Str("prompt", string(change.Prompt)).Stringer("was", change.Was).Stringer("standing", change.Now).Msg("prompt_lapsed")
	}
}
