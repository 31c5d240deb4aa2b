package relay

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

const (
	// pollWait is how long a relay waits for changes before it answers without any. Together
	// with answerSlack it bounds how long a follower takes to detect that its relay stopped
	// answering, which must stay well below the seconds in which changes must take effect.
	pollWait = 700 * time.Millisecond
	// answerSlack is what an answer may take beyond its wait: many times the latency between
	// two VMs, so that a link that is briefly saturated does not count as a dead relay.
	answerSlack = 400 * time.Millisecond
	// lostCooldown is how long a source that lost the store is not polled while another source
	// still follows it.
	lostCooldown = time.Second
	// noSourcePause is the pause before the next attempt when there is no source to poll.
	noSourcePause = 100 * time.Millisecond
	// cooldownMin and cooldownMax bound how long a source that did not answer is not polled; the
	// pause doubles with each failure. Each attempt delays followers by up to answerSlack.
	cooldownMin = time.Second
	cooldownMax = 8 * time.Second
)

// Source serves followers: a relay, or this process's own Hub.
type Source struct {
	// Name identifies the relay in logs and does not change while it is the same relay.
	Name   string
	Follow func(ctx context.Context, r Request) (Reply, error)
	// Usable, if set, is called before the source is polled, for sources whose use adds load
	// to the store. Nil means always usable.
	Usable func(ctx context.Context) bool
}

// Reporter receives the events of a follower.
type Reporter interface {
	// SourceChanged is called when another source is followed, with the reason.
	SourceChanged(source string, reason error)
	// SourceRefused is called for each invalid answer.
	SourceRefused(source string, reason error)
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

	progress  map[string]*progress
	cooldowns map[string]*cooldown // by source name
	// current is the source that answered last; leaveReason is why the previous one was left.
	current     string
	leaveReason error
	// failing is set if the source polled last did not answer.
	failing bool

	mu sync.Mutex
	// state is returned by State.
	state FollowerState
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

// recordReply updates what State returns before a reply is applied, so that readers can log where their
// changes come from.
func (f *Follower) recordReply(source string, r Reply, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Source, f.state.LastReply = source, f.Now()
	f.state.Age, f.state.Held, f.state.Delay = r.age(), r.held(), max(0, delay)
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

// cooldown keeps a source that failed from being polled for a while.
type cooldown struct {
	until    time.Time
	failures int
	// storeLost is set if the source answered, but has lost the store.
	storeLost bool
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.progress, f.cooldowns = map[string]*progress{}, map[string]*cooldown{}
	for prefix := range f.Readers {
		f.progress[prefix] = &progress{}
	}
	for ctx.Err() == nil {
		sources := f.Sources()
		f.pruneCooldowns(sources)
		if s, ok := f.nextSource(ctx, sources); ok {
			f.poll(ctx, s, false)
			continue
		}
		f.waitForStore(ctx, sources)
	}
}

// waitForStore waits while no source follows the store. It polls a source that answers when it
// reaches the store again, so that hundreds of followers need not poll the store for that.
// Prefixes that this source still follows are kept up to date.
func (f *Follower) waitForStore(ctx context.Context, sources []Source) {
	for _, s := range sources {
		if cd := f.cooldowns[s.Name]; cd != nil && cd.storeLost {
			f.reportLost(func(c *progress) bool { return c.outageSeen })
			f.poll(ctx, s, true)
			return
		}
	}
	f.reportLost(func(*progress) bool { return true })
	_ = backoff.Sleep(ctx, noSourcePause) // ends early only with the context
}

// nextSource returns the first usable source that is not in cooldown.
func (f *Follower) nextSource(ctx context.Context, sources []Source) (Source, bool) {
	for _, s := range sources {
		if cd := f.cooldowns[s.Name]; cd != nil && f.Now().Before(cd.until) {
			continue
		}
		if s.Usable == nil || s.Usable(ctx) {
			return s, true
		}
		f.coolDown(s.Name, cooldownMin).storeLost = false
	}
	return Source{}, false
}

// pruneCooldowns removes the cooldowns of sources that no longer exist.
func (f *Follower) pruneCooldowns(sources []Source) {
	for name := range f.cooldowns {
		if !slices.ContainsFunc(sources, func(s Source) bool { return s.Name == name }) {
			delete(f.cooldowns, name)
		}
	}
}

// poll polls a source once. A source that failed before, or that comes after one that did not
// answer, is polled without a wait, so that it delays changes by no more than answerSlack if it does
// not answer either. Otherwise relays that lose power together would use up the seconds in which
// changes must take effect. If knownLost is set, the source has reported the loss of the store: it
// answers when it reaches the store again, or after the wait.
func (f *Follower) poll(ctx context.Context, s Source, knownLost bool) {
	wait := pollWait
	if cd := f.cooldowns[s.Name]; cd != nil && cd.failures > 0 || f.failing && !knownLost {
		wait = 0
	}
	pollCtx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	sent := f.Now()
	reply, err := s.Follow(pollCtx, Request{Store: f.Store, Positions: f.positions(knownLost), Wait: wait})
	cancel()
	if err == nil {
		f.recordReply(s.Name, reply, f.Now().Sub(sent)-wait)
		err = f.applyReply(reply)
	}
	switch {
	case ctx.Err() != nil:
	case err == nil:
		f.markAnswered(s.Name)
		f.recordRevisions()
	case errors.Is(err, ErrStoreLost):
		f.leaveReason = err
		cd := f.coolDown(s.Name, lostCooldown)
		cd.storeLost, cd.failures = true, 0 // the source did answer
	default:
		f.markFailed(s.Name, err)
	}
}

func (f *Follower) markAnswered(source string) {
	delete(f.cooldowns, source)
	if source != f.current {
		f.Report.SourceChanged(source, f.leaveReason)
	}
	f.current, f.leaveReason, f.failing = source, nil, false
}

func (f *Follower) markFailed(source string, err error) {
	f.leaveReason, f.failing = err, true
	cd := f.coolDown(source, 0)
	cd.until = f.Now().Add(backoff.Jitter(min(cooldownMax, cooldownMin<<min(cd.failures, 8))))
	cd.failures, cd.storeLost = cd.failures+1, false
	if errors.Is(err, ErrInvalidReply) || errors.Is(err, ErrMissingUpdate) || errors.Is(err, ErrOtherStore) {
		f.Report.SourceRefused(source, err)
	}
}

func (f *Follower) coolDown(source string, pause time.Duration) *cooldown {
	cd := f.cooldowns[source]
	if cd == nil {
		cd = &cooldown{}
		f.cooldowns[source] = cd
	}
	cd.until = f.Now().Add(pause)
	return cd
}

// positions returns the positions of all readers. A reader whose loss was reported gets all keys
// again.
func (f *Follower) positions(knownLost bool) []Position {
	out := make([]Position, 0, len(f.progress))
	for prefix, c := range f.progress {
		p := Position{Prefix: prefix, After: c.at, Lost: knownLost && c.outageSeen}
		if c.lossReported {
			p.After = 0
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Position) int { return strings.Compare(a.Prefix, b.Prefix) })
	return out
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

// applyReply validates a reply and passes it to the readers. An invalid reply is rejected as a
// whole.
func (f *Follower) applyReply(r Reply) error {
	for prefix := range f.progress {
		if !slices.ContainsFunc(r.Updates, func(u Update) bool { return u.Prefix == prefix }) {
			return Error.Wrap(ErrMissingUpdate)
		}
	}
	for _, u := range r.Updates {
		if err := f.validate(u); err != nil {
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

// validate rejects an update that would take a reader back to an older revision, or that a relay
// never sends.
func (f *Follower) validate(u Update) error {
	c := f.progress[u.Prefix]
	switch {
	case c == nil:
		return Error.Wrap(ErrUnknownPrefix)
	case u.Lost:
		return nil
	case u.Whole && u.At < c.at:
		return Error.Wrap(ErrBehind)
	case u.At == 0 && len(u.Changes) > 0:
		return Error.Wrap(ErrInvalidReply)
	}
	last := c.at
	for _, ch := range u.Changes {
		inOrder := u.Whole || ch.Revision >= last && ch.Revision > c.at
		if !strings.HasPrefix(ch.Key, u.Prefix) || ch.Revision <= 0 || !inOrder || u.Whole && ch.Removed {
			return Error.Wrap(ErrInvalidReply)
		}
		last = ch.Revision
	}
	return nil
}

// applyUpdate passes an update to its reader.
func (f *Follower) applyUpdate(u Update) {
	c, r := f.progress[u.Prefix], f.Readers[u.Prefix]
	if u.Whole {
		f.resetReader(c, r, u)
		return
	}
	if c.lossReported || u.At == 0 {
		return // the relay has not read anything yet
	}
	for _, ch := range u.Changes {
		r.Changed(store.Event{Item: ch.item(), Deleted: ch.Removed})
	}
	c.at = max(c.at, u.At)
	c.outageSeen = false
}

// resetReader passes a whole copy to a reader. After an outage it calls Lost first, if it has not
// yet: the owners of entries that the copy lacks may still be alive.
func (f *Follower) resetReader(c *progress, r mirror.Reader, u Update) {
	if !c.lossReported && (c.outageSeen || u.AfterOutage) {
		r.Lost(store.Error.Wrap(ErrStoreLost))
	}
	items := make([]store.Item, len(u.Changes))
	for i, ch := range u.Changes {
		items[i] = ch.item()
	}
	r.Reset(items)
	c.at, c.outageSeen, c.lossReported = u.At, false, false
}
