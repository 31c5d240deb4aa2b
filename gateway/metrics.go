package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/serving"
)

// gatewayMetrics are the counters and histograms of a gateway.
type gatewayMetrics struct{ set *metrics.Set }

func newMetrics(g *Gateway) *gatewayMetrics {
	m := &gatewayMetrics{set: g.Metrics}
	m.set.NewGauge("arbutusmill_gateway_active_requests", func() float64 { return float64(g.active.Load()) })
	m.set.NewGauge("arbutusmill_gateway_configuration_version", func() float64 { return float64(g.version()) })
	m.set.NewGauge("arbutusmill_gateway_emptied_datacentres", func() float64 { return float64(len(g.directory.Drained())) })
	m.set.NewGauge("arbutusmill_gateway_prompts_that_end_upstreams", func() float64 {
		return float64(len(g.prompts.register.Restricted(time.Now())))
	})
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

// repeat counts a decision on one more send of a request.
func (m *gatewayMetrics) repeat(service string, allowed bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_repeats_total{service=%q,allowed=\"%t\"}", service, allowed)).Inc()
}

// broke counts an attempt whose connection broke, by what became of the upstream.
func (m *gatewayMetrics) broke(service string, state upstreamState) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_broken_attempts_total{service=%q,upstream=%q}", service, state)).Inc()
}

// breakNotLookedAt counts one for which there was no room.
func (m *gatewayMetrics) breakNotLookedAt() {
	m.set.GetOrCreateCounter("arbutusmill_gateway_broken_attempts_not_looked_at_total").Inc()
}

// limitUnreadable counts an answer that names a limit which cannot be read.
func (m *gatewayMetrics) limitUnreadable() {
	m.set.GetOrCreateCounter("arbutusmill_gateway_unreadable_limits_total").Inc()
}

// heldByLimits counts a choice in which limits kept a request from some upstreams.
func (m *gatewayMetrics) heldByLimits(service string, served bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_held_by_limits_total{service=%q,served=\"%t\"}", service, served)).Inc()
}

// recalled counts a send that was ended since its prompt was found to end upstreams.
func (m *gatewayMetrics) recalled(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_recalled_sends_total{service=%q}", service)).Inc()
}

// promptNewsDropped counts news of a prompt that found no room.
func (m *gatewayMetrics) promptNewsDropped() {
	m.set.GetOrCreateCounter("arbutusmill_gateway_prompt_news_dropped_total").Inc()
}

// ended counts the end of a request that came onto the path.
func (m *gatewayMetrics) ended(r *serving.Request, e serving.Outcome, took time.Duration) {
	service := r.Service.Name
	if e.Refusal != nil {
		m.refused(e.Refusal.Kind)
	}
	for _, a := range e.Attempts {
		m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_attempts_total{service=%q,result=%q}", service, a.Result)).Inc()
		if a.Pause.Duration > 0 {
			m.set.GetOrCreateHistogram(fmt.Sprintf("arbutusmill_gateway_longest_pause_seconds{service=%q}", service)).Update(a.Pause.Duration.Seconds())
		}
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutusmill_gateway_used_tokens_total{team=%q}", r.Team)).Add(int(e.Used))
	m.set.GetOrCreateHistogram(fmt.Sprintf("arbutusmill_gateway_request_duration_seconds{service=%q}", service)).Update(took.Seconds())
}
