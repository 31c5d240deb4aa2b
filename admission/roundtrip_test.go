package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a full inbound link that nothing at the VM shows: 50 connections have a heartbeat each second, and their replies
// come later and later. The wait must show within half a second, and be gone within a second after it has ended.
func TestRoundTripShowsAFullInboundLink(t *testing.T) {
	now := time.Unix(0, 0)
	r := RoundTrip{}
	play := func(d, took time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			r.Observe(now, took)
		}
	}
	play(2*time.Second, 16*time.Millisecond)
	require.Zero(t, r.Delay(now), "between regions")
	play(500*time.Millisecond, 200*time.Millisecond)
	require.Greater(t, r.Delay(now), crowdedWait)
	play(time.Second, 5*time.Millisecond)
	require.Zero(t, r.Delay(now))
}

// Guards against a router that counts as behind since other processes do not answer.
func TestSilentProcessesAreNoWait(t *testing.T) {
	now := time.Unix(0, 0)
	r := RoundTrip{}
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		took := 5 * time.Millisecond
		if i%25 == 0 {
			took = 3 * time.Second
		}
		r.Observe(now, took)
		require.Less(t, r.Delay(now), crowdedWait)
	}
	require.Zero(t, r.Delay(now.Add(3*time.Second)), "no answers at all")
}
