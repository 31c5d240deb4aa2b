package gateway

import (
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/poison"
)

const (
	// maxAnsweredParts limits the parts of one generation of recentAnswers: more than the parts that callers share
	// within minutes. A part that was dropped counts as answered again with its next answer.
	maxAnsweredParts = 4096
	// maxAnsweredPrompts limits the whole prompts likewise: the answers of four minutes at 30 requests per second. A crash
	// before an answer that was dropped counts until the next one.
	maxAnsweredPrompts = 8192
)

// recentAnswers holds the times of the last answers of services through this router, in two generations: when one is full, the
// older one is dropped. It is safe for concurrent use.
type recentAnswers struct {
	// max limits the answers of one generation.
	max int

	mu             sync.Mutex
	current, older map[answerKey]int64 // wall-clock times in milliseconds
}

// answerKey is a prompt, or a part of prompts, that a service answered. Another service may crash under it.
type answerKey struct {
	prompt  poison.Prompt
	service string
}

func (a *recentAnswers) add(prompt poison.Prompt, service string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil || len(a.current) >= a.max {
		a.current, a.older = map[answerKey]int64{}, a.current
	}
	a.current[answerKey{prompt, service}] = now.UnixMilli()
}

// last returns the wall-clock time of the last answer in milliseconds.
func (a *recentAnswers) last(prompt poison.Prompt, service string) (unixMS int64, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := answerKey{prompt, service}
	if unixMS, answered = a.current[key]; !answered {
		unixMS, answered = a.older[key]
	}
	return unixMS, answered
}

func (a *recentAnswers) has(prompt poison.Prompt, service string) bool {
	_, answered := a.last(prompt, service)
	return answered
}

// clearAnswered clears the crashes of a prompt or part that its services answered through this router: those of a part whatever
// their time, those of a prompt before the answer. It reports whether there were any. Other routers may have recorded the crashes when
// this one had no record of them.
func (p *promptGuard) clearAnswered(e poison.Evidence) (cleared bool) {
	for _, c := range e.Crashes {
		if e.Prompt.IsPart() {
			cleared = p.answeredParts.has(e.Prompt, c.Service) && p.clear("", e.Prompt, c.Service) || cleared
			continue
		}
		if at, answered := p.answeredPrompts.last(e.Prompt, c.Service); answered && c.UnixMS < at {
			cleared = p.clearEarlier(e, c.Service, at) || cleared
		}
	}
	return cleared
}

// clearEarlier records an earlier answer to a prompt, sends it to the owner, which distributes it, and reports whether it was new:
// many routers may have answered the prompt.
func (p *promptGuard) clearEarlier(e poison.Evidence, service string, unixMS int64) (isNew bool) {
	now := time.Now()
	answer := poison.Answer{Service: service, Age: now.Sub(time.UnixMilli(unixMS)), UnixMS: unixMS}
	if _, isNew = p.registry.AddAnswer(now, e.Prompt, answer); !isNew {
		return false
	}
	p.log.Info().Str("prompt", string(e.Prompt)).Str("service", service).Int64("answered_ms_ago", answer.Age.Milliseconds()).
		Str("was", e.Standing().String()).Str("evidence", describeEvidence(e)).Msg("prompt_cleared")
	p.trials.notify()
	p.received.add(e.Prompt)
	p.notifyOwner(e.Prompt, true)
	return true
}
