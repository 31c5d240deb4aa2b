package witness_test

import (
	"fmt"
	"testing"

	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/witness"
	"github.com/stretchr/testify/require"
)

func reservation(parts ...grant.Part) grant.Reservation {
	return grant.Reservation{Budget: "b", Parts: parts}
}

// A holder that was shut out wakes and sends work; a peer sends work on one of its
// lots; a new life of it sends its own. Only the last may be served.
func TestFenceShutsOutOneLife(t *testing.T) {
	w := witness.New(10)
	w.Fence("r#1")
	own := reservation(grant.Part{Holder: "r#1", Seq: 1, Tokens: 5})
	require.ErrorIs(t, w.Begin(witness.Run{ID: "a", Spender: "r#1", Reservation: own}), witness.ErrFenced)
	require.ErrorIs(t, w.Begin(witness.Run{ID: "b", Spender: "peer#1", Reservation: own}), witness.ErrFenced)
	next := reservation(grant.Part{Holder: "r#2", Seq: 1, Tokens: 5})
	require.NoError(t, w.Begin(witness.Run{ID: "c", Spender: "r#2", Reservation: next}))
	fresh := witness.New(10)
	fresh.RestoreFences(map[string]int64{"r": 1})
	require.ErrorIs(t, fresh.Begin(witness.Run{ID: "a", Spender: "r#1", Reservation: own}), witness.ErrFenced)
	require.NoError(t, fresh.Begin(witness.Run{ID: "c", Spender: "r#2", Reservation: next}))
}

// Evidence is forgotten only up to what the holder has reported durably. Forgetting
// more would let recovery return tokens that were served.
func TestEvidenceIsKeptUntilReported(t *testing.T) {
	w := witness.New(10)
	for seq := int64(1); seq <= 3; seq++ {
		id := fmt.Sprint(seq)
		require.NoError(t, w.Begin(witness.Run{ID: id, Spender: "r#1",
			Reservation: reservation(grant.Part{Holder: "r#1", Seq: seq, Tokens: 10})}))
		w.End(id, seq)
	}
	w.Trim("b", map[string]int64{"r#1": 1})
	w.Trim("b", map[string]int64{"r#1": 0})
	ev := w.Fence("r#1")
	require.Len(t, ev.Uses, 2)
	w.Trim("b", map[string]int64{"r#1": 3})
	require.Zero(t, w.State().Runs)
	require.Zero(t, w.State().Rows)
}

// A request waits in the agent's queue when its connection breaks. The router asks what
// became of it, hears that it is not known here, and gives the tokens to others. If the
// request left the queue afterwards it would be served with tokens spent elsewhere.
func TestGivenUpRequestNeverBegins(t *testing.T) {
	w := witness.New(10)
	r := reservation(grant.Part{Holder: "r#1", Seq: 7, Tokens: 10})
	_, _, known := w.Resolve(r)
	require.False(t, known)
	require.ErrorIs(t, w.Begin(witness.Run{ID: "a", Spender: "r#1", Reservation: r}), witness.ErrCancelled)
	retry := reservation(grant.Part{Holder: "r#1", Seq: 8, Tokens: 10})
	require.NoError(t, w.Begin(witness.Run{ID: "a", Spender: "r#1", Reservation: retry}))
	_, running, known := w.Resolve(retry)
	require.True(t, running && known)
	w.End("a", 4)
	used, running, _ := w.Resolve(retry)
	require.Equal(t, int64(4), used)
	require.False(t, running)
}

// The same request runs twice here, and its outcomes wait to be reported. The bound on
// what is kept must refuse new work rather than forget.
func TestBoundRefusesWork(t *testing.T) {
	w := witness.New(2)
	run := witness.Run{ID: "a", Spender: "r#1", Reservation: reservation(grant.Part{Holder: "r#1", Seq: 1, Tokens: 10})}
	require.NoError(t, w.Begin(run))
	require.ErrorIs(t, w.Begin(run), witness.ErrRunning)
	w.End("a", 4)
	run.Reservation.Parts[0].Seq = 2
	require.NoError(t, w.Begin(run))
	w.End("a", 5)
	run.ID = "b"
	require.ErrorIs(t, w.Begin(run), witness.ErrFull)
	require.Len(t, w.Fence("x#1").Uses, 0)
	require.Len(t, w.Fence("r#1").Uses, 2)
	w.Trim("b", map[string]int64{"r#1": 2})
	require.NoError(t, w.Begin(witness.Run{ID: "free", Spender: "q#1"}))
	w.End("free", 0)
	require.Zero(t, w.State().Runs, "what costs nothing is not reported, so it must not stay")
}
