package pool

import (
	"time"

	"github.com/arbutusmill/arbutusmill/serving"
)

// recordStatement records that an upstream says it leaves, or wants to rest. A later answer does not take back
// either, and rest is only ever extended: answers overtake each other.
func (p *Pool) recordStatement(att *attempt, said serving.Statement) {
	if !said.Leaving && said.Rest <= 0 && said.Invalid == nil {
		return
	}
	p.mu.Lock()
	s := p.stateLocked(att.upstream)
	until := p.Now().Add(said.Rest)
	isNew := said.Leaving && !s.saysLeaving || said.Rest > 0 && until.After(s.restUntil)
	if said.Invalid != nil {
		isNew = isNew || s.invalid != said.Invalid.Error()
		s.invalid = said.Invalid.Error()
	}
	s.saysLeaving = s.saysLeaving || said.Leaving
	if said.Rest > 0 && until.After(s.restUntil) {
		s.restUntil = until
	}
	p.mu.Unlock()
	if said.Leaving {
		p.Directory.SaysLeaving(att.upstream)
	}
	if isNew && p.OnStatement != nil {
		p.OnStatement(att.upstream, att.request, said)
	}
}

// rests returns how much longer an upstream wants nothing from this router, 0 if it takes requests.
func (s *state) rests(now time.Time) time.Duration { return max(0, s.restUntil.Sub(now)) }
