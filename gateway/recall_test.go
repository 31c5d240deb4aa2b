package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// queueingEngine is an engine that queues a crashing prompt for startDelay and then crashes. It
// drops the prompt if its caller disconnects before.
type queueingEngine struct {
	*fragileEngine
	startDelay time.Duration
	received   atomic.Bool
}

// ServeHTTP implements http.Handler.
func (e *queueingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.Header.Get(standin.HeaderParts), crashingPart) {
		e.Upstream.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a server detects a disconnected caller only after that
	e.received.Store(true)
	timer := time.NewTimer(e.startDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		e.crash()
	case <-r.Context().Done():
	}
}

// Guards against engines that crash under a prompt which is still queued there after three others
// have crashed under it.
func TestWaitingPromptIsRecalled(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		const prompts, step = 6, 800 * time.Millisecond
		engines := f.startFragileEngines(prompts)
		var queueing []*queueingEngine
		for _, e := range engines {
			q := &queueingEngine{fragileEngine: e, startDelay: prompts * step}
			e.server.Handler = q
			queueing = append(queueing, q)
		}
		f.startRouters(prompts)
		var wg sync.WaitGroup
		for vm := 1; vm <= prompts; vm++ {
			wg.Go(func() {
				req := crashingPrompt(fmt.Sprint("d-", vm), vm)
				req.path = "/chat/x" // has a single attempt
				resp := f.send(req)
				require.Contains(t, []int{http.StatusUnprocessableEntity, http.StatusBadGateway}, resp.status, resp.body)
			})
			time.Sleep(step / 8)
			for n, q := range queueing { // the next prompt goes to another engine
				if q.received.Load() {
					f.register(fmt.Sprint("i-", n+1), "model", "draining")
				}
			}
			time.Sleep(step * 7 / 8)
		}
		wg.Wait()
		time.Sleep(prompts * step)
		received := 0
		for _, q := range queueing {
			if q.received.Load() {
				received++
			}
		}
		require.Equal(t, prompts, received, "each waits at a different engine")
		require.Equal(t, 3, countCrashed(engines))
	})
}

// Guards against streams that are interrupted since other upstreams crashed under their prompt: an
// answer shows that the prompt does not cause the crashes.
func TestPromptThatIsAnsweredIsNotRecalled(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		slow := f.upstream("i-20", "model", 60)
		slow.Pause = 50 * time.Millisecond
		f.startRouters(4)
		common := func(id string, vm int) request {
			req := chat(id)
			req.vm, req.parts = vm, "common:1000"
			return req
		}
		answered := make(chan response)
		go func() { answered <- f.send(common("slow", 4)) }()
		time.Sleep(200 * time.Millisecond)
		f.register("i-20", "model", "draining")
		engines := f.startFragileEngines(6)
		time.Sleep(500 * time.Millisecond)
		f.crashThreeDuring(engines, common)
		resp := <-answered
		require.Equal(t, 200, resp.status)
		require.False(t, resp.truncated)
		require.Equal(t, events(60), resp.body)
	})
}
