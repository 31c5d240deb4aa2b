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

// maxMissedReports is the number of consecutive polls without an answer from which the upstream
// counts as gone: a short load peak may cost one answer.
const maxMissedReports = 2

// errRestarted is returned if the upstream restarted between its report and its cache list.
var errRestarted = errors.New("the upstream restarted before it listed its cache")

// upstreamMonitor polls the upstream on the lender's VM. A VM is removed with its upstream, often
// without a signal to the other processes on it, and the tokens that a lender holds at that
// moment are lost. So a lender is a primary of budgets only while its upstream serves: it
// withdraws when the upstream reports that it is leaving or does not answer, and returns its
// tokens.
type upstreamMonitor struct {
	address  string
	timeout  time.Duration
	client   *http.Client
	missed   int
	eligible bool
	// startedAt is the upstream's start time by its last answer; answered is set if there was one.
	startedAt int64
	answered  bool
	// leaving is set if the upstream said in its last answer that it leaves.
	leaving bool
}

// observation is the result of one poll of the upstream.
type observation struct {
	report platform.Report
	// eligible is set if the lender may be a primary, changed if this differs from the previous
	// poll; reason explains it.
	eligible, changed bool
	reason            string
	// err is the error of the poll.
	err error
	// restarted is set if another incarnation of the upstream answers at the address.
	restarted bool
}

// poll requests one report from the upstream.
func (m *upstreamMonitor) poll(ctx context.Context) observation {
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	r, err := platform.ReadReport(ctx, m.client, m.address)
	return m.observe(r, err)
}

// observe records the result of a poll. An upstream may crash and restart between two polls, so
// that no poll fails; the changed start time then reveals it.
func (m *upstreamMonitor) observe(r platform.Report, err error) observation {
	eligible, reason := m.assess(r, err)
	out := observation{report: r, eligible: eligible, changed: eligible != m.eligible, reason: reason, err: err}
	m.eligible = eligible
	if err == nil {
		m.leaving = r.SaysLeaving
		out.restarted = m.answered && r.StartUnixMS != m.startedAt
		m.answered, m.startedAt = true, r.StartUnixMS
	}
	return out
}

// assess decides from the newest result whether the lender may be a primary.
func (m *upstreamMonitor) assess(r platform.Report, err error) (eligible bool, reason string) {
	if errors.Is(err, platform.ErrNoReport) {
		m.missed = 0
		return true, err.Error() // it answers but sends no reports
	}
	if err != nil {
		m.missed++
		return m.eligible && m.missed < maxMissedReports, err.Error()
	}
	m.missed = 0
	return !r.Leaving, "state " + r.State
}

// monitorUpstream polls the upstream until the context ends, and starts with no delay: when all
// processes restart together, routers request tokens within milliseconds, and each one that finds
// no lender takes tokens from the store and keeps a row there. With a first poll half a second late,
// 98 of 103 routers did so, and their calls were a third of all calls of the store on that day.
func (l *Lender) monitorUpstream(ctx context.Context) {
	for ctx.Err() == nil {
		l.pollUpstream(ctx)
		_ = backoff.Sleep(ctx, time.Duration(l.settings.Upstream.Interval)) // returns early only when the context ends
	}
}

// pollUpstream polls the upstream once and withdraws this process or ends its withdrawal.
func (l *Lender) pollUpstream(ctx context.Context) {
	o := l.upstream.poll(ctx)
	l.RecordTooLong("upstream", o.err)
	if capacity := o.report.MemoryTokens - o.report.HeldTokens; capacity > 0 {
		l.engine.SetCacheCapacity(capacity)
	}
	if o.changed || o.restarted {
		parts, read := l.readUpstreamCache(ctx, o)
		l.engine.Reset(l.upstream.startedAt, parts)
		if read && len(parts) == 0 && o.report.Requests == 0 {
			l.engine.MarkUnused()
		}
		l.Log.Info().Bool("home", o.eligible).Str("why", o.reason).Int64("born", l.upstream.startedAt).Bool("restarted", o.restarted).
			Msg("upstream_beside")
	}
	l.engine.SetLeaving(l.upstream.leaving)
	l.Members.SetWithdrawn(!o.eligible || l.stopping.Load())
}

// readUpstreamCache returns what the upstream has cached when this process starts to receive
// announcements: after a loss of all processes, upstreams still have their caches. It is read
// once, since listing the cache delays the upstream, and not from an upstream that just started.
func (l *Lender) readUpstreamCache(ctx context.Context, o observation) (parts []prefill.Part, read bool) {
	if !o.eligible || o.restarted {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, l.upstream.timeout)
	defer cancel()
	list, err := platform.ReadCache(ctx, l.upstream.client, l.upstream.address)
	if err == nil && list.StartUnixMS != l.upstream.startedAt {
		err = errRestarted
	}
	if err != nil {
		l.RecordTooLong("upstream", err)
		l.Log.Warn().Err(err).Msg("cache_not_read") // prompts are treated as not cached
		return nil, false
	}
	return list.Parts, true
}
