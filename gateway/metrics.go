package gateway

import (
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/rollout"
	"github.com/arbutusmill/arbutusmill/serving"
)

// gatewayMetrics are the counters and histograms of a gateway.
type gatewayMetrics struct{ set *metrics.Set }

func newMetrics(g *Gateway) *gatewayMetrics {
	m := &gatewayMetrics{set: g.Metrics}
	m.set.NewGauge("arbutusmill_gateway_active_requests", func() float64 { return float64(g.activeRequests.Load()) })
	m.set.NewGauge("arbutusmill_gateway_body_bytes", func() float64 { return float64(g.bodies.Held()) })
	m.set.NewGauge("arbutusmill_gateway_caller_connections", func() float64 {
		open, _ := g.callerConns.counts()
		return float64(open)
	})
	m.set.NewGauge("arbutusmill_gateway_configuration_version", func() float64 { return float64(g.configVersion()) })
	m.set.NewGauge("arbutusmill_gateway_emptied_datacentres", func() float64 { return float64(len(g.directory.Drained())) })
	m.set.NewGauge("arbutusmill_gateway_prompts_that_end_upstreams", func() float64 {
		return float64(len(g.prompts.registry.Restricted(time.Now())))
	})
	m.set.NewGauge("arbutusmill_gateway_work_ratio", g.lastWorkRatio)
	m.set.NewGauge("arbutusmill_gateway_routers", func() float64 {
		n, _ := g.Members.Count(prepaid.RoleRouter)
		return float64(n)
	})
	return m
}

// refused counts a refusal.
func (m *gatewayMetrics) refused(k contract.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_refused_requests_total{kind=%q}", k)).Inc()
}

// bodyWithoutRoom counts a request that was refused since there was no room for its body.
func (m *gatewayMetrics) bodyWithoutRoom() {
	m.set.GetOrCreateCounter("arbutusmill_gateway_bodies_without_room_total").Inc()
}

// connectionUnread counts a caller's connection that was closed without an answer to its request.
func (m *gatewayMetrics) connectionUnread(r unreadReason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_unread_connections_total{reason=%q}", r)).Inc()
}

// sentElsewhere counts a request that was refused since another router can serve it in time.
func (m *gatewayMetrics) sentElsewhere() {
	m.set.GetOrCreateCounter("arbutusmill_gateway_requests_sent_elsewhere_total").Inc()
}

// retryDecided counts a decision on a retry of a request.
func (m *gatewayMetrics) retryDecided(service string, allowed bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_repeats_total{service=%q,allowed=\"%t\"}", service, allowed)).Inc()
}

// connectionBroken counts an attempt whose connection broke, by the state of the upstream.
func (m *gatewayMetrics) connectionBroken(service string, state upstreamState) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_broken_attempts_total{service=%q,upstream=%q}", service, state)).Inc()
}

// breakNotProbed counts a broken attempt that was dropped from the full queue.
func (m *gatewayMetrics) breakNotProbed() {
	m.set.GetOrCreateCounter("arbutusmill_gateway_broken_attempts_not_looked_at_total").Inc()
}

// responseDoubted counts a response that refuses a request or does not belong to it, by the result of its attempt.
func (m *gatewayMetrics) responseDoubted(service string, r serving.Result) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_responses_without_run_total{service=%q,result=%q}", service, r)).Inc()
}

// responseTooLong counts a response that passed a limit of package bounded.
func (m *gatewayMetrics) responseTooLong(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_too_long_responses_total{service=%q}", service)).Inc()
}

// headersNotRead counts a response with headers of the platform that no code reads.
func (m *gatewayMetrics) headersNotRead() {
	m.set.GetOrCreateCounter("arbutusmill_gateway_responses_with_unread_headers_total").Inc()
}

// upstreamStated counts what is new in upstreams' answers about them.
func (m *gatewayMetrics) upstreamStated(s serving.Statement) {
	for word, said := range map[string]bool{"leaving": s.Leaving, "rest": s.Rest > 0, "invalid": s.Invalid != nil} {
		if said {
			m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_upstream_statements_total{word=%q}", word)).Inc()
		}
	}
}

// streamTakenUp counts a stream that its caller takes up, by where the version that began it was found.
func (m *gatewayMetrics) streamTakenUp(service string, s versionSource) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_taken_up_streams_total{service=%q,version_from=%q}", service, s)).Inc()
}

// streamNotRecorded counts a stream whose version was not recorded at another process, or not at all of those
// that should record it.
func (m *gatewayMetrics) streamNotRecorded(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_streams_not_recorded_total{reason=%q}", reason)).Inc()
}

// streamContinued counts a stream that broke off and went on at another upstream within the same answer,
// by whether that has the version of the upstream that sent the first event.
func (m *gatewayMetrics) streamContinued(service string, sameVersion bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_continued_streams_total{service=%q,same_version=\"%t\"}", service, sameVersion)).Inc()
}

// limitUnparsable counts a response with a limit that cannot be parsed.
func (m *gatewayMetrics) limitUnparsable() {
	m.set.GetOrCreateCounter("arbutusmill_gateway_unreadable_limits_total").Inc()
}

// limitedChoice counts a choice in which rate limits excluded upstreams, by whether one was chosen.
func (m *gatewayMetrics) limitedChoice(service string, served bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_held_by_limits_total{service=%q,served=\"%t\"}", service, served)).Inc()
}

// trialAwaited counts an interrupted request that waited for another request's trial of its prompt, by whether it
// may be sent then.
func (m *gatewayMetrics) trialAwaited(service string, allowed bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_trial_waits_total{service=%q,allowed=\"%t\"}", service, allowed)).Inc()
}

// trialNotAwaited counts an interrupted request that did not wait since too many others did.
func (m *gatewayMetrics) trialNotAwaited() {
	m.set.GetOrCreateCounter("arbutusmill_gateway_trial_waits_full_total").Inc()
}

// attemptRecalled counts an attempt canceled because other upstreams crashed under its prompt.
func (m *gatewayMetrics) attemptRecalled(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_recalled_sends_total{service=%q}", service)).Inc()
}

// promptUpdateDropped counts an update about a prompt that was dropped because a queue was full.
func (m *gatewayMetrics) promptUpdateDropped() {
	m.set.GetOrCreateCounter("arbutusmill_gateway_prompt_news_dropped_total").Inc()
}

// rolloutRequest counts a request to a service that moves to a version, by the version of the upstream.
func (m *gatewayMetrics) rolloutRequest(service string, isNew bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_rollout_requests_total{service=%q,new=\"%t\"}", service, isNew)).Inc()
}

// rolloutStored counts a state of a roll-out that was written to the store.
func (m *gatewayMetrics) rolloutStored(service string, s rollout.State) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_rollouts_stored_total{service=%q,state=%q}", service, s)).Inc()
}

// streamsContinued counts the attempts that continued a stream.
func (m *gatewayMetrics) streamsContinued(service string, attempts []serving.Attempt) {
	first := slices.IndexFunc(attempts, func(a serving.Attempt) bool { return a.Events > 0 })
	if first < 0 {
		return
	}
	for _, a := range attempts[first+1:] {
		if a.Events > 0 {
			m.streamContinued(service, a.Version == attempts[first].Version)
		}
	}
}

// requestEnded records the outcome of a request that was dispatched.
func (m *gatewayMetrics) requestEnded(r *serving.Request, o serving.Outcome, duration time.Duration) {
	service := r.Service.Name
	if o.Refusal != nil {
		m.refused(o.Refusal.Kind)
	}
	m.streamsContinued(service, o.Attempts)
	for _, a := range o.Attempts {
		m.crossed(service, a.Crossing)
		m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_attempts_total{service=%q,result=%q}", service, a.Result)).Inc()
		if a.Gap.Duration > 0 {
			m.set.GetOrCreateHistogram(fmt.Sprintf("arbutusmill_gateway_longest_pause_seconds{service=%q}", service)).Update(a.Gap.Duration.Seconds())
		}
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_used_tokens_total{team=%q}", r.Team)).Add(int(o.Used))
	m.set.GetOrCreateHistogram(fmt.Sprintf("arbutusmill_gateway_request_duration_seconds{service=%q}", service)).Update(duration.Seconds())
}
