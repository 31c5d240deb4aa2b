package lender

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/prefill"
)

// mostSilent is the number of questions in a row that the upstream may leave unanswered
// before it counts as gone: one may be lost to a moment of load.
const mostSilent = 2

// neighbour follows the upstream on the lender's VM. A VM is taken away with its upstream,
// often without a signal to the other processes on it, and what a lender holds at that
// moment is lost. So a lender is home to budgets only while its upstream serves: it steps
// aside when the upstream says that it leaves, or says nothing, and gives its tokens back.
type neighbour struct {
	address string
	timeout time.Duration
	client  *http.Client
	silent  int
	fit     bool
}

// ask asks once, and reports whether the lender should be a home, whether that changed,
// and why.
func (n *neighbour) ask(ctx context.Context) (r platform.Report, fit, changed bool, why string) {
	ctx, cancel := context.WithTimeout(ctx, n.timeout)
	defer cancel()
	r, err := platform.ReadReport(ctx, n.client, n.address)
	fit, why = n.judge(r, err)
	changed = fit != n.fit
	n.fit = fit
	return r, fit, changed, why
}

// judge decides by the newest answer.
func (n *neighbour) judge(r platform.Report, err error) (fit bool, why string) {
	if errors.Is(err, platform.ErrNoReport) {
		n.silent = 0
		return true, err.Error() // it answers, which is all that can be known
	}
	if err != nil {
		n.silent++
		return n.fit && n.silent < mostSilent, err.Error()
	}
	n.silent = 0
	return !r.Leaving, "state " + r.State
}

// followUpstream asks once and steps aside or comes back.
func (l *Lender) followUpstream(ctx context.Context) {
	r, fit, changed, why := l.upstream.ask(ctx)
	if room := r.MemoryTokens - r.HeldTokens; room > 0 {
		l.engine.SetRoom(room)
	}
	if changed {
		l.engine.Restarted(l.cachedBeside(ctx, fit))
		l.Log.Info().Bool("home", fit).Str("why", why).Msg("upstream_beside")
	}
	l.Members.StepAside(!fit || l.stopping.Load())
}

// cachedBeside is what the upstream has cached when this process begins to hear of prompts:
// after all processes were lost at once, upstreams still keep what they had read. It is asked
// once, since the answer delays the upstream.
func (l *Lender) cachedBeside(ctx context.Context, fit bool) []prefill.Part {
	if !fit {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.upstream.timeout)
	defer cancel()
	parts, err := platform.ReadCache(ctx, l.upstream.client, l.upstream.address)
	if err != nil {
		l.Log.Warn().Err(err).Msg("cache_not_read") // prompts are taken for unread
		return nil
	}
	return parts
}
