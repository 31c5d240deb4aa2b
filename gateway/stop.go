package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/serving"
)

// stopMargin is the part of the grace period reserved for the final writes.
const stopMargin = 700 * time.Millisecond

// shutdown stops the gateway within the grace period: it waits for the notice period, shuts the
// caller server down, returns unused tokens and ends the membership.
func (g *Gateway) shutdown(ctx context.Context, callers *http.Server) {
	start := time.Now()
	s := g.current.Load().Stop
	end := start.Add(time.Duration(s.Grace) - stopMargin)
	g.stopping.Store(true)
	g.Log.Info().Int64("active", g.activeRequests.Load()).Msg("stopping")
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	_ = backoff.Sleep(ctx, time.Duration(s.Notice)) // ends early if the grace period is shorter
	g.endOfStop.Store(&end)
	if err := callers.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		g.Log.Error().Err(err).Msg("shutdown_failed")
	}
	leaveCtx, cancelLeave := context.WithTimeout(context.WithoutCancel(ctx), stopMargin/2)
	defer cancelLeave()
	g.Leave(leaveCtx)
	g.Log.Info().Int64("active", g.activeRequests.Load()).Int64("took_ms", time.Since(start).Milliseconds()).Msg("stopped")
}

// refuseLate implements serving.Dispatcher.RefuseLate: once the notice period is over, callers with more time than
// this router are better served by another one.
func (g *Gateway) refuseLate(r *serving.Request) *contract.Refusal {
	end := g.endOfStop.Load()
	if end == nil || !r.Deadline.After(*end) {
		return nil
	}
	return contract.Refuse(contract.Stopping, "this router stops before the deadline of the request").WithRetryAfter(backoff.Jitter(moveDelay))
}
