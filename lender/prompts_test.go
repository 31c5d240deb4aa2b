package lender

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

const (
	clearedPrompt = poison.Prompt("cleared")
	otherPrompt   = poison.Prompt("other")
)

func newPromptKeeper(s store.Store) *promptKeeper {
	return &promptKeeper{
		store: s, isWriter: func() bool { return true },
		recordUnreadable: func(string) {}, log: zerolog.New(io.Discard),
	}
}

// crashed returns evidence of two crashes under a prompt.
func crashed(p poison.Prompt) poison.Evidence {
	return poison.Evidence{Prompt: p, Crashes: []poison.Crash{
		{Upstream: "i-1", Service: "chat", Age: time.Second},
		{Upstream: "i-2", Service: "chat", Age: time.Second},
	}}
}

// Guards against a prompt that is on trial again after it was answered, since a keeper that becomes
// the writer loads an older document from the store.
func TestAnswerOutlivesAnOlderDocument(t *testing.T) {
	for _, readEarlier := range []bool{false, true} {
		ctx := context.Background()
		s := memstore.New()
		k := newPromptKeeper(s)
		if readEarlier {
			require.NoError(t, k.load(ctx))
		}
		earlier := newPromptKeeper(s)
		_, err := earlier.keep(ctx, link.PromptKeep{Known: []poison.Evidence{crashed(clearedPrompt), crashed(otherPrompt)}})
		require.NoError(t, err)
		earlier.write(ctx)

		_, err = k.keep(ctx, link.PromptKeep{Answered: []link.PromptAnswered{{Prompt: clearedPrompt, Service: "chat"}}})
		require.NoError(t, err)
		k.write(ctx) // conflicts if the store was read earlier
		k.write(ctx)
		all, err := k.list(ctx, link.Empty{})
		require.NoError(t, err)
		require.Len(t, all, 1)
		require.Equal(t, otherPrompt, all[0].Prompt)

		restarted := newPromptKeeper(s)
		all, err = restarted.list(ctx, link.Empty{})
		require.NoError(t, err)
		require.Len(t, all, 1, "the stored document follows")
		require.Equal(t, otherPrompt, all[0].Prompt)
	}
}

// Guards against answers that pile up at a keeper that never writes.
func TestAnswersAtAKeeperAreBounded(t *testing.T) {
	ctx := context.Background()
	k := newPromptKeeper(memstore.New())
	k.isWriter = func() bool { return false }
	_, err := k.keep(ctx, link.PromptKeep{Known: []poison.Evidence{crashed(otherPrompt)}})
	require.NoError(t, err)
	const maxPrompts = 4096
	for n := range 2 * maxPrompts {
		in := link.PromptKeep{Answered: []link.PromptAnswered{{Prompt: poison.Prompt(fmt.Sprint("p-", n)), Service: "chat"}}}
		_, err := k.keep(ctx, in)
		require.NoError(t, err)
		_, err = k.keep(ctx, in)
		require.NoError(t, err)
		k.write(ctx)
	}
	require.LessOrEqual(t, k.registry.Len(), maxPrompts)
	all, err := k.list(ctx, link.Empty{})
	require.NoError(t, err)
	require.Len(t, all, 1, "answers displace no prompt with crashes")
}

// Guards against a list that a router waits for without a bound, while the keeper writes to a store that
// does not answer.
func TestListDoesNotWaitForAWrite(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, s := context.Background(), memstore.New()
		k := newPromptKeeper(s)
		mustKeep(t, k, link.PromptKeep{Known: []poison.Evidence{crashed(otherPrompt)}})
		s.SetFaults(memstore.Faults{Delay: time.Minute})
		var wg sync.WaitGroup
		wg.Go(func() { k.write(ctx) })
		time.Sleep(time.Second)
		began := time.Now()
		all, err := k.list(ctx, link.Empty{})
		require.NoError(t, err)
		require.Len(t, all, 1, "the evidence recorded here")
		require.Equal(t, loadTimeout, time.Since(began))

		empty := newPromptKeeper(s)
		wg.Go(func() { _ = empty.load(ctx) })
		time.Sleep(time.Millisecond)
		began = time.Now()
		_, err = empty.list(ctx, link.Empty{})
		require.ErrorIs(t, err, errNotLoaded)
		require.LessOrEqual(t, time.Since(began), loadTimeout)
		wg.Wait()
	})
}

// Guards against crashes that are lost and cleared prompts that have them again while routers and keepers that
// assign no times take part.
func TestMessagesWithoutTimesAtAKeeper(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		k := newPromptKeeper(memstore.New())
		mustKeep(t, k, link.PromptKeep{Known: []poison.Evidence{crashed(clearedPrompt)}})
		mustKeep(t, k, answered)
		require.Equal(t, poison.Clear, standingAt(t, k), "an answer without a time is observed when it is received")
		time.Sleep(10 * time.Second)
		again := crashed(clearedPrompt)
		again.Crashes[0].Age, again.Crashes[1].Age = 11*time.Second, 11*time.Second
		again.Answered = []string{"chat"}
		mustKeep(t, k, link.PromptKeep{Known: []poison.Evidence{again}})
		require.Equal(t, poison.Clear, standingAt(t, k), "the same crashes, some milliseconds later")
		newer := crashesAt(clearedPrompt, 11, 3)
		newer.Answered = []string{"chat"}
		mustKeep(t, k, link.PromptKeep{Answered: answered.Answered, Known: []poison.Evidence{newer}})
		require.Equal(t, poison.Clear, standingAt(t, k), "the answer is newer than the crashes, which are a second old")
		newer = crashesOfThisMoment(clearedPrompt, 21, 3)
		newer.Answered = []string{"chat"}
		mustKeep(t, k, link.PromptKeep{Known: []poison.Evidence{newer}})
		require.Equal(t, poison.Proven, standingAt(t, k), "the name of a service does not clear the crashes beside it")

		all, err := k.keep(context.Background(), link.PromptKeep{Answered: answered.Answered})
		require.NoError(t, err)
		require.Empty(t, all, "no evidence without crashes is sent")
		listed, err := k.list(context.Background(), link.Empty{})
		require.NoError(t, err)
		require.Empty(t, listed)
	})
}

// crashesOfThisMoment returns evidence of n crashes that are observed now, of upstreams whose numbers begin at
// first.
func crashesOfThisMoment(p poison.Prompt, first, n int) poison.Evidence {
	e := crashesAt(p, first, n)
	for i := range e.Crashes {
		e.Crashes[i].Age = 0
	}
	return e
}

// Guards against evidence that is lost with all processes: the store was restored from an older copy that lacks it, and nobody
// writes it again.
func TestEvidenceIsStoredAgainAfterARestoration(t *testing.T) {
	ctx := context.Background()
	s := memstore.New()
	older := s.Copy()
	k := newPromptKeeper(s)
	_, err := k.keep(ctx, link.PromptKeep{Known: []poison.Evidence{crashed(otherPrompt)}})
	require.NoError(t, err)
	k.write(ctx)
	s.Restore(older)
	k.storeRestored()
	k.write(ctx)
	all, err := newPromptKeeper(s).list(ctx, link.Empty{})
	require.NoError(t, err)
	require.Len(t, all, 1)
	writes := s.Calls().Writes
	newPromptKeeper(s).storeRestored()
	k.write(ctx)
	require.Equal(t, writes, s.Calls().Writes, "nothing is written at rest")
}
