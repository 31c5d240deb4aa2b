package lender

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/stretchr/testify/require"
)

// crashesAt returns evidence of n crashes of the service chat, the last one a second old, of
// upstreams whose numbers begin at first.
func crashesAt(p poison.Prompt, first, n int) poison.Evidence {
	e := poison.Evidence{Prompt: p}
	for i := range n {
		e.Crashes = append(e.Crashes, poison.Crash{Upstream: fmt.Sprint("i-", first+i), Service: "chat", Age: time.Second})
	}
	return e
}

var answered = link.PromptKeep{Answered: []link.PromptAnswered{{Prompt: clearedPrompt, Service: "chat"}}}

func known(all ...poison.Evidence) link.PromptKeep { return link.PromptKeep{Known: all} }

func mustKeep(t *testing.T, k *promptKeeper, in link.PromptKeep) {
	_, err := k.keep(context.Background(), in)
	require.NoError(t, err)
}

// standingAt returns the standing of the prompt in the list that a router which starts gets.
func standingAt(t *testing.T, k *promptKeeper) poison.Standing {
	all, err := k.listAll(context.Background(), link.Empty{})
	require.NoError(t, err)
	for _, e := range all {
		if e.Prompt == clearedPrompt {
			return e.ForService("chat").Standing()
		}
	}
	return poison.Clear
}

// standingAtRouter returns the standing at a router that starts and gets the lists of the keepers in this order.
func standingAtRouter(t *testing.T, keepers ...*promptKeeper) poison.Standing {
	var router poison.Registry
	for _, k := range keepers {
		all, err := k.listAll(context.Background(), link.Empty{})
		require.NoError(t, err)
		for _, e := range all {
			router.Add(time.Now(), e)
		}
	}
	return router.Known(time.Now(), clearedPrompt).ForService("chat").Standing()
}

func nonWriter(s store.Store) *promptKeeper {
	k := newPromptKeeper(s)
	k.isWriter = func() bool { return false }
	return k
}

// Guards against a cleared prompt on trial again at routers that ask a new keeper, which read the document from before the answer.
func TestOlderDocumentDoesNotUndoAnAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := memstore.New()
		writer, second, newKeeper := newPromptKeeper(s), nonWriter(s), nonWriter(s)
		for _, k := range []*promptKeeper{writer, second} {
			mustKeep(t, k, known(crashesAt(clearedPrompt, 1, 2)))
		}
		writer.write(context.Background())
		time.Sleep(time.Second)
		mustKeep(t, writer, answered) // and it leaves before its next write
		mustKeep(t, second, answered)
		require.Equal(t, poison.Clear, standingAt(t, second))
		require.Equal(t, poison.Clear, standingAtRouter(t, newKeeper, second))
		require.Equal(t, poison.Clear, standingAtRouter(t, second, newKeeper))
	})
}

// Guards against a cleared prompt on trial again at a router that starts, since one keeper missed the answer.
func TestListsOfKeepersThatDifferByAnAnswerAreMerged(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		first, second := nonWriter(memstore.New()), nonWriter(memstore.New())
		mustKeep(t, first, known(crashesAt(clearedPrompt, 1, 2)))
		mustKeep(t, second, known(crashesAt(clearedPrompt, 1, 2)))
		mustKeep(t, second, answered)
		require.Equal(t, poison.Clear, standingAtRouter(t, first, second))
		require.Equal(t, poison.Clear, standingAtRouter(t, second, first))
	})
}

// Guards against a stored answer that is lost when a keeper that missed it writes its crashes.
func TestKeeperThatMissedAnAnswerDoesNotUndoItInTheStore(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, s := context.Background(), memstore.New()
		first, second := newPromptKeeper(s), newPromptKeeper(s)
		mustKeep(t, first, known(crashesAt(clearedPrompt, 1, 2)))
		mustKeep(t, second, known(crashesAt(clearedPrompt, 1, 2)))
		first.write(ctx)
		mustKeep(t, second, answered) // first misses it
		second.write(ctx)             // conflicts
		second.write(ctx)
		require.Equal(t, poison.Clear, standingAt(t, newPromptKeeper(s)), "the answer is stored")
		mustKeep(t, first, known(crashesAt(otherPrompt, 7, 1))) // any other change
		first.write(ctx)                                        // conflicts, and it reads the document with the answer
		first.write(ctx)
		require.Equal(t, poison.Clear, standingAt(t, newPromptKeeper(s)), "the document")
	})
}

// Guards against a cleared prompt on trial again, since a message with the older crashes arrives after the answer.
func TestCrashesDeliveredAfterALaterAnswerDoNotCount(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		k := newPromptKeeper(memstore.New())
		mustKeep(t, k, known(crashesAt(clearedPrompt, 1, 2)))
		time.Sleep(time.Second)
		mustKeep(t, k, answered)
		late := crashesAt(clearedPrompt, 1, 2)
		late.Crashes[0].Age, late.Crashes[1].Age = 2*time.Second, 2*time.Second // older than the answer
		mustKeep(t, k, known(late))
		require.Equal(t, poison.Clear, standingAt(t, k))
	})
}

// storeWithHook calls a function within a CompareAndSwap, before it takes effect.
type storeWithHook struct {
	store.Store
	during func()
}

func (s *storeWithHook) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, id store.LeaseID) (store.Revision, error) {
	if f := s.during; f != nil {
		s.during = nil
		f()
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, id)
}

// Guards against an answer that counts as stored because an equal one was, and is lost with the next load.
func TestEqualAnswerDuringAWriteIsStored(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, s := context.Background(), memstore.New()
		hooked := &storeWithHook{Store: s}
		k, other := newPromptKeeper(hooked), newPromptKeeper(s)
		mustKeep(t, k, answered)
		hooked.during = func() {
			mustKeep(t, k, known(crashesAt(clearedPrompt, 1, 2)))
			mustKeep(t, k, answered)
		}
		k.write(ctx)
		mustKeep(t, other, known(crashesAt(clearedPrompt, 1, 2))) // it was sent the crashes, and not yet the answer
		other.write(ctx)
		k.write(ctx) // conflicts
		k.write(ctx)
		require.Equal(t, poison.Clear, standingAt(t, k))
	})
}

// Guards against crashes that no longer count at a keeper, since it applies an older answer to the document with them.
func TestOldAnswerDoesNotClearNewerCrashesInTheDocument(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, s := context.Background(), memstore.New()
		writer, second := newPromptKeeper(s), nonWriter(s)
		mustKeep(t, writer, answered)
		mustKeep(t, second, answered)
		writer.write(ctx)
		time.Sleep(time.Minute)
		mustKeep(t, writer, known(crashesAt(clearedPrompt, 1, 3))) // second is not a keeper at this time
		writer.write(ctx)
		time.Sleep(time.Minute)
		require.Equal(t, poison.Proven, standingAt(t, newPromptKeeper(s)), "the document")
		require.Equal(t, poison.Proven, standingAt(t, second), "the keeper with the old answer")
	})
}

// Guards against crashes that are lost for good when a keeper with an older answer writes the document.
func TestOldAnswerDoesNotRemoveNewerCrashesFromTheDocument(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, s := context.Background(), memstore.New()
		writer, second := newPromptKeeper(s), nonWriter(s)
		mustKeep(t, second, answered)
		time.Sleep(time.Minute)
		mustKeep(t, writer, known(crashesAt(clearedPrompt, 1, 3)))
		writer.write(ctx)
		time.Sleep(time.Minute) // the writer dies, and so do all routers
		second.isWriter = func() bool { return true }
		second.write(ctx)
		require.Equal(t, poison.Proven, standingAt(t, newPromptKeeper(s)), "the document")
	})
}

// Guards against crashes that no longer count, since the message about an older answer is delivered once more.
func TestRepeatedAnswerDoesNotClearNewerCrashes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		k := newPromptKeeper(memstore.New())
		message := link.PromptKeep{Answered: []link.PromptAnswered{
			link.NewPromptAnswered(clearedPrompt, poison.Answer{Service: "chat", UnixMS: time.Now().UnixMilli()})}}
		mustKeep(t, k, message)
		time.Sleep(time.Second)
		mustKeep(t, k, known(crashesAt(clearedPrompt, 1, 3)))
		mustKeep(t, k, message)
		require.Equal(t, poison.Proven, standingAt(t, k))
	})
}

// Guards against copies that differ for good, since they received an answer and the crashes of another service in different orders.
func TestCopiesOfTwoServicesAgree(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		other := poison.Evidence{Prompt: clearedPrompt, Crashes: []poison.Crash{
			{Upstream: "i-1", Service: "second", Age: time.Second}, {Upstream: "i-2", Service: "second", Age: time.Second}}}
		inOrder, reversed := newPromptKeeper(memstore.New()), newPromptKeeper(memstore.New())
		mustKeep(t, inOrder, known(other))
		mustKeep(t, inOrder, answered)
		mustKeep(t, reversed, answered)
		mustKeep(t, reversed, known(other))
		require.Equal(t, poison.Clear, standingAt(t, inOrder))
		require.Equal(t, poison.Clear, standingAt(t, reversed), "the same messages in the other order")
	})
}
