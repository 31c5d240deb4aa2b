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
		j := &Detector{}
		j.StartGrace(now, grace)
		j.RecordRead(kept, 0)
		for range 4 {
			j.RecordMissing(false)
		}
		require.Equal(t, lapsed, j.Lapsed(now), "%d kept", kept)
		require.False(t, j.Lapsed(now.Add(grace)))
	}
}

// Guards against removed entries that count as lapsed although the store was never lost.
func TestNothingLapsesWithoutALoss(t *testing.T) {
	now := time.Unix(1000, 0)
	j := &Detector{}
	j.RecordRead(0, 0)
	j.RecordMissing(false)
	require.False(t, j.InGrace(now))
	require.False(t, j.Lapsed(now))
}

// Guards against an earlier loss that affects a later one: entries missing because of a loss whose
// grace period is over must no longer count.
func TestSeparateLosses(t *testing.T) {
	now := time.Unix(1000, 0)
	j := &Detector{}
	j.StartGrace(now, grace)
	for range 9 {
		j.RecordMissing(false)
	}
	now = now.Add(time.Minute)
	j.StartGrace(now, grace)
	j.RecordRead(3, 0)
	j.RecordMissing(false)
	require.False(t, j.Lapsed(now))
	missing, kept := j.Counts()
	require.Equal(t, 1, missing)
	require.Equal(t, 3, kept)
}
