package lapse

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const grace = 2 * time.Second

// Guards against removed entries that count as lapsed, and the reverse: if 4 of 16 entries are
// missing after a loss, they were removed; if 4 of 5 are, their leases expired. No entry counts as
// lapsed after the grace period.
func TestLapsedShare(t *testing.T) {
	now := time.Unix(1000, 0)
	for kept, lapsed := range map[int]bool{12: false, 2: false, 1: true, 0: true} {
		d := &Detector{}
		d.StartGrace(now, grace)
		d.RecordRead(kept, 0)
		for range 4 {
			d.RecordMissing(false)
		}
		require.Equal(t, lapsed, d.Lapsed(now), "%d kept", kept)
		require.False(t, d.Lapsed(now.Add(grace)))
	}
}

// Guards against removed entries that count as lapsed although the store was never lost.
func TestNothingLapsesWithoutALoss(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &Detector{}
	d.RecordRead(0, 0)
	d.RecordMissing(false)
	require.False(t, d.InGrace(now))
	require.False(t, d.Lapsed(now))
}

// Guards against an earlier loss that affects a later one: entries missing because of a loss whose
// grace period is over must no longer count.
func TestSeparateLosses(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &Detector{}
	d.StartGrace(now, grace)
	for range 9 {
		d.RecordMissing(false)
	}
	now = now.Add(time.Minute)
	d.StartGrace(now, grace)
	d.RecordRead(3, 0)
	d.RecordMissing(false)
	require.False(t, d.Lapsed(now))
	missing, kept := d.Counts()
	require.Equal(t, 1, missing)
	require.Equal(t, 3, kept)
}
