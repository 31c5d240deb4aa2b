package prefill

import "container/list"

// Part is one part of a prompt, in order; requests share leading parts.
type Part struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// TokensOf returns the sum of the parts' tokens.
func TokensOf(parts []Part) int64 {
	var n int64
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// Cache estimates the prompt parts that one engine has cached: the least recently used
// parts are evicted when they don't fit. The zero value is empty.
type Cache struct {
	parts  map[string]*list.Element
	order  *list.List // least recently used first
	tokens int64
}

// Tokens returns the sum of all parts' tokens.
func (c *Cache) Tokens() int64 { return c.tokens }

// Match returns how many leading tokens of a prompt are probably cached. A part counts
// only if all before it are cached.
func (c *Cache) Match(parts []Part) int64 {
	var n int64
	for _, p := range parts {
		if c.parts[p.ID] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}

// Add records that a prompt with these parts was sent to the engine. capacity is that
// of the engine's cache in tokens.
func (c *Cache) Add(parts []Part, capacity int64) {
	if c.parts == nil {
		c.parts, c.order = map[string]*list.Element{}, list.New()
	}
	for _, p := range parts {
		if e := c.parts[p.ID]; e != nil {
			c.order.MoveToBack(e)
			continue
		}
		c.parts[p.ID] = c.order.PushBack(p)
		c.tokens += p.Tokens
	}
	for c.tokens > capacity && c.order.Len() > 0 {
		c.remove(c.order.Front())
	}
}

// Forget removes parts that were not sent in the end.
func (c *Cache) Forget(parts []Part) {
	for _, p := range parts {
		if e := c.parts[p.ID]; e != nil {
			c.remove(e)
		}
	}
}

func (c *Cache) remove(e *list.Element) {
	p := c.order.Remove(e).(Part)
	delete(c.parts, p.ID)
	c.tokens -= p.Tokens
}
