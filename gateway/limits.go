package gateway

import (
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/pool"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/ratelimit"
	"github.com/arbutusmill/arbutusmill/serving"
)

// limits implements pool.Limits.
type limits struct{ g *Gateway }

// Share implements pool.Limits.
func (l limits) Share(upstream string, perSecond float64) float64 {
	n, since := l.g.Members.Sharers()
	if n == 0 {
		return 0
	}
	ranked := l.g.Members.Rank(upstream, prepaid.RoleRouter)
	place := slices.IndexFunc(ranked, func(m member.Member) bool { return m.VM == l.g.settings.VM })
	return ratelimit.Share(place, len(ranked), time.Since(since), perSecond)
}

// Report implements pool.Limits.
func (l limits) Report(address string, born int64, w ratelimit.NamedLimit, known func(ratelimit.State)) {
	var answer ratelimit.State
	l.g.beside.send(note{address: address, method: link.MethodLimit, message: link.LimitNamed{Born: born, Word: w},
		answer: &answer, answered: func() { known(answer) }})
}

// Changed implements pool.Limits.
func (l limits) Changed(life directory.Incarnation, was, now float64, from pool.LimitSource) {
	l.g.Log.Info().Stringer("upstream", life).Float64("was_per_second", was).Float64("per_second", now).Str("from", string(from)).
		Msg("upstream_limit")
}

// Unparsable implements pool.Limits.
func (l limits) Unparsable(life directory.Incarnation, err error, again bool) {
	l.g.metrics.limitUnreadable()
	if again {
		return // one line for each text
	}
	l.g.Log.Warn().Stringer("upstream", life).Err(err).Msg("upstream_limit_unreadable")
}

// Limited implements pool.Limits.
func (l limits) Limited(r *serving.Request, h pool.LimitedChoice) {
	chosen := ""
	if h.Chosen != nil {
		chosen = h.Chosen.String()
	}
	l.g.metrics.heldByLimits(r.Service.Name, h.Chosen != nil)
	l.g.Log.Info().Str("id", r.ID).Str("service", r.Service.Name).Int("rank", r.Rank).Int("held", h.Limited).Int("of", h.Eligible).
		Str("chosen", chosen).Int64("next_ms", h.RetryAfter.Milliseconds()).Msg("held_by_limits")
}
