package lender

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
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
func TestUnstoredAnswersAreBounded(t *testing.T) {
	ctx := context.Background()
	k := newPromptKeeper(memstore.New())
	k.isWriter = func() bool { return false }
	for range 3 * maxUnstoredAnswers {
		_, err := k.keep(ctx, link.PromptKeep{Answered: []link.PromptAnswered{{Prompt: clearedPrompt, Service: "chat"}}})
		require.NoError(t, err)
		k.write(ctx)
	}
	require.LessOrEqual(t, len(k.unstored), maxUnstoredAnswers)
}
