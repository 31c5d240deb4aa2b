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

// queueingEngine is an engine that begins to run a deadly prompt some time after it came, and ends
// then. One whose caller has left is dropped before that.
type queueingEngine struct {
	*fragileEngine
	begins time.Duration
	came   atomic.Bool
}

// ServeHTTP implements http.Handler.
func (e *queueingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.Header.Get(standin.HeaderParts), deadlyPart) {
		e.Upstream.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a server sees its caller leave only after that
	e.came.Store(true)
	begins := time.NewTimer(e.begins)
	defer begins.Stop()
	select {
	case <-begins.C:
		e.end()
	case <-r.Context().Done():
	}
}

// Guards against engines that end under a prompt which waits there while three others end under it.
func TestWaitingPromptIsRecalled(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		const prompts, step = 6, 800 * time.Millisecond
		engines := f.fragile(prompts)
		var queues []*queueingEngine
		for _, e := range engines {
			q := &queueingEngine{fragileEngine: e, begins: prompts * step}
			e.server.Handler = q
			queues = append(queues, q)
		}
		f.routers(prompts)
		var wg sync.WaitGroup
		for vm := 1; vm <= prompts; vm++ {
			wg.Go(func() {
				q := deadly(fmt.Sprint("d-", vm), vm)
				q.path = "/chat/x" // it is sent to one upstream
				a := f.ask(q)
				require.Contains(t, []int{http.StatusUnprocessableEntity, http.StatusBadGateway}, a.status, a.body)
			})
			time.Sleep(step / 8)
			for n, q := range queues { // the next one goes to another engine
				if q.came.Load() {
					f.register(fmt.Sprint("i-", n+1), "model", "draining")
				}
			}
			time.Sleep(step * 7 / 8)
		}
		wg.Wait()
		time.Sleep(prompts * step)
		came := 0
		for _, q := range queues {
			if q.came.Load() {
				came++
			}
		}
		require.Equal(t, prompts, came, "each waits at an engine of its own")
		require.Equal(t, 3, endedOf(engines))
	})
}

// Guards against streams that are cut since other upstreams ended under their prompt: whoever gets an
// answer shows that the prompt is not to blame.
func TestPromptThatIsAnsweredIsNotRecalled(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		slow := f.upstream("i-20", "model", 60)
		slow.Pause = 50 * time.Millisecond
		f.routers(4)
		common := func(id string, vm int) question {
			q := chat(id)
			q.vm, q.parts = vm, "common:1000"
			return q
		}
		answered := make(chan answer)
		go func() { answered <- f.ask(common("slow", 4)) }()
		time.Sleep(200 * time.Millisecond)
		f.register("i-20", "model", "draining")
		engines := f.fragile(6)
		time.Sleep(500 * time.Millisecond)
		f.crashThreeUnder(engines, common)
		a := <-answered
		require.Equal(t, 200, a.status)
		require.False(t, a.cut)
		require.Equal(t, events(60), a.body)
	})
}
