package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/serving"
)

const (
	// mostBroken bounds the broken attempts that wait to be looked at. What finds no room is
	// counted, and lost as evidence.
	mostBroken = 512
	// lookers is how many upstreams are looked at at once: one that does not answer at all
	// takes the time of a dial.
	lookers = 4
)

// brokenAttempt is one whose connection to the upstream broke.
type brokenAttempt struct {
	request *serving.Request
	attempt serving.Attempt
	at      time.Time
}

// upstreamState is what a look at an upstream shows.
type upstreamState string

// The states.
const (
	// upstreamEnded says that nobody listens at the address.
	upstreamEnded upstreamState = "ended"
	// upstreamListens says that only the connection broke, or that another life listens.
	upstreamListens upstreamState = "listens"
	// upstreamUnknown says that the address did not answer: it may be cut off.
	upstreamUnknown upstreamState = "unknown"
)

// lookAt finds out whether the upstream at an address ended.
func (g *Gateway) lookAt(ctx context.Context, address string) upstreamState {
	dial := g.Network.Within(time.Duration(g.settings.Upstreams.DialTimeout))
	conn, err := dial(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent
		return upstreamListens
	case errors.Is(err, syscall.ECONNREFUSED):
		return upstreamEnded
	}
	return upstreamUnknown
}

// Broke implements serving.Watcher: an attempt's connection broke.
func (g *Gateway) Broke(r *serving.Request, a serving.Attempt) {
	select {
	case g.broken <- brokenAttempt{request: r, attempt: a, at: time.Now()}:
	default:
		g.metrics.breakNotLookedAt()
	}
}

// lookAtBroken looks at the upstreams of broken attempts until the context ends.
func (g *Gateway) lookAtBroken(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-g.broken:
			g.judgeBroken(ctx, b)
		}
	}
}

// judgeBroken logs what became of the upstream under a request.
func (g *Gateway) judgeBroken(ctx context.Context, b brokenAttempt) {
	state := g.lookAt(ctx, b.attempt.Break.Address)
	g.metrics.broke(b.request.Service.Name, state)
	g.Log.Info().Str("id", b.request.ID).Str("prompt", string(poison.Identify(b.request))).Str("team", b.request.Team).
		Str("service", b.request.Service.Name).Stringer("upstream", b.attempt.Upstream).Str("state", string(state)).
		Int64("events", b.attempt.Break.Events).Int64("running_ms", b.attempt.Break.Running.Milliseconds()).
		Int64("looked_after_ms", time.Since(b.at).Milliseconds()).Msg("upstream_broke_off")
}
