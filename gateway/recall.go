package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/serving"
)

// sends are the prompts that this router has at upstreams and whose answers have not begun. They wait
// there, or are being read, and would end one more upstream each if their prompt is to blame.
type sends struct {
	mu  sync.Mutex
	all map[poison.Prompt]map[*send]struct{}
}

// send is one of them.
type send struct {
	request *serving.Request
	prompt  poison.Prompt
	cancel  context.CancelCauseFunc
	left    atomic.Bool
}

func (s *sends) add(one *send) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[poison.Prompt]map[*send]struct{}{}
	}
	if s.all[one.prompt] == nil {
		s.all[one.prompt] = map[*send]struct{}{}
	}
	s.all[one.prompt][one] = struct{}{}
}

// remove is called for each event of an answer, and does something once.
func (s *sends) remove(one *send) {
	if one.left.Swap(true) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all[one.prompt], one)
	if len(s.all[one.prompt]) == 0 {
		delete(s.all, one.prompt)
	}
}

// of are the sends of a prompt.
func (s *sends) of(prompt poison.Prompt) (out []*send) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for one := range s.all[prompt] {
		out = append(out, one)
	}
	return out
}

// TrackSend implements serving.Poison. Requests without parts are not recalled: they are short.
func (p *promptGuard) TrackSend(ctx context.Context, r *serving.Request) (sending context.Context, began, done func()) {
	if len(r.Parts) == 0 {
		return ctx, func() {}, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	one := &send{request: r, prompt: poison.Identify(r), cancel: cancel}
	p.sends.add(one)
	began = func() { p.sends.remove(one) }
	return ctx, began, func() {
		p.sends.remove(one)
		cancel(nil)
	}
}

// add takes evidence in, and recalls the sends of a prompt that is proven now.
func (p *promptGuard) add(e poison.Evidence) (all poison.Evidence, news bool) {
	all, news = p.register.Add(time.Now(), e)
	if !news || all.Standing() < poison.Proven {
		return all, news
	}
	for _, one := range p.sends.of(all.Prompt) {
		if all.ForService(one.request.Service.Name).Standing() < poison.Proven {
			continue
		}
		p.metrics.recalled(one.request.Service.Name)
		p.log.Warn().Str("id", one.request.ID).Str("prompt", string(all.Prompt)).Str("evidence", describe(all)).Msg("prompt_recalled")
		one.cancel(serving.ErrRecalled)
	}
	return all, news
}
