package pool

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/stretchr/testify/require"
)

// Guards against rest that is forgotten with the state of an upstream whose entry lapses and returns.
func TestRestOutlivesALapsedEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	p.Limits = ignoreLimits{}
	target, ok := pickUntil(t, p, now, "a")
	require.True(t, ok)
	target.Observe(serving.Statement{Rest: 30 * time.Second})
	target.Done(serving.Attempt{Result: serving.Declined})
	p.Directory.Changed(store.Event{Item: store.Item{Key: "a"}, Deleted: true})
	now = now.Add(20 * time.Second)
	p.Prune()
	p.Directory.Changed(store.Event{Item: store.Item{Key: "a", Revision: 9}})
	_, ok = pickUntil(t, p, now, "a")
	require.False(t, ok)
	now = now.Add(10 * time.Second)
	_, ok = pickUntil(t, p, now, "a")
	require.True(t, ok)
}

// Guards against callers that all come back in the same moment, the less urgent ones with the urgent ones.
func TestUrgentCallersComeBackFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOf(&now)
	p.Limits = ignoreLimits{}
	for range 2 {
		target, ok := p.Pick(plainRequest(now), nil)
		require.True(t, ok)
		target.Observe(serving.Statement{Rest: 2 * time.Second})
		target.Done(serving.Attempt{Result: serving.Declined})
	}
	delays := func(rank int) map[time.Duration]bool {
		r := plainRequest(now)
		r.Rank = rank
		out := map[time.Duration]bool{}
		for range 50 {
			_, ok := p.Pick(r, nil)
			require.False(t, ok)
			d, ok := p.RetryAfter(r)
			require.True(t, ok)
			require.GreaterOrEqual(t, d, 2*time.Second)
			require.Less(t, d, 4*time.Second)
			out[d] = true
		}
		return out
	}
	urgent, other := delays(0), delays(9)
	require.Greater(t, len(urgent), 1)
	for d := range other {
		require.GreaterOrEqual(t, d, 2*time.Second+9*rankDelay)
	}
}

// ignoreLimits ignores all reports; no upstream of these tests has a limit.
type ignoreLimits struct{ Limits }

func (ignoreLimits) ReportLimited(*serving.Request, LimitedChoice) {}
