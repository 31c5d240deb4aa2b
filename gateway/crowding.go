package gateway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/admission"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/serving"
)

// moveDelay bounds how soon callers that are sent to another router come back: at once, but not all in one moment.
const moveDelay = 50 * time.Millisecond

// handsOver reports whether the settings let a crowded router hand callers over to others.
func (g *Gateway) handsOver() bool {
	return g.settings.Queueing.On(g.settings.Queueing.Connections, g.settings.Regions)
}

// lastWorkRatio returns the pool's WorkRatio at the last tick: it counts all upstreams, too much for each request.
func (g *Gateway) lastWorkRatio() float64 { return math.Float64frombits(g.workRatio.Load()) }

// tickLag records that the timer that measures the wait for the processor fired, and whether this router is crowded.
func (g *Gateway) tickLag(now time.Time) {
	g.lag.Tick(now)
	if !g.handsOver() {
		return
	}
	was, wait, ratio := g.crowding.Crowded(now), g.wait(now), g.pool.WorkRatio()
	g.workRatio.Store(math.Float64bits(ratio))
	if crowded := g.crowding.Observe(now, wait, ratio); crowded != was {
		g.Log.Info().Bool("crowded", crowded).Int64("wait_ms", wait.Milliseconds()).Float64("work_ratio", ratio).
			Int64("active", g.activeRequests.Load()).Msg("router_crowded")
	}
}

// crowdingState is what a dump has of the decision to hand callers over.
type crowdingState struct {
	Crowded bool  `json:"crowded"`
	WaitMS  int64 `json:"wait_ms"`
	// WorkRatio is this router's work relative to the mean of all routers; 0 is unknown.
	WorkRatio float64 `json:"work_ratio"`
}

// crowdingState returns the state for a dump, nil if callers are never handed over.
func (g *Gateway) crowdingState(now time.Time) *crowdingState {
	if !g.handsOver() {
		return nil
	}
	return &crowdingState{Crowded: g.crowding.Crowded(now), WaitMS: g.wait(now).Milliseconds(), WorkRatio: g.lastWorkRatio()}
}

// wait returns how long work waits for this VM's processor or link.
func (g *Gateway) wait(now time.Time) time.Duration {
	return max(g.lag.Delay(now), g.roundTrip.Delay(now))
}

// closesConnections reports whether callers should open a new connection, which reaches another router, for their next
// request.
func (g *Gateway) closesConnections() bool {
	return g.stopping.Load() || g.linkOverloaded() || g.crowding.Crowded(time.Now()) || g.callerConns.runOut()
}

// sendElsewhere refuses a request that would miss its goal here and that another router can serve in time.
func (h *requestHandler) sendElsewhere(w http.ResponseWriter) *contract.Refusal {
	g := h.gateway
	if !g.handsOver() {
		return nil
	}
	a := admission.Arrival{Wait: g.wait(h.arrived), Ratio: g.lastWorkRatio(), Turns: turnsOf(h.request),
		Goal: h.request.Route.Goal, Rank: h.request.Rank}
	if !admission.FasterElsewhere(a, rand.Float64()) {
		return nil
	}
	w.Header().Set("Connection", "close")
	g.metrics.sentElsewhere()
	refusal := contract.Refuse(contract.Overloaded, "this router is behind, others are not").WithRetryAfter(backoff.Jitter(moveDelay))
	refusal.Detail = fmt.Sprintf("wait %d ms, work ratio %.1f", a.Wait.Milliseconds(), a.Ratio)
	return refusal
}

func turnsOf(r *serving.Request) admission.Turns {
	if r.Prompt > 0 {
		return admission.PromptTurns
	}
	return admission.PlainTurns
}
