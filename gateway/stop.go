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

const (
	// stopMargin is the part of the grace period that follows the end of the requests.
	stopMargin = 700 * time.Millisecond
	// lastAnswerTime is the part of stopMargin in which callers get the answers of requests that were active at its
	// beginning.
	lastAnswerTime = 200 * time.Millisecond
	// leaveTime is the part of stopMargin for the final writes to the store and other processes.
	leaveTime = 350 * time.Millisecond
)

// shutdown stops the gateway within the grace period: it waits for the notice period, shuts the
// caller server down, returns unused tokens and ends the membership. It returns the end of the time for calls of the store that
// are still in progress.
func (g *Gateway) shutdown(ctx context.Context, callers *http.Server) (end time.Time) {
	start := time.Now()
	s := g.current.Load().Stop
	end = start.Add(time.Duration(s.Grace) - stopMargin)
	g.stopping.Store(true)
	g.Log.Info().Int64("active", g.activeRequests.Load()).Msg("stopping")
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	_ = backoff.Sleep(ctx, time.Duration(s.Notice)) // ends early if the grace period is shorter
	g.endOfStop.Store(&end)
	g.shutDownCallers(ctx, callers)
	leaveCtx, cancelLeave := context.WithTimeout(context.WithoutCancel(ctx), leaveTime)
	defer cancelLeave()
	g.Leave(leaveCtx)
	g.Log.Info().Int64("active", g.activeRequests.Load()).Int64("took_ms", time.Since(start).Milliseconds()).Msg("stopped")
	return end
}

// shutDownCallers waits for active requests until ctx ends, and cancels the remaining ones: their callers get an answer
// rather than a connection that ends with the process.
func (g *Gateway) shutDownCallers(ctx context.Context, callers *http.Server) {
	err := callers.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.Log.Info().Int64("active", g.activeRequests.Load()).Msg("requests_ended_by_stop")
		g.cancelRequests(serving.ErrStopping)
		err = awaitLastAnswers(callers)
	}
	if err != nil {
		g.Log.Error().Err(err).Msg("shutdown_failed")
	}
}

// awaitLastAnswers waits until the answers of canceled requests are written, for lastAnswerTime at most, and closes the
// connections.
func awaitLastAnswers(callers *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswerTime)
	defer cancel()
	if callers.Shutdown(ctx) == nil {
		return nil
	}
	return callers.Close() // the remaining callers don't read
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
