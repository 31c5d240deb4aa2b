package prefill

import "container/list"

// Part is one part of a prompt, in order; requests share leading parts.
type Part struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// TokensOf is the sum of parts.
func TokensOf(parts []Part) int64 {
	var n int64
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// Cache is a guess at the prompt parts that one engine keeps: those that were sent to
// it last, as many as fit. The zero value is empty.
type Cache struct {
	parts  map[string]*list.Element
	order  *list.List // the least recently used first
	tokens int64
}

// Tokens is the sum of all parts.
func (c *Cache) Tokens() int64 { return c.tokens }

// Match returns how many leading tokens of a prompt are believed cached. A part counts
// only if all before it do.
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

// Add notes that a prompt with these parts was sent to the engine, whose memory has room
// for that many tokens of cached parts.
func (c *Cache) Add(parts []Part, room int64) {
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
	for c.tokens > room && c.order.Len() > 0 {
		c.remove(c.order.Front())
	}
}

// Forget removes parts that were not sent after all.
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
