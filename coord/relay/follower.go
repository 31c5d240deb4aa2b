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
	// with answerSlack it bounds how late a follower notices that its relay fell silent,
	// which must stay well below the seconds in which changes are to be in force.
	pollWait = 700 * time.Millisecond
	// answerSlack is what an answer may take beyond its wait: many times the way between two
	// VMs, so that a full link for a moment is no dead relay.
	answerSlack = 400 * time.Millisecond
	// lostPause is how long a source that lost the store is left alone while another one has
	// it.
	lostPause = time.Second
	// nobodyPause is the pause before the next look where there is nobody to ask.
	nobodyPause = 100 * time.Millisecond
	// cooldownMin and cooldownMax bound how long a source is left alone that did not answer; it
	// doubles with each failure. Each try costs followers up to the slack.
	cooldownMin = time.Second
	cooldownMax = 8 * time.Second
)

// Source answers followers: a relay, or this process's own Hub.
type Source struct {
	// Name is for logs, and the same as long as it is the same relay.
	Name   string
	Follow func(ctx context.Context, r Request) (Reply, error)
	// Usable, if set, is asked before a source is turned to whose use costs the store; nil
	// is always.
	Usable func(ctx context.Context) bool
}

// Reporter hears what a follower goes through.
type Reporter interface {
	// SourceChanged is called when another source is followed, with the reason.
	SourceChanged(source string, why error)
	// SourceRefused is called for each answer that breaks the rules.
	SourceRefused(source string, why error)
}

// Follower keeps readers up to date with what relays tell.
type Follower struct {
	// Store names the store; see Request.
	Store string
	// Readers are told of the keys under their prefixes. Their methods are called from
	// Run's goroutine.
	Readers map[string]mirror.Reader
	// Sources lists where to ask, best first; it is called before each question.
	Sources func() []Source
	Report  Reporter
	// Now is the clock.
	Now func() time.Time

	copies    map[string]*progress
	cooldowns map[string]*cooldown // by the names of sources
	// current is the source that answered last, why the reason for leaving the one before.
	current string
	why     error
	// failing says that the source asked last did not answer.
	failing bool

	mu sync.Mutex
	// told is what State returns.
	told FollowerState
}

// FollowerState is a follower for dumps and metrics.
type FollowerState struct {
	// Source is the one that is followed, "" if none is.
	Source string `json:"source"`
	// Revisions are those up to which the readers have all changes, by prefix.
	Revisions map[string]store.Revision `json:"revisions"`
	// LastReply is when a source answered last, and Age how old (ns) what it had was then.
	LastReply time.Time     `json:"heard"`
	Age   time.Duration `json:"age_ns"`
}

// State returns what is followed now.
func (f *Follower) State() FollowerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.told
}

// note keeps what State returns.
func (f *Follower) note(age time.Duration) {
	revisions := map[string]store.Revision{}
	for prefix, c := range f.copies {
		revisions[prefix] = c.at
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told = FollowerState{Source: f.current, Revisions: revisions, LastReply: f.Now(), Age: age}
}

// progress is how far one reader is.
type progress struct {
	at store.Revision
	// warned says that a source lost the store since the reader's last update: what the next
	// whole copy lacks may have lapsed only because the store was away.
	warned bool
	// lost says that the reader was told so.
	lost bool
}

// cooldown is how a source that failed is left alone for a while.
type cooldown struct {
	until time.Time
	fails int
	// lost says that it answered, but has lost the store.
	lost bool
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.copies, f.cooldowns = map[string]*progress{}, map[string]*cooldown{}
	for prefix := range f.Readers {
		f.copies[prefix] = &progress{}
	}
	for ctx.Err() == nil {
		sources := f.Sources()
		f.forget(sources)
		if s, ok := f.next(ctx, sources); ok {
			f.ask(ctx, s, false)
			continue
		}
		f.awaitReturn(ctx, sources)
	}
}

// awaitReturn waits while nobody has the store: at a source that will tell when it has it
// again, so that hundreds of followers need not ask the store for that. What that source has
// all the same goes on.
func (f *Follower) awaitReturn(ctx context.Context, sources []Source) {
	for _, s := range sources {
		if a := f.cooldowns[s.Name]; a != nil && a.lost {
			f.lose(func(c *progress) bool { return c.warned })
			f.ask(ctx, s, true)
			return
		}
	}
	f.lose(func(*progress) bool { return true })
	_ = backoff.Sleep(ctx, nobodyPause) // ends early only with the context
}

// next is the first source that is not left alone.
func (f *Follower) next(ctx context.Context, sources []Source) (Source, bool) {
	for _, s := range sources {
		if a := f.cooldowns[s.Name]; a != nil && f.Now().Before(a.until) {
			continue
		}
		if s.Usable == nil || s.Usable(ctx) {
			return s, true
		}
		f.coolDown(s.Name, cooldownMin).lost = false
	}
	return Source{}, false
}

// forget drops what is known of sources that are no longer there.
func (f *Follower) forget(sources []Source) {
	for name := range f.cooldowns {
		if !slices.ContainsFunc(sources, func(s Source) bool { return s.Name == name }) {
			delete(f.cooldowns, name)
		}
	}
}

// ask asks a source once. One that failed before, or that comes after one that did not answer, is
// only asked what it has: if it is silent too, changes are held up for no longer than that. Relays
// that lose power together would else take up the seconds in which changes are to be in force.
// A source that is known to have lost the store answers when it has it again, or after the wait.
func (f *Follower) ask(ctx context.Context, s Source, knownLost bool) {
	wait := pollWait
	if a := f.cooldowns[s.Name]; a != nil && a.fails > 0 || f.failing && !knownLost {
		wait = 0
	}
	asking, cancel := context.WithTimeout(ctx, wait+answerSlack)
	reply, err := s.Follow(asking, Request{Store: f.Store, Positions: f.positions(knownLost), Wait: wait})
	cancel()
	if err == nil {
		err = f.take(reply)
	}
	switch {
	case ctx.Err() != nil:
	case err == nil:
		f.answered(s.Name)
		f.note(reply.age())
	case errors.Is(err, ErrStoreLost):
		f.why = err
		a := f.coolDown(s.Name, lostPause)
		a.lost, a.fails = true, 0 // it did answer
	default:
		f.failed(s.Name, err)
	}
}

func (f *Follower) answered(source string) {
	delete(f.cooldowns, source)
	if source != f.current {
		f.Report.SourceChanged(source, f.why)
	}
	f.current, f.why, f.failing = source, nil, false
}

func (f *Follower) failed(source string, err error) {
	f.why, f.failing = err, true
	a := f.coolDown(source, 0)
	a.until = f.Now().Add(backoff.Jitter(min(cooldownMax, cooldownMin<<min(a.fails, 8))))
	a.fails, a.lost = a.fails+1, false
	if errors.Is(err, ErrInvalidReply) || errors.Is(err, ErrMissingUpdate) || errors.Is(err, ErrOtherStore) {
		f.Report.SourceRefused(source, err)
	}
}

func (f *Follower) coolDown(source string, pause time.Duration) *cooldown {
	a := f.cooldowns[source]
	if a == nil {
		a = &cooldown{}
		f.cooldowns[source] = a
	}
	a.until = f.Now().Add(pause)
	return a
}

// positions are how far all readers are. One that was told of a loss gets all keys again.
func (f *Follower) positions(knownLost bool) []Position {
	out := make([]Position, 0, len(f.copies))
	for prefix, c := range f.copies {
		p := Position{Prefix: prefix, After: c.at, Lost: knownLost && c.warned}
		if c.lost {
			p.After = 0
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Position) int { return strings.Compare(a.Prefix, b.Prefix) })
	return out
}

// lose tells readers that nobody is there to follow.
func (f *Follower) lose(concerned func(*progress) bool) {
	for prefix, c := range f.copies {
		if !c.lost && concerned(c) {
			c.lost, c.warned = true, true
			f.Readers[prefix].Lost(store.Error.Wrap(errors.Join(ErrStoreLost, f.why)))
		}
	}
	f.current = ""
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told.Source = ""
}

// take checks a reply and passes it to the readers. Nothing of a reply that breaks the rules
// is passed on.
func (f *Follower) take(r Reply) error {
	for prefix := range f.copies {
		if !slices.ContainsFunc(r.Updates, func(u Update) bool { return u.Prefix == prefix }) {
			return Error.Wrap(ErrMissingUpdate)
		}
	}
	for _, u := range r.Updates {
		if err := f.check(u); err != nil {
			return err
		}
	}
	var lost error
	for _, u := range r.Updates {
		if u.Lost {
			f.copies[u.Prefix].warned = true
			lost = Error.Wrap(ErrStoreLost)
			continue
		}
		f.apply(u)
	}
	return lost
}

// check refuses what would take a reader back, or what a relay does not send.
func (f *Follower) check(u Update) error {
	c := f.copies[u.Prefix]
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

// apply passes an update on.
func (f *Follower) apply(u Update) {
	c, r := f.copies[u.Prefix], f.Readers[u.Prefix]
	if u.Whole {
		f.reset(c, r, u)
		return
	}
	if c.lost || u.At == 0 {
		return // the relay has read nothing yet
	}
	for _, ch := range u.Changes {
		r.Changed(store.Event{Item: ch.item(), Deleted: ch.Removed})
	}
	c.at = max(c.at, u.At)
	c.warned = false
}

// reset gives a reader a whole copy. After an outage the reader is told of that first, if it
// was not: what the copy lacks may then live all the same.
func (f *Follower) reset(c *progress, r mirror.Reader, u Update) {
	if !c.lost && (c.warned || u.AfterOutage) {
		r.Lost(store.Error.Wrap(ErrStoreLost))
	}
	items := make([]store.Item, len(u.Changes))
	for i, ch := range u.Changes {
		items[i] = ch.item()
	}
	r.Reset(items)
	c.at, c.warned, c.lost = u.At, false, false
}
