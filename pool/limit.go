package pool

import "github.com/arbutusmill/arbutusmill/directory"

// LimitReporter hears of the limits that upstreams name. It must not block.
type LimitReporter interface {
	// LimitChanged is called when an upstream names another limit than before, in requests a second;
	// 0 is none.
	LimitChanged(life directory.Life, was, now float64)
	// LimitUnreadable is called for each limit that cannot be read. What was named before holds.
	LimitUnreadable(life directory.Life, err error)
}

// limitNamed notes the limit that an answer names.
func (p *Pool) limitNamed(life directory.Life, perSecond float64, err error) {
	if err != nil {
		if p.Limits != nil {
			p.Limits.LimitUnreadable(life, err)
		}
		return
	}
	p.mu.Lock()
	s := p.stateLocked(life)
	was := s.limit
	s.limit = perSecond
	p.mu.Unlock()
	if was != perSecond && p.Limits != nil {
		p.Limits.LimitChanged(life, was, perSecond)
	}
}
