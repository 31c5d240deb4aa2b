package lender

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/prefill"
)

// mostSilent is the number of questions in a row that the upstream may leave unanswered
// before it counts as gone: one may be lost to a moment of load.
const mostSilent = 2

// errRestarted says that the upstream started again between its report and its list.
var errRestarted = errors.New("the upstream has started again meanwhile")

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
	// born is when the upstream started, by its last answer; answered says that there was one.
	born     int64
	answered bool
}

// news is what one question to the upstream brought.
type news struct {
	report platform.Report
	// fit says that the lender should be a home; changed, that this has changed, and why.
	fit, changed bool
	why          string
	// restarted says that the upstream is a new one under the address.
	restarted bool
}

// ask asks once.
func (n *neighbour) ask(ctx context.Context) news {
	ctx, cancel := context.WithTimeout(ctx, n.timeout)
	defer cancel()
	r, err := platform.ReadReport(ctx, n.client, n.address)
	return n.take(r, err)
}

// take notes an answer. An upstream may crash and start again between two questions, so that
// none of them stays without an answer; its start then tells.
func (n *neighbour) take(r platform.Report, err error) news {
	fit, why := n.judge(r, err)
	out := news{report: r, fit: fit, changed: fit != n.fit, why: why}
	n.fit = fit
	if err == nil {
		out.restarted = n.answered && r.Born != n.born
		n.answered, n.born = true, r.Born
	}
	return out
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

// followUpstream asks the upstream again and again until the context ends, at once for the first
// time: when all processes come back together, routers ask for tokens within milliseconds, and
// each one that finds no lender takes tokens from the store and keeps a row there. Of 103 routers
// 98 did so while the first question came half a second late, and made a third of all the calls
// of the store that day.
func (l *Lender) followUpstream(ctx context.Context) {
	for ctx.Err() == nil {
		l.askUpstream(ctx)
		_ = backoff.Sleep(ctx, time.Duration(l.settings.Upstream.Interval)) // ends early only with the context
	}
}

// askUpstream asks once and steps aside or comes back.
func (l *Lender) askUpstream(ctx context.Context) {
	n := l.upstream.ask(ctx)
	if room := n.report.MemoryTokens - n.report.HeldTokens; room > 0 {
		l.engine.SetCacheCapacity(room)
	}
	if n.changed || n.restarted {
		parts, read := l.cachedBeside(ctx, n)
		l.engine.Reset(l.upstream.born, parts)
		if read && len(parts) == 0 && n.report.Requests == 0 {
			l.engine.MarkUnused()
		}
		l.Log.Info().Bool("home", n.fit).Str("why", n.why).Int64("born", l.upstream.born).Bool("restarted", n.restarted).
			Msg("upstream_beside")
	}
	l.Members.SetWithdrawn(!n.fit || l.stopping.Load())
}

// cachedBeside is what the upstream has cached when this process begins to hear of prompts:
// after all processes were lost at once, upstreams still keep what they had read. It is asked
// once, since the answer delays the upstream, and not at all of one that has just started.
func (l *Lender) cachedBeside(ctx context.Context, n news) (parts []prefill.Part, read bool) {
	if !n.fit || n.restarted {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, l.upstream.timeout)
	defer cancel()
	list, err := platform.ReadCache(ctx, l.upstream.client, l.upstream.address)
	if err == nil && list.Born != l.upstream.born {
		err = errRestarted
	}
	if err != nil {
		l.Log.Warn().Err(err).Msg("cache_not_read") // prompts are taken for unread
		return nil, false
	}
	return list.Parts, true
}
