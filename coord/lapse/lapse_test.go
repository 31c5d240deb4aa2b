package lapse

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const grace = 2 * time.Second

// Four of sixteen entries are missing after a loss: they were removed. Four of five: their
// leases ran out, until the grace is over.
func TestFewMissingWereRemovedMostMissingLapsed(t *testing.T) {
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

// Without a loss of the store nothing that vanishes has lapsed, whatever vanishes.
func TestNothingLapsesWithoutALoss(t *testing.T) {
	now := time.Unix(1000, 0)
	j := &Detector{}
	j.RecordRead(0, 0)
	j.RecordMissing(false)
	require.False(t, j.InGrace(now))
	require.False(t, j.Lapsed(now))
}

// A second loss long after the first one: what was missing then counts no more.
func TestLossesApart(t *testing.T) {
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
