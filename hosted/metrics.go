package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/link"
)

// recordStoreCall counts a call of the store and its duration, which includes the wait of a watch
// call.
func (b *Base) recordStoreCall(call string, took time.Duration, err error) {
	b.Metrics.GetOrCreateCounter(fmt.Sprintf("arbutusmill_store_calls_total{call=%q,result=%q}", call, storeResult(err))).Inc()
	b.Metrics.GetOrCreateHistogram(fmt.Sprintf("arbutusmill_store_call_duration_seconds{call=%q}", call)).Update(took.Seconds())
	b.RecordTooLong("store", err)
}

// storeResult returns the result label of a call.
func storeResult(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, store.ErrUnavailable):
		return "refused"
	case errors.Is(err, store.ErrUnknown):
		return "unknown"
	}
	return "failed"
}

// instrumented returns a handler that also counts a method's messages and their duration.
func (b *Base) instrumented(method string, h link.Handler) link.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		began := time.Now()
		out, err := h(ctx, params)
		result := "answered"
		if err != nil {
			result = "refused"
		}
		b.Metrics.GetOrCreateCounter(fmt.Sprintf("arbutusmill_link_messages_total{method=%q,result=%q}", method, result)).Inc()
		b.Metrics.GetOrCreateHistogram(fmt.Sprintf("arbutusmill_link_message_duration_seconds{method=%q}", method)).Update(time.Since(began).Seconds())
		return out, err
	}
}

// RecordReload counts a reload of the settings file.
func (b *Base) RecordReload(result string) {
	b.Metrics.GetOrCreateCounter(fmt.Sprintf("arbutusmill_reloads_total{result=%q}", result)).Inc()
}

// newMetrics returns the metrics that routers and lenders have in common.
func (b *Base) newMetrics(dropped func() uint64) *metrics.Set {
	m := metrics.NewSet()
	m.NewGauge("arbutusmill_dropped_log_lines_total", func() float64 { return float64(dropped()) })
	m.NewGauge("arbutusmill_members", func() float64 { return float64(len(b.Members.Members())) })
	m.NewGauge("arbutusmill_relay_followers", func() float64 { return float64(b.Hub.State().Waiting) })
	m.NewGauge("arbutusmill_followed_age_seconds", func() float64 { return b.FollowedAge().Seconds() })
	m.NewGauge("arbutusmill_store_era", func() float64 { return float64(b.Store.Era()) })
	return m
}

// FollowedAge returns the age of this process's view of the store's keys, 0 before the first reply.
func (b *Base) FollowedAge() time.Duration {
	s := b.Follower.State()
	if s.LastReply.IsZero() {
		return 0
	}
	return time.Since(s.LastReply) + s.Age
}

// EraChanged implements platform.EraReporter.
func (b *Base) EraChanged(from, to store.Era, first bool, call string) {
	b.Log.Info().Int64("from", int64(from)).Int64("era", int64(to)).Bool("first", first).Str("call", call).Msg("store_era")
	if first {
		return
	}
	b.Budgets.EraChanged(to)
	if b.onRestored != nil {
		b.onRestored()
	}
}

// EraInvalid implements platform.EraReporter. It logs the first problem of each call and counts all of them.
func (b *Base) EraInvalid(problem, call string) {
	b.Metrics.GetOrCreateCounter("arbutusmill_store_era_invalid_total").Inc()
	if _, logged := b.eraProblems.LoadOrStore(call, true); !logged {
		b.Log.Error().Str("problem", problem).Str("call", call).Msg("store_era_invalid")
	}
}
