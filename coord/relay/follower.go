package relay

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

const (
	// pollWait is how long a relay waits for changes before it answers without any. Together
	// with patience it bounds how long a follower takes to detect that its relay stopped
	// answering, which must stay well below the seconds in which changes must take effect.
	pollWait = 700 * time.Millisecond
	// answerTimeout is how long an answer may take beyond its wait. It exceeds the patience: another source
	// is polled meanwhile, and the late answer is still used. A link or processor that
	// is behind delays the answers of all sources alike; a follower that gave them up would receive no change for as long.
	answerTimeout = 10 * time.Second
	// noSourcePause is the pause before the next attempt when there is no source to poll.
	noSourcePause = 100 * time.Millisecond
	// lostAfter is how long no source has answered before readers are told that the store is lost. The delay of recent
	// answers comes on top of it, up to maxLostDelay.
	lostAfter    = 2 * time.Second
	maxLostDelay = 2 * time.Second
)

// Source serves followers: a relay, or this process's own Hub.
type Source struct {
	// Name identifies the relay in logs and does not change while it is the same relay.
	Name   string
	Follow func(ctx context.Context, r Request) (Reply, error)
	// Usable, if set, is called before the source is polled, for sources whose use adds load
	// to the store: they are polled only if no other source follows the store. Nil means
	// always usable. delay is how much longer than usual messages take to this process, as far as is known.
	Usable func(ctx context.Context, delay time.Duration) bool
}

// Reporter receives the events of a follower.
type Reporter interface {
	// SourceChanged is called when another source is followed, with the reason.
	SourceChanged(source string, reason error)
	// SourceFailed is called for each poll that failed, with the time that it took.
	SourceFailed(source string, reason error, took time.Duration)
	// SourceRefused is called for each invalid answer.
	SourceRefused(source string, reason error)
	// Restored is called when a source shows a later era of the store than known before, before the
	// changes are passed on.
	Restored(era store.Era)
	// SourceBehind is called when the copy of a source is older than the follower's, once until another
	// source is followed or this one answers with a newer copy.
	SourceBehind(source string, has, want store.Revision)
}

// Follower keeps readers up to date with the changes that relays send.
type Follower struct {
	// Store names the store; see Request.
	Store string
	// Readers receive the changes under their prefixes. Their methods are called from Run's
	// goroutine.
	Readers map[string]mirror.Reader
	// Sources lists the sources to poll, best first; it is called before each poll.
	Sources func() []Source
	Report  Reporter
	// Now returns the current time.
	Now func() time.Time

	progress map[string]*progress
	sources  map[string]*sourceState // by name
	// behind holds the sources that were reported as behind.
	behind map[string]bool
	// order lists the names of the sources, best first.
	order []string
	// results receives the outcomes of polls.
	results chan pollResult
	// current is the source that answered last; leaveReason is why the previous one was left.
	current     string
	leaveReason error
	// lastAnswer is when a source that follows the store last answered.
	lastAnswer time.Time
	// dueAt is when the store's answer to the source that answered last is overdue, zero if that is not
	// known.
	dueAt time.Time
	// delay is how much longer than their waits recent answers took.
	delay time.Duration

	mu sync.Mutex
	// state is returned by State.
	state FollowerState
	// confirmed are the times returned by ConfirmedAt, by prefix.
	confirmed map[string]time.Time
}

// FollowerState is the state of a follower for dumps and metrics.
type FollowerState struct {
	// Source is the name of the source that is followed, "" if there is none.
	Source string `json:"source"`
	// Revisions are the revisions up to which the readers have all changes, by prefix.
	Revisions map[string]store.Revision `json:"revisions"`
	// LastReply is when a source last answered, and Age how old (ns) its data was then.
	LastReply time.Time     `json:"heard"`
	Age       time.Duration `json:"age_ns"`
	// Held is how long (ns) the source had had the changes of its last answer, and Delay how much longer
	// (ns) than the requested wait that answer took.
	Held  time.Duration `json:"held_ns"`
	Delay time.Duration `json:"delay_ns"`
}

// State returns the follower's current state.
func (f *Follower) State() FollowerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// ConfirmedAt returns a time at which the reader of a prefix had all changes, zero if there is none: it lacks only changes
// that the store made after that time.
func (f *Follower) ConfirmedAt(prefix string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed[prefix]
}

// recordConfirmed updates what ConfirmedAt returns after a reply was applied. The source answered after the poll was sent, and without
// changes only after its wait; it cannot be said how long before its arrival.
func (f *Follower) recordConfirmed(p *poll, r Reply) {
	answered := p.sent
	if !p.asked.knowsLoss() && !r.hasNews() {
		answered = answered.Add(min(p.wait, maxWait))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed == nil {
		f.confirmed = map[string]time.Time{}
	}
	for _, u := range r.Updates {
		c := f.progress[u.Prefix]
		if at := answered.Add(-u.lag()); !u.Lost && !u.Unread && c.at >= u.At && !c.lossReported && at.After(f.confirmed[u.Prefix]) {
			f.confirmed[u.Prefix] = at
		}
	}
}

// recordReply updates what State returns before a reply is applied, so that readers can log where their
// changes come from.
func (f *Follower) recordReply(p *poll, r Reply) {
	if r.unread() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Source, f.state.LastReply = p.source.Name, f.Now()
	f.state.Age, f.state.Held, f.state.Delay = r.age(), r.held(), max(0, f.Now().Sub(p.sent)-p.wait)
}

// recordRevisions updates what State returns after a reply was applied.
func (f *Follower) recordRevisions() {
	revisions := map[string]store.Revision{}
	for prefix, c := range f.progress {
		revisions[prefix] = c.at
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Revisions = revisions
}

// progress is the position of one reader.
type progress struct {
	at store.Revision
	// outageSeen is set if a source lost the store since the reader's last update: entries
	// missing from the next whole copy may have lapsed only because the store was unreachable.
	outageSeen bool
	// lossReported is set after Lost was called on the reader, until its next whole copy.
	lossReported bool
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.progress, f.sources, f.behind = map[string]*progress{}, map[string]*sourceState{}, map[string]bool{}
	f.results, f.lastAnswer = make(chan pollResult), f.Now()
	for prefix := range f.Readers {
		f.progress[prefix] = &progress{}
	}
	var polls sync.WaitGroup
	defer polls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for ctx.Err() == nil {
		wake := f.startPolls(ctx, &polls, f.Sources())
		f.awaitResult(ctx, wake)
	}
}

// awaitResult handles the outcome of the next poll, or returns at wake.
func (f *Follower) awaitResult(ctx context.Context, wake time.Time) {
	t := time.NewTimer(max(0, wake.Sub(f.Now())))
	defer t.Stop()
	select {
	case r := <-f.results:
		f.handleResult(r)
	case <-t.C:
	case <-ctx.Done():
	}
}

// handleResult applies the outcome of a poll.
func (f *Follower) handleResult(r pollResult) {
	state := f.sources[r.poll.source.Name]
	if state == nil || state.poll != r.poll {
		return // the source is no longer listed
	}
	state.poll = nil
	err := r.err
	if err == nil {
		f.recordDelay(r.poll)
		f.recordReply(r.poll, r.reply)
		err = f.applyReply(r.reply, r.poll.asked)
	}
	if err == nil || errors.Is(err, ErrStoreLost) && r.err == nil {
		f.recordConfirmed(r.poll, r.reply)
	}
	switch {
	case err == nil && r.reply.unread():
		state.markUnread(f.Now())
	case err == nil:
		state.markAnswered(f.Now(), r.reply)
		f.lastAnswer = f.Now()
		f.recordRevisions()
		if !f.followsBetter(r.poll.source.Name) {
			f.markFollowed(r.poll.source.Name)
			f.dueAt = state.dueAt
		}
	case errors.Is(err, ErrNotUsable):
		f.Report.SourceFailed(r.poll.source.Name, err, f.Now().Sub(r.poll.sent))
		state.markUnusable(f.Now())
	case errors.Is(err, ErrStoreLost):
		f.leaveReason = err
		state.markStoreLost(f.Now())
	default:
		f.Report.SourceFailed(r.poll.source.Name, err, f.Now().Sub(r.poll.sent))
		f.markFailed(r.poll.source.Name, state, err)
	}
}

// behindError is ErrBehind with the revisions of the source's copy and the follower's.
type behindError struct{ has, want store.Revision }

func (e *behindError) Error() string { return Error.Wrap(ErrBehind).Error() }
func (e *behindError) Unwrap() error { return Error.Wrap(ErrBehind) }

// noteBehind reports a source whose copy is older than the follower's, once.
func (f *Follower) noteBehind(source string, err error) {
	var behind *behindError
	if errors.As(err, &behind) && !f.behind[source] {
		f.behind[source] = true
		f.Report.SourceBehind(source, behind.has, behind.want)
	}
}

// markFollowed makes a source that has answered the one that is followed.
func (f *Follower) markFollowed(source string) {
	f.cancelStorePolls(source)
	clear(f.behind)
	if source != f.current {
		f.Report.SourceChanged(source, f.leaveReason)
	}
	f.current, f.leaveReason = source, nil
}

// cancelStorePolls cancels the polls of other sources whose use adds load to the store.
func (f *Follower) cancelStorePolls(except string) {
	for name, state := range f.sources {
		if name != except && state.poll != nil && state.poll.source.Usable != nil {
			state.poll.cancel()
			state.poll = nil
		}
	}
}

func (f *Follower) markFailed(source string, state *sourceState, err error) {
	f.leaveReason = err
	f.noteBehind(source, err)
	state.markFailed(f.Now(), f.followsOther(source))
	if errors.Is(err, ErrInvalidReply) || errors.Is(err, ErrMissingUpdate) || errors.Is(err, ErrOtherStore) {
		f.Report.SourceRefused(source, err)
	}
}

// recordDelay updates the delay of answers that took longer than their wait. A relay that has changes answers
// before the wait is over, which says nothing about the delay.
func (f *Follower) recordDelay(p *poll) {
	if delay := f.Now().Sub(p.sent) - p.wait; delay >= 0 && p.source.Usable == nil {
		f.delay = max(delay, f.delay*3/4)
	}
}

// asked is what a follower had when it sent a request, and what it requested.
type asked struct {
	positions []Position
	// revisions are those up to which the readers had all changes. A position after which nothing is known
	// is lower: all keys are requested again.
	revisions map[string]store.Revision
}

// ask returns the positions of all readers. A reader whose loss was reported gets all keys
// again.
func (f *Follower) ask(knownLost bool) asked {
	out := asked{revisions: map[string]store.Revision{}}
	for prefix, c := range f.progress {
		p := Position{Prefix: prefix, After: c.at, Lost: knownLost && c.outageSeen}
		if c.lossReported {
			p.After = 0
		}
		out.positions = append(out.positions, p)
		out.revisions[prefix] = c.at
	}
	slices.SortFunc(out.positions, func(a, b Position) int { return strings.Compare(a.Prefix, b.Prefix) })
	return out
}

// knowsLoss reports whether the relay answers as soon as it reaches the store again.
func (a asked) knowsLoss() bool {
	return slices.ContainsFunc(a.positions, func(p Position) bool { return p.Lost })
}

// reportLost reports the loss of the store to the matching readers.
func (f *Follower) reportLost(matches func(*progress) bool) {
	for prefix, c := range f.progress {
		if !c.lossReported && matches(c) {
			c.lossReported, c.outageSeen = true, true
			f.Readers[prefix].Lost(store.Error.Wrap(errors.Join(ErrStoreLost, f.leaveReason)))
		}
	}
	f.current = ""
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Source = ""
}

// applyReply validates the reply to a request and passes it to the readers. An invalid reply is rejected
// as a whole. The readers may have more than when it was sent, since another source may have answered
// meanwhile: only what is new to them is passed on.
func (f *Follower) applyReply(r Reply, request asked) error {
	after := map[string]store.Revision{}
	for _, p := range request.positions {
		after[p.Prefix] = p.After
		if !slices.ContainsFunc(r.Updates, func(u Update) bool { return u.Prefix == p.Prefix }) {
			return Error.Wrap(ErrMissingUpdate)
		}
	}
	for _, u := range r.Updates {
		position, ok := after[u.Prefix]
		switch {
		case !ok:
			return Error.Wrap(ErrUnknownPrefix)
		case isBehind(u, request.revisions[u.Prefix]):
			return &behindError{has: u.At, want: request.revisions[u.Prefix]}
		}
		if err := validate(u, position); err != nil {
			return err
		}
	}
	var lost error
	for _, u := range r.Updates {
		if u.Lost {
			f.progress[u.Prefix].outageSeen = true
			lost = Error.Wrap(ErrStoreLost)
			continue
		}
		f.applyUpdate(u)
	}
	return lost
}

// isBehind reports whether an update comes from a copy that does not reach the follower's revision and cannot
// catch up by further changes: another read of the store, or one of an earlier era.
func isBehind(u Update, revision store.Revision) bool {
	switch {
	case u.Whole:
		return u.At < revision
	case u.Lost || u.Unread:
		return false
	}
	return u.At.Era() < revision.Era()
}

// validate rejects an update that a relay never sends for the revision after which changes were
// requested.
func validate(u Update, after store.Revision) error {
	switch {
	case u.Lost:
		return nil
	case u.At == 0 && len(u.Changes) > 0, !u.Whole && !u.Unread && after != 0 && u.At.Era() > after.Era():
		return Error.Wrap(ErrInvalidReply)
	}
	last := after
	for _, ch := range u.Changes {
		inOrder := u.Whole || ch.Revision >= last && ch.Revision > after
		if !strings.HasPrefix(ch.Key, u.Prefix) || ch.Revision <= 0 || !inOrder || u.Whole && ch.Removed {
			return Error.Wrap(ErrInvalidReply)
		}
		last = ch.Revision
	}
	return nil
}

// has reports whether an update contains nothing that is new to the reader.
func (c *progress) has(u Update) bool {
	sameCopy := u.Whole && u.At == c.at && c.at != 0 && !c.lossReported
	return u.Unread || u.At < c.at || sameCopy
}

// applyUpdate passes an update to its reader.
func (f *Follower) applyUpdate(u Update) {
	c, r := f.progress[u.Prefix], f.Readers[u.Prefix]
	switch {
	case c.has(u):
		return
	case u.Whole:
		f.resetReader(c, r, u)
		return
	case c.lossReported || u.At == 0:
		return // the relay has not read anything yet
	}
	for _, ch := range u.Changes {
		if ch.Revision > c.at {
			r.Changed(store.Event{Item: ch.item(), Deleted: ch.Removed})
		}
	}
	c.at = u.At
	c.outageSeen = false
}

// resetReader passes a whole copy to a reader. After an outage it calls Lost first, if it has not
// yet: the owners of entries that the copy lacks may still be alive. So they may be if the store was restored.
func (f *Follower) resetReader(c *progress, r mirror.Reader, u Update) {
	switch {
	case c.at != 0 && u.At.Era() > c.at.Era():
		f.Report.Restored(u.At.Era())
		r.Lost(store.Error.Wrap(store.ErrRestored))
	case !c.lossReported && (c.outageSeen || u.AfterOutage):
		r.Lost(store.Error.Wrap(ErrStoreLost))
	}
	items := make([]store.Item, len(u.Changes))
	for i, ch := range u.Changes {
		items[i] = ch.item()
	}
	r.Reset(items)
	c.at, c.outageSeen, c.lossReported = u.At, false, false
}
