package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A hot team's callers fill a small VM's inbound link for seconds. New callers go
// elsewhere from about a second on, and come back some seconds after it is over; a short
// burst changes nothing.
func TestFullLinkSendsCallersElsewhere(t *testing.T) {
	now := time.Unix(0, 0)
	u := Usage{BytesPerSecond: 1e6}
	play := func(d time.Duration, rate float64) (overloaded bool) {
		const step = 10 * time.Millisecond
		for end := now.Add(d); now.Before(end); now = now.Add(step) {
			u.Received(now, int(rate*step.Seconds()))
			u.Sent(now, 100)
		}
		return u.Overloaded(now)
	}
	require.False(t, play(2*time.Second, 5e5))
	require.False(t, play(600*time.Millisecond, 1e6))
	require.False(t, play(2*time.Second, 5e5))
	require.True(t, play(2*time.Second, 9e5))
	require.True(t, play(3*time.Second, 1e5))
	require.False(t, play(6*time.Second, 1e5))
}

// A large caller fills a small VM's inbound link, and its requests come in bursts: some spans
// see two thirds of the rate, others all of it. New callers go elsewhere after a second of that
// and not only once two full spans happen to follow each other.
func TestBurstsFillALink(t *testing.T) {
	now := time.Unix(0, 0)
	u := Usage{BytesPerSecond: 1e6}
	play := func(rates ...float64) (overloaded bool) {
		for _, rate := range rates {
			u.Received(now, 0)
			u.Received(now.Add(usageSpan/2), int(rate*usageSpan.Seconds()))
			now = now.Add(usageSpan)
		}
		return u.Overloaded(now)
	}
	require.False(t, play(5e5, 4e5, 6.6e5, 4e5, 5e5), "calm")
	require.True(t, play(7.6e5, 6.1e5, 8.6e5, 6.3e5))
}
