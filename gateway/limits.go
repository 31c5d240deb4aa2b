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
	index := slices.IndexFunc(ranked, func(m member.Member) bool { return m.VM == l.g.settings.VM })
	return ratelimit.Share(index, len(ranked), time.Since(since), perSecond)
}

// Report implements pool.Limits.
func (l limits) Report(address string, startUnixMS int64, limit ratelimit.NamedLimit, onReply func(ratelimit.State)) {
	var reply ratelimit.State
	l.g.lenders.enqueue(lenderMessage{address: address, method: link.MethodLimit, body: link.LimitReport{StartUnixMS: startUnixMS, Limit: limit},
		reply: &reply, onReply: func() { onReply(reply) }})
}

// Changed implements pool.Limits.
func (l limits) Changed(incarnation directory.Incarnation, before, after float64, source pool.LimitSource) {
	l.g.Log.Info().Stringer("upstream", incarnation).Float64("was_per_second", before).Float64("per_second", after).Str("from", string(source)).
		Msg("upstream_limit")
}

// Unparsable implements pool.Limits.
func (l limits) Unparsable(incarnation directory.Incarnation, err error, repeated bool) {
	l.g.metrics.limitUnparsable()
	if repeated {
		return // logged once for each value
	}
	l.g.Log.Warn().Stringer("upstream", incarnation).Err(err).Msg("upstream_limit_unreadable")
}

// Limited implements pool.Limits.
func (l limits) Limited(r *serving.Request, c pool.LimitedChoice) {
	chosen := ""
	if c.Chosen != nil {
		chosen = c.Chosen.String()
	}
	l.g.metrics.limitedChoice(r.Service.Name, c.Chosen != nil)
	l.g.Log.Info().Str("id", r.ID).Str("service", r.Service.Name).Int("rank", r.Rank).Int("held", c.Limited).Int("of", c.Eligible).
		Str("chosen", chosen).Int64("next_ms", c.RetryAfter.Milliseconds()).Msg("held_by_limits")
}
