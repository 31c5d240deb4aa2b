package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
)

const (
	// patience and maxPatience bound how much longer than its wait an answer may take before the next
	// source is polled too. Within them that is twice the delay of recent answers, so that
	// a process whose link or processor is behind does not poll further sources each time. It is less, but
	// at least shortPatience, if the store's answer to the source that is followed is due before.
	patience      = 400 * time.Millisecond
	shortPatience = 150 * time.Millisecond
	maxPatience   = 500 * time.Millisecond
	// readPatience is how long a follower that has a copy waits for a relay that has just begun to read
	// the store before it polls the next source too, unless the copy would become too old. When a fleet chooses
	// other relays, all followers wait for these reads.
	readPatience = time.Second
	// overduePatience is how long a follower waits for a relay to which the store's answer is overdue before it
	// follows the store itself.
	overduePatience = 300 * time.Millisecond
	// delayStep is by how much the assumed delay of a process to which no source answers grows with each attempt.
	delayStep = 250 * time.Millisecond
	// lostCooldown is how long a source that lost the store is not polled while another source
	// still follows it.
	lostCooldown = time.Second
	// minCooldown and maxCooldown bound how long a source that did not answer is not polled; the
	// pause doubles with each failure while another source answers.
	minCooldown = time.Second
	maxCooldown = 8 * time.Second
)

// sourceState is what a follower knows of a source.
type sourceState struct {
	// poll is the poll whose answer is outstanding, nil if there is none.
	poll *poll
	// notBefore is the end of the cooldown.
	notBefore time.Time
	failures  int
	// unusable counts how often in a row the source was not usable.
	unusable int
	// storeLost is set if the source answered, but has lost the store.
	storeLost bool
	// dueAt is when the store's answer to the source is overdue, zero if that is not known. overdue is set if
	// it was when the source answered last.
	dueAt   time.Time
	overdue bool
	// unreadSince is when the source first answered that it has not read the store yet, zero if it has.
	unreadSince time.Time
}

func (s *sourceState) markAnswered(now time.Time, r Reply) {
	*s = sourceState{}
	if due, known := r.due(); known {
		s.dueAt, s.overdue = now.Add(due), due < 0
	}
}

func (s *sourceState) markUnread(now time.Time) {
	since := s.unreadSince
	if since.IsZero() {
		since = now
	}
	*s = sourceState{unreadSince: since}
}

func (s *sourceState) markStoreLost(now time.Time) {
	*s = sourceState{storeLost: true, notBefore: now.Add(lostCooldown)}
}

func (s *sourceState) markUnusable(now time.Time) {
	*s = sourceState{notBefore: now.Add(minCooldown), unusable: s.unusable + 1}
}

// markFailed starts the cooldown after a failed poll. It grows only while another source answers.
func (s *sourceState) markFailed(now time.Time, otherAnswers bool) {
	pause := minCooldown
	if otherAnswers {
		pause = min(maxCooldown, minCooldown<<min(s.failures, 8))
	}
	*s = sourceState{failures: s.failures + 1, notBefore: now.Add(backoff.Jitter(pause))}
}

// poll is one request to a source.
type poll struct {
	source Source
	asked  asked
	wait   time.Duration
	sent   time.Time
	// patientUntil is when the next source is polled too.
	patientUntil time.Time
	// delay is the process's own delay; see Source.Usable.
	delay  time.Duration
	cancel context.CancelFunc
}

// pollResult is the outcome of a poll.
type pollResult struct {
	poll  *poll
	reply Reply
	err   error
}

// startPolls polls the sources in order until it reaches one whose answer is worth waiting for, and returns
// when to look again if no answer arrives before. A source that does not answer, or whose store does not, thus
// delays changes by the patience with it, whatever the sources before and after it do: the polls run at
// the same time.
func (f *Follower) startPolls(ctx context.Context, polls *sync.WaitGroup, sources []Source) (wake time.Time) {
	f.forgetUnlisted(sources)
	now := f.Now()
	wake = now.Add(pollWait)
	for i, s := range sources {
		state := f.sources[s.Name]
		switch {
		case state.poll != nil:
		case now.Before(state.notBefore):
			wake = earliest(wake, state.notBefore)
			continue
		case s.Usable != nil && now.Before(f.overdueUntil(sources[:i])):
			wake = earliest(wake, f.overdueUntil(sources[:i]))
			continue
		default:
			f.startPoll(ctx, polls, s, f.wait(s.Name, state), f.patienceWith(s.Name, state), false)
		}
		if now.Before(state.poll.patientUntil) {
			return earliest(wake, state.poll.patientUntil)
		}
		f.noteOverdue(s.Name, state)
	}
	return earliest(wake, f.waitForStore(ctx, polls, sources))
}

// forgetUnlisted drops the sources that are no longer listed, and their polls.
func (f *Follower) forgetUnlisted(sources []Source) {
	for name, state := range f.sources {
		if slices.ContainsFunc(sources, func(s Source) bool { return s.Name == name }) {
			continue
		}
		if state.poll != nil {
			state.poll.cancel()
		}
		delete(f.sources, name)
	}
	f.order = f.order[:0]
	for _, s := range sources {
		f.order = append(f.order, s.Name)
		if f.sources[s.Name] == nil {
			f.sources[s.Name] = &sourceState{}
		}
	}
}

// wait returns how long a source is to wait for changes. One that is not followed now answers at once, and
// a relay answers by the time at which the store's answer to it is overdue: changes that a relay does not receive
// would else be missed until it has failed to answer as well.
func (f *Follower) wait(name string, state *sourceState) time.Duration {
	switch {
	case !state.unreadSince.IsZero():
		return pollWait
	case name != f.current || state.failures > 0 || state.storeLost:
		return 0
	case state.dueAt.IsZero(), state.overdue:
		return pollWait
	}
	return min(pollWait, max(0, state.dueAt.Sub(f.Now())))
}

// patienceWith returns how long after a poll of a source the next source is polled too.
func (f *Follower) patienceWith(name string, state *sourceState) time.Duration {
	switch {
	case state.overdue, f.followsOther(name):
		return 0
	case !f.hasCopy():
		return pollWait + maxPatience
	case !state.unreadSince.IsZero():
		return max(0, f.limitToDue(0, readPatience)-f.Now().Sub(state.unreadSince))
	}
	wait := f.wait(name, state)
	return wait + min(maxPatience, max(f.limitToDue(wait, patience), 2*f.delay))
}

// limitToDue returns a patience after a wait, limited so that it ends shortly after the store's answer to the
// source that is followed is due.
func (f *Follower) limitToDue(wait, patience time.Duration) time.Duration {
	if f.dueAt.IsZero() {
		return patience
	}
	untilDue := f.dueAt.Sub(f.Now()) - wait
	return min(patience, max(0, untilDue)+shortPatience)
}

// followsOther reports whether another source than the named one is followed and its answers are in time.
func (f *Follower) followsOther(name string) bool {
	state := f.sources[f.current]
	if state == nil || f.current == name || state.failures > 0 || state.storeLost || state.overdue {
		return false
	}
	return state.poll == nil || f.Now().Before(state.poll.patientUntil)
}

// followsBetter reports whether a source that ranks before the named one is followed and its answers are in
// time. The late answer of another one is used, but it is not followed.
func (f *Follower) followsBetter(name string) bool {
	return f.followsOther(name) && slices.Index(f.order, f.current) < slices.Index(f.order, name)
}

// hasCopy reports whether all readers have a copy.
func (f *Follower) hasCopy() bool {
	for _, c := range f.progress {
		if c.at == 0 {
			return false
		}
	}
	return true
}

// overdueUntil returns until when one of the sources may follow the store although the store's answer to it is
// overdue, as that of a slow store is. It is zero if none does.
func (f *Follower) overdueUntil(sources []Source) (until time.Time) {
	for _, s := range sources {
		if state := f.sources[s.Name]; state.poll != nil && state.overdue {
			if at := state.dueAt.Add(overduePatience); at.After(until) {
				until = at
			}
		}
	}
	return until
}

// noteOverdue records why the next source is polled.
func (f *Follower) noteOverdue(name string, state *sourceState) {
	if name != f.current {
		return
	}
	if f.leaveReason = Error.Wrap(ErrNoAnswer); state.overdue {
		f.leaveReason = Error.Wrap(ErrStale)
	}
}

// waitForStore is called if no source's answer is worth waiting for, and returns when to look again. If a
// source answers that it has lost the store, it is polled for the store's return, so that hundreds of
// followers need not poll the store for that. Prefixes that this source still follows are kept up to
// date.
func (f *Follower) waitForStore(ctx context.Context, polls *sync.WaitGroup, sources []Source) time.Time {
	now := f.Now()
	var lost []Source
	waiting := false
	for _, s := range sources {
		state := f.sources[s.Name]
		switch {
		case state.storeLost:
			lost = append(lost, s)
			waiting = waiting || state.poll != nil
		case state.poll != nil && now.Before(state.poll.sent.Add(state.poll.wait+maxPatience)):
			return state.poll.sent.Add(state.poll.wait + maxPatience)
		}
	}
	switch {
	case len(lost) > 0:
		f.reportLost(func(c *progress) bool { return c.outageSeen })
		if !waiting {
			f.startPoll(ctx, polls, lost[0], pollWait, 0, true)
		}
	case now.Sub(f.lastAnswer) >= lostAfter+min(f.delay, maxLostDelay):
		f.reportLost(func(*progress) bool { return true })
	}
	return now.Add(noSourcePause)
}

// startPoll polls a source. If knownLost is set, the source has reported the loss of the store: it
// answers when it reaches the store again, or after the wait.
func (f *Follower) startPoll(ctx context.Context, polls *sync.WaitGroup, s Source, wait, patience time.Duration, knownLost bool) {
	now := f.Now()
	pollCtx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	p := &poll{source: s, asked: f.ask(knownLost), wait: wait, sent: now, patientUntil: now.Add(patience), delay: f.ownDelay(f.sources[s.Name]), cancel: cancel}
	f.sources[s.Name].poll = p
	polls.Go(func() {
		defer cancel()
		reply, err := p.run(pollCtx, f.Store)
		select {
		case f.results <- pollResult{poll: p, reply: reply, err: err}:
		case <-ctx.Done():
		}
	})
}

// ownDelay returns how much longer than usual messages take to this process: the delay of recent answers, or a guess that grows with
// each attempt if no source answers at all, not even that it has lost the store.
func (f *Follower) ownDelay(state *sourceState) time.Duration {
	silent := f.Now().Sub(f.lastAnswer) >= lostAfter
	for _, s := range f.sources {
		silent = silent && !s.storeLost
	}
	if !silent {
		return f.delay
	}
	return max(f.delay, time.Duration(state.unusable)*delayStep)
}

func (p *poll) run(ctx context.Context, storeName string) (Reply, error) {
	if p.source.Usable != nil && !p.source.Usable(ctx, p.delay) {
		return Reply{}, Error.Wrap(ErrNotUsable)
	}
	return p.source.Follow(ctx, Request{Store: storeName, Positions: p.asked.positions, Eras: true, Wait: p.wait})
}
