package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// limitStream tells the random numbers of a seed's limits from those of its faults and callers.
	limitStream = 8
	// limitLasts is how long an upstream names a limit. The requests of limitSpan are counted, from
	// limitKnown after the first answer that names it.
	limitLasts = 10 * time.Second
	limitSpan  = 4 * time.Second
	limitKnown = 3 * time.Second
)

// planLimits has upstreams of one service name a limit, one of them or all, beside the faults of
// every second seed.
func (w *world) planLimits(seed uint64) []fault {
	if seed%2 == 0 {
		return nil
	}
	luck := rand.New(rand.NewPCG(seed, limitStream))
	ups := w.sameService(w.upstreams[luck.IntN(len(w.upstreams))])
	if luck.IntN(2) == 0 {
		one := luck.IntN(len(ups))
		ups = ups[one : one+1]
	}
	limit := []float64{0.5, 1, 3}[luck.IntN(3)]
	return []fault{{
		name: fmt.Sprintf("limit of %v a second at %d of %s, the first is %s", limit, len(ups), ups[0].service, ups[0].ID),
		at:   time.Duration(luck.Int64N(int64(faultTime / 2))), lasts: limitLasts,
		do:   func() { w.setLimits(ups, limit) },
		undo: func() { w.endLimits(ups) },
	}}
}

func (w *world) setLimits(ups []*upstream, limit float64) {
	for _, u := range ups {
		u.limit = limit
		u.SetLimit(fmt.Sprint(limit))
	}
}

func (w *world) endLimits(ups []*upstream) {
	for _, u := range ups {
		u.SetLimit("")
		u.limitEnded = time.Now()
	}
}

// checkLimits checks that upstreams got no more than they named, from all routers together, whatever
// else happened.
func (w *world) checkLimits() {
	for _, u := range w.upstreams {
		if u.limit == 0 || u.Limited().IsZero() {
			continue
		}
		most := w.mostArrivals(u, u.Limited().Add(limitKnown), u.limitEnded)
		require.LessOrEqual(w.t, float64(most), 1.5*u.limit*limitSpan.Seconds()+5, "%s, which named %v a second", u.ID, u.limit)
		w.t.Logf("%s: %d requests at most in %s, limit %v a second", u.ID, most, limitSpan, u.limit)
	}
}

// mostArrivals is the most requests that came to an upstream within limitSpan, between two moments.
func (w *world) mostArrivals(u *upstream, from, to time.Time) (most int) {
	var times []time.Time
	for _, a := range w.arrivals {
		if a.upstream == u.ID && !a.at.Before(from) && a.at.Before(to) {
			times = append(times, a.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for last, at := range times {
		for at.Sub(times[first]) >= limitSpan {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
