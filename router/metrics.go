package router

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/arbutusmill/arbutusmill/contract"
)

// routerMetrics are the counters of one router.
type routerMetrics struct {
	set          *metrics.Set
	tokens       *metrics.Counter
	retries      *metrics.Counter
	truncated    *metrics.Counter
	borrowedLots *metrics.Counter
	syncs        *metrics.Counter
	syncErrors   *metrics.Counter
	stranded     *metrics.Counter
	recovered    *metrics.Counter
	forfeited    *metrics.Counter
}

func newMetrics(r *Router) *routerMetrics {
	set := metrics.NewSet()
	set.NewGauge("arbutusmill_router_active_requests", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.active)
	})
	set.NewGauge("arbutusmill_router_lost_requests", func() float64 { return float64(r.lost.size()) })
	set.NewGauge("arbutusmill_router_waiting_charges", func() float64 {
		if !r.initialized.Load() {
			return 0
		}
		return float64(r.outbox.Waiting())
	})
	set.NewGauge("arbutusmill_router_ledger_queue_appends", func() float64 {
		if !r.initialized.Load() {
			return 0
		}
		return float64(r.shards.waiting())
	})
	set.NewGauge("arbutusmill_router_configuration_generation", func() float64 {
		if s := r.current.Load(); s != nil {
			return float64(s.Generation)
		}
		return 0
	})
	return &routerMetrics{
		set:          set,
		tokens:       set.NewCounter("arbutusmill_router_billed_tokens_total"),
		retries:      set.NewCounter("arbutusmill_router_retries_total"),
		truncated:    set.NewCounter("arbutusmill_router_cut_answers_total"),
		borrowedLots: set.NewCounter("arbutusmill_router_borrowed_lots_total"),
		syncs:        set.NewCounter("arbutusmill_router_page_syncs_total"),
		syncErrors:   set.NewCounter("arbutusmill_router_page_sync_errors_total"),
		stranded:     set.NewCounter("arbutusmill_router_stranded_tokens_total"),
		recovered:    set.NewCounter("arbutusmill_router_recovered_tokens_total"),
		forfeited:    set.NewCounter("arbutusmill_router_forfeited_tokens_total"),
	}
}

func (m *routerMetrics) refused(k contract.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`arbutusmill_router_refused_requests_total{kind=%q}`, k)).Inc()
}
