package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// limitStream is the PCG stream for the limits of a seed; it differs from those of faults and callers.
	limitStream = 8
	// limitDuration is how long an upstream states a limit. Requests are counted per limitWindow,
	// beginning limitSettleTime after the first response that states the limit.
	limitDuration   = 10 * time.Second
	limitWindow     = 4 * time.Second
	limitSettleTime = 3 * time.Second
)

// planLimits makes one upstream or all upstreams of a service state a limit, in addition to the
// faults. It does so for every second seed.
func (tf *testFleet) planLimits(seed uint64) []fault {
	if seed%2 == 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, limitStream))
	ups := tf.sameService(tf.upstreams[rng.IntN(len(tf.upstreams))])
	if rng.IntN(2) == 0 {
		i := rng.IntN(len(ups))
		ups = ups[i : i+1]
	}
	limit := []float64{0.5, 1, 3}[rng.IntN(3)]
	return []fault{{
		name: fmt.Sprintf("limit of %v requests/s at %d upstreams of %s, the first is %s", limit, len(ups), ups[0].service, ups[0].ID),
		at:   time.Duration(rng.Int64N(int64(faultPeriod / 2))), duration: limitDuration,
		do:   func() { tf.setLimits(ups, limit) },
		undo: func() { tf.clearLimits(ups) },
	}}
}

func (tf *testFleet) setLimits(ups []*upstream, limit float64) {
	for _, u := range ups {
		u.limit = limit
		u.SetLimit(fmt.Sprint(limit))
	}
}

func (tf *testFleet) clearLimits(ups []*upstream) {
	for _, u := range ups {
		u.SetLimit("")
		u.limitEnded = time.Now()
	}
}

// checkLimits checks that the requests of all routers together stay within the limits that upstreams
// state, whatever other faults occurred.
func (tf *testFleet) checkLimits() {
	for _, u := range tf.upstreams {
		if u.limit == 0 || u.LimitSince().IsZero() {
			continue
		}
		highest := tf.maxReceived(u, u.LimitSince().Add(limitSettleTime), u.limitEnded)
		require.LessOrEqual(tf.t, float64(highest), 1.5*u.limit*limitWindow.Seconds()+5, "%s, which stated a limit of %v requests/s", u.ID, u.limit)
		tf.t.Logf("%s: at most %d requests in %s, limit %v requests/s", u.ID, highest, limitWindow, u.limit)
	}
}

// maxReceived returns the largest number of requests that an upstream received in any limitWindow
// between two times.
func (tf *testFleet) maxReceived(u *upstream, from, to time.Time) (highest int) {
	var times []time.Time
	for _, r := range tf.received {
		if r.upstream == u.ID && !r.at.Before(from) && r.at.Before(to) {
			times = append(times, r.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for last, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}
