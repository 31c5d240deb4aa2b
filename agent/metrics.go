package agent

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/arbutusmill/arbutusmill/contract"
)

// agentMetrics are the counters of one agent.
type agentMetrics struct {
	set       *metrics.Set
	overrun   *metrics.Counter
	tokens    *metrics.Counter
	truncated *metrics.Counter
}

func newMetrics(a *Agent) *agentMetrics {
	set := metrics.NewSet()
	set.NewGauge("arbutusmill_agent_running_requests", func() float64 { return float64(a.queue.State().Running) })
	set.NewGauge("arbutusmill_agent_waiting_charges", func() float64 { return float64(a.outbox.Waiting()) })
	set.NewGauge("arbutusmill_agent_witness_runs", func() float64 { return float64(a.witness.State().Runs) })
	set.NewGauge("arbutusmill_agent_shed_requests_total", func() float64 { return float64(a.queue.State().Shed) })
	return &agentMetrics{
		set:       set,
		overrun:   set.NewCounter("arbutusmill_agent_engine_overrun_tokens_total"),
		tokens:    set.NewCounter("arbutusmill_agent_billed_tokens_total"),
		truncated: set.NewCounter("arbutusmill_agent_cut_answers_total"),
	}
}

func (m *agentMetrics) refused(k contract.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`arbutusmill_agent_refused_requests_total{kind=%q}`, k)).Inc()
}

func (m *agentMetrics) recordEnd(w contract.Work, o contract.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`arbutusmill_agent_requests_total{class=%q}`, w.Class)).Inc()
	m.tokens.Add(int(o.Used))
	if !o.Complete {
		m.truncated.Inc()
	}
}
