package pool

import (
	"container/list"

	"github.com/arbutusmill/arbutusmill/serving"
)

// cacheShare is the part of an engine's memory that is believed to hold cached parts
// of this router's requests. The rest is for running requests and for what other
// routers send; to believe too much costs a prompt read again, to believe too little
// scatters requests.
const cacheShare = 0.5

// cache is a guess at the prompt parts that one engine keeps: those that were sent to
// it last, as many as fit.
type cache struct {
	parts  map[string]*list.Element
	order  *list.List // the least recently used first
	tokens int64
}

// match returns how many leading tokens of a prompt are believed cached. A part counts
// only if all before it do.
func (c *cache) match(parts []serving.Part) int64 {
	var n int64
	for _, p := range parts {
		if c.parts[p.ID] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}

// add notes that a prompt with these parts was sent to the engine.
func (c *cache) add(parts []serving.Part, capacity int64) {
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
	for c.tokens > int64(cacheShare*float64(capacity)) && c.order.Len() > 0 {
		c.drop()
	}
}

func (c *cache) drop() {
	e := c.order.Front()
	p := c.order.Remove(e).(serving.Part)
	delete(c.parts, p.ID)
	c.tokens -= p.Tokens
}
