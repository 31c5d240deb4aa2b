package soak

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// delaySampleInterval is the interval at which the scheduling delay of the test process is sampled.
const delaySampleInterval = 5 * time.Millisecond

// probeRecorder records the probes of one router, to tell a router that does not answer from connections
// that are not accepted and from a test process that gets no processor time.
type probeRecorder struct {
	mu sync.Mutex
	// connectTime is the time that the current probe needed to connect, and connected whether it did.
	connectTime time.Duration
	connected   bool
	// maxDelay is the largest scheduling delay since the last probe ended.
	maxDelay time.Duration
	all      []string
}

// start begins to sample the scheduling delay until stop is called.
func (r *probeRecorder) start() (stop func()) {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			began := time.Now()
			time.Sleep(delaySampleInterval)
			r.mu.Lock()
			r.maxDelay = max(r.maxDelay, time.Since(began)-delaySampleInterval)
			r.mu.Unlock()
		}
	}()
	return stop
}

// dial opens the connection of a probe.
func (r *probeRecorder) dial(ctx context.Context, network, address string) (net.Conn, error) {
	began := time.Now()
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connectTime, r.connected = time.Since(began), err == nil
	return conn, err
}

// record records a probe that has ended.
func (r *probeRecorder) record(o outcome) {
	took := time.Since(o.startedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	connected := "not connected"
	if r.connected {
		connected = "connected after " + r.connectTime.String()
	}
	r.all = append(r.all, fmt.Sprintf("%s /%s/ %s: %s, status %d, %v, took %s, scheduling delay up to %s",
		o.startedAt.Format("05.000"), o.route, o.id, connected, o.status, o.err, took, r.maxDelay))
	r.connected, r.maxDelay = false, 0
}

// reset begins with another router.
func (r *probeRecorder) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = nil
}

// lines returns a line for each probe since reset.
func (r *probeRecorder) lines() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.all, "\n")
}
