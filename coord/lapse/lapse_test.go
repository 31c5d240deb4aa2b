package lapse

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const grace = 2 * time.Second

// Guards against removed entries that count as lapsed, and the reverse: if 4 of 16 entries are
// missing after a loss, they were removed; if 4 of 5 are, their leases ran out. No entry counts as
// lapsed after the grace period.
func TestLapsedShare(t *testing.T) {
	now := time.Unix(1000, 0)
	for kept, lapsed := range map[int]bool{12: false, 2: false, 1: true, 0: true} {
		j := &Judge{}
		j.StoreIsBack(now, grace)
		j.Read(kept, 0)
		for range 4 {
			j.Miss(false)
		}
		require.Equal(t, lapsed, j.Lapsed(now), "%d kept", kept)
		require.False(t, j.Lapsed(now.Add(grace)))
	}
}

// Guards against removed entries that count as lapsed although the store was never lost.
func TestNothingLapsesWithoutALoss(t *testing.T) {
	now := time.Unix(1000, 0)
	j := &Judge{}
	j.Read(0, 0)
	j.Miss(false)
	require.False(t, j.Possible(now))
	require.False(t, j.Lapsed(now))
}

// Guards against an earlier loss that affects a later one: entries missing because of a loss whose
// grace period is over must no longer count.
func TestSeparateLosses(t *testing.T) {
	now := time.Unix(1000, 0)
	j := &Judge{}
	j.StoreIsBack(now, grace)
	for range 9 {
		j.Miss(false)
	}
	now = now.Add(time.Minute)
	j.StoreIsBack(now, grace)
	j.Read(3, 0)
	j.Miss(false)
	require.False(t, j.Lapsed(now))
	missing, kept := j.Counts()
	require.Equal(t, 1, missing)
	require.Equal(t, 3, kept)
}
