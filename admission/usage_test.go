package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A team's callers fill a small VM's inbound link for seconds. The link is reported as overloaded
// after about a second and until some seconds after the load ends; a short burst has no effect.
func TestFullInboundLinkReportsOverload(t *testing.T) {
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
