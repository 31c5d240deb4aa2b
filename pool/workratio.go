package pool

import (
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/warmup"
)

// workRatio estimates this router's share of the work of all routers, without a message of its own: each lender's
// reply to an announcement has the number of prompts that its engine got from all routers. It is safe for concurrent
// use.
type workRatio struct {
	mu sync.Mutex
	// own counts the prompts that this router sent in the last second.
	own warmup.Window
	// perEngine is the moving average of the prompts that one engine got in a second, as of updatedAt.
	perEngine float64
	updatedAt time.Time
}

const (
	// workWeight is the weight of one reply in the average of the prompts per engine.
	workWeight = 0.1
	// minWorkPrompts is the number of own prompts in the last second below which the ratio is unknown.
	minWorkPrompts = 10
	// workReplyTTL is how long the average is used without a reply: the lenders' replies are late while a router is
	// behind, and the work of the whole fleet changes slowly.
	workReplyTTL = 5 * time.Second
)

// record records that a prompt was sent to an engine that got this many prompts in the last second; 0 is unknown.
func (w *workRatio) record(now time.Time, enginePrompts int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.own.Count(now)
	if enginePrompts == 0 {
		return
	}
	if w.updatedAt.IsZero() {
		w.perEngine = float64(enginePrompts)
	}
	w.perEngine += workWeight * (float64(enginePrompts) - w.perEngine)
	w.updatedAt = now
}

// value returns the number of this router's prompts relative to the mean of all routers; 0 is unknown.
func (w *workRatio) value(now time.Time, engines, routers int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	own := w.own.Len(now)
	if own < minWorkPrompts || now.Sub(w.updatedAt) > workReplyTTL {
		return 0
	}
	all := max(w.perEngine*float64(engines), float64(own))
	return float64(own) * float64(routers) / all
}

// WorkRatio returns the number of prompts that this router sent in the last second, relative to the mean of all
// routers; 0 is unknown.
func (p *Pool) WorkRatio() float64 {
	engines := 0
	for _, u := range p.Directory.All() {
		if p.HasLender != nil && p.HasLender(u.Address) {
			engines++
		}
	}
	return p.work.value(p.Now(), engines, p.Routers())
}
