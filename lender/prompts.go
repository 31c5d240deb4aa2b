package lender

import (
	"context"
	"time"

	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/poison"
)

// lapsePause is the pause between two looks for prompts whose time is over.
const lapsePause = time.Second

// keepPrompts takes what routers know of prompts that end upstreams. It outlives them here when
// they all start anew.
func (l *Lender) keepPrompts(_ context.Context, in link.PromptKeep) ([]poison.Evidence, error) {
	now := time.Now()
	for _, a := range in.Answered {
		l.prompts.Answered(now, a.Prompt, a.Service)
	}
	kept := make([]poison.Evidence, 0, len(in.Known))
	news := 0
	for _, e := range in.Known {
		all, isNew := l.prompts.Add(now, e)
		kept = append(kept, all)
		if isNew {
			news++
		}
	}
	l.Log.Info().Int("prompts", len(in.Known)).Int("news", news).Int("answered", len(in.Answered)).Msg("prompts_kept")
	return kept, nil
}

// listPrompts tells a router that has just started.
func (l *Lender) listPrompts(context.Context, link.Empty) ([]poison.Evidence, error) {
	return l.prompts.List(time.Now()), nil
}

// lapsePrompts forgets prompts whose time is over.
func (l *Lender) lapsePrompts(context.Context) {
	for _, lapsed := range l.prompts.Lapse(time.Now()) {
		l.Log.Info().Str("prompt", string(lapsed.Prompt)).Stringer("was", lapsed.Was).Stringer("standing", lapsed.Now).Msg("prompt_lapsed")
	}
}
