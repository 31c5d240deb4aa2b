package lender

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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
	// loadTimeout bounds the read of the store that a router's request waits for.
	loadTimeout = 100 * time.Millisecond
	// maxUnstoredAnswers limits the answers kept for the next load: as many as a router queues
	// between two messages.
	maxUnstoredAnswers = 512
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
	storeMu sync.Mutex
	// loaded is set once the store's value was read, changed while the registry differs from the
	// written value.
	loaded, changed atomic.Bool
	// revision is the one that a write replaces. It is guarded by storeMu.
	revision store.Revision

	unstoredMu sync.Mutex
	// unstored holds the answers since this process last wrote to the store, oldest first. The
	// store's value may hold crashes that they cleared.
	unstored []link.PromptAnswered
}

// methods returns the handlers of messages from routers.
func (k *promptKeeper) methods() map[string]link.Handler {
	return map[string]link.Handler{
		link.MethodPromptKeep: link.Handle(k.keep),
		link.MethodPromptList: link.Handle(k.list),
	}
}

// keep records a router's evidence and returns the merged evidence.
func (k *promptKeeper) keep(_ context.Context, in link.PromptKeep) ([]poison.Evidence, error) {
	now := time.Now()
	for _, a := range in.Answered {
		k.registry.RecordAnswer(now, a.Prompt, a.Service)
	}
	k.addUnstored(in.Answered)
	merged := make([]poison.Evidence, 0, len(in.Known))
	added := 0
	for _, e := range in.Known {
		all, isNew := k.registry.Add(now, e)
		merged = append(merged, all)
		if isNew {
			added++
		}
	}
	if added+len(in.Answered) > 0 {
		k.changed.Store(true)
	}
	k.log.Info().Int("prompts", len(in.Known)).Int("news", added).Int("answered", len(in.Answered)).Msg("prompts_kept")
	return merged, nil
}

// addUnstored keeps answers for the next load; beyond maxUnstoredAnswers the oldest are dropped.
func (k *promptKeeper) addUnstored(answered []link.PromptAnswered) {
	k.unstoredMu.Lock()
	defer k.unstoredMu.Unlock()
	k.unstored = append(k.unstored, answered...)
	k.unstored = k.unstored[max(0, len(k.unstored)-maxUnstoredAnswers):]
}

// unstoredAnswers returns the answers that the store's value may lack.
func (k *promptKeeper) unstoredAnswers() []link.PromptAnswered {
	k.unstoredMu.Lock()
	defer k.unstoredMu.Unlock()
	return slices.Clone(k.unstored)
}

// removeUnstored removes the answers that a write has stored. Others may have been added meanwhile.
func (k *promptKeeper) removeUnstored(stored []link.PromptAnswered) {
	k.unstoredMu.Lock()
	defer k.unstoredMu.Unlock()
	k.unstored = slices.DeleteFunc(k.unstored, func(a link.PromptAnswered) bool { return slices.Contains(stored, a) })
}

// list returns all evidence to a router that has just started.
func (k *promptKeeper) list(ctx context.Context, _ link.Empty) ([]poison.Evidence, error) {
	if err := k.load(ctx); err != nil && k.registry.Empty() {
		return nil, fmt.Errorf("%w: %w", errNotLoaded, err)
	}
	return k.registry.List(time.Now()), nil
}

// load reads the store's value, once.
func (k *promptKeeper) load(ctx context.Context) error {
	if k.loaded.Load() {
		return nil
	}
	k.storeMu.Lock()
	defer k.storeMu.Unlock()
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
	all := k.withoutAnswered(k.decode(item))
	for _, e := range all {
		k.registry.Add(time.Now(), e)
	}
	k.revision = item.Revision
	k.loaded.Store(true)
	k.log.Info().Int("prompts", len(all)).Int64("revision", int64(item.Revision)).Msg("prompts_loaded")
	return nil
}

// withoutAnswered removes the crashes that answers received here have cleared: another keeper may
// have written them before the answers.
func (k *promptKeeper) withoutAnswered(all []poison.Evidence) []poison.Evidence {
	var loaded poison.Registry
	now := time.Now()
	for _, e := range all {
		loaded.Add(now, e)
	}
	for _, a := range k.unstoredAnswers() {
		loaded.RecordAnswer(now, a.Prompt, a.Service)
	}
	return loaded.List(now)
}

// decode decodes the store's value. An undecodable value counts as empty, and the next write replaces it.
func (k *promptKeeper) decode(item store.Item) []poison.Evidence {
	if item.Revision == 0 {
		return nil
	}
	all, err := poison.Decode(time.Now(), item.Value)
	if err != nil {
		k.recordUnreadable("prompts")
		k.log.Error().Err(err).Str("key", promptsKey).Int64("revision", int64(item.Revision)).Msg("prompts_unreadable")
	}
	return all
}

// write writes changes to the store if this process is the writer. The next call retries a failed write.
func (k *promptKeeper) write(ctx context.Context) {
	if !k.changed.Load() || !k.isWriter() {
		return
	}
	k.storeMu.Lock()
	defer k.storeMu.Unlock()
	k.changed.Store(false) // later changes may not be in the written value
	if err := k.writeLocked(ctx); err != nil {
		k.changed.Store(true)
		k.loaded.Store(false) // another process may have written, or this write may take effect later
		k.log.Warn().Err(err).Msg("prompts_not_stored")
	}
}

func (k *promptKeeper) writeLocked(ctx context.Context) error {
	if err := k.loadLocked(ctx); err != nil {
		return err
	}
	now := time.Now()
	answers := k.unstoredAnswers()
	value, err := poison.Encode(now, k.registry.List(now))
	if err != nil {
		return err
	}
	revision, err := k.store.CompareAndSwap(ctx, promptsKey, k.revision, value, 0)
	if err != nil {
		return err
	}
	k.revision = revision
	k.removeUnstored(answers)
	k.log.Info().Int64("revision", int64(revision)).Int("bytes", len(value)).Msg("prompts_stored")
	return nil
}

// expire removes expired evidence and logs the prompts whose standing changes.
func (k *promptKeeper) expire(context.Context) {
	for _, change := range k.registry.Expire(time.Now()) {
		k.log.Info().Str("prompt", string(change.Prompt)).Stringer("was", change.Was).Stringer("standing", change.Now).Msg("prompt_lapsed")
	}
}
