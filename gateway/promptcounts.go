package gateway

import (
	"sync"

	"github.com/arbutusmill/arbutusmill/poison"
)

// promptCounts counts something by prompt. The zero value is empty; it is safe for concurrent use.
type promptCounts struct {
	mu     sync.Mutex
	counts map[poison.Prompt]int
}

// add changes the count of a prompt.
func (c *promptCounts) add(p poison.Prompt, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[poison.Prompt]int{}
	}
	if c.counts[p] += n; c.counts[p] == 0 {
		delete(c.counts, p)
	}
}

// has reports whether the count of a prompt is above zero.
func (c *promptCounts) has(p poison.Prompt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[p] > 0
}

// none reports whether all counts are zero.
func (c *promptCounts) none() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.counts) == 0
}
