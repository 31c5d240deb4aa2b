package gateway

import "github.com/arbutusmill/arbutusmill/directory"

// LimitChanged implements pool.LimitReporter.
func (g *Gateway) LimitChanged(life directory.Life, was, now float64) {
	g.Log.Info().Stringer("upstream", life).Float64("was_per_second", was).Float64("per_second", now).Msg("upstream_limit")
}

// LimitUnreadable implements pool.LimitReporter.
func (g *Gateway) LimitUnreadable(life directory.Life, err error) {
	g.metrics.limitUnreadable()
	g.Log.Warn().Stringer("upstream", life).Err(err).Msg("upstream_limit_unreadable")
}
