package observe

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Admin is the HTTP interface for operators and the balancer.
type Admin struct {
	// Metrics is the process's metric set.
	Metrics *metrics.Set
	// Dump returns the state of the process for /debug/dump.
	Dump func() any

	ready atomic.Bool
}

// SetReady sets the state that /readyz reports.
func (a *Admin) SetReady(ready bool) { a.ready.Store(ready) }

// Ready returns the state that /readyz reports.
func (a *Admin) Ready() bool { return a.ready.Load() }

// Handler returns the HTTP interface:
//
//	GET /healthz     200 while the process runs
//	GET /readyz      200 while it accepts new work, else 503
//	GET /metrics     Prometheus text
//	GET /debug/dump  the state of the process as JSON
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", a.readyz)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		a.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /debug/dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		_ = enc.Encode(a.Dump())
	})
	return mux
}

func (a *Admin) readyz(w http.ResponseWriter, _ *http.Request) {
	if !a.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
