package prepaid

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/link"
)

// A store that was restored from an older copy lacks grants that processes are spending. All pages are closed then: no tokens are
// granted from them, and requests are served from what processes hold. The primary of a page collects a confirmation of the
// holdings from every process that may have some, writes them, and opens the page. A process without an answer keeps the page closed
// until it answers or has certainly ended. Borrowers and witnesses report the use of lenders that have ended. If some use
// remains unknown, all free tokens are forfeited, because they may be in use.

const (
	// reopenInterval is the pause between two checks for closed pages, reopenPauseMax the longest pause between two attempts.
	reopenInterval = 100 * time.Millisecond
	reopenPauseMax = time.Second
	// othersClosedRetention is how long a process keeps track of closed pages of which it is not the primary. It outlasts the lease of a
	// primary that has ended, and the time after which it counts as ended. A later primary finds a page closed when it is asked for
	// tokens.
	othersClosedRetention = 2 * time.Minute
	// maxConcurrentQuestions bounds the processes that are asked at the same time.
	maxConcurrentQuestions = 32
)

// reopening is the state of the pages that a restoration of the store closed.
type reopening struct {
	closed nameSet // pages

	mu sync.Mutex
	// changed is when the store's era changed last.
	changed time.Time
	// viewSince is the store's era in which this process first had the list of members, once viewKnown is set.
	viewSince store.Era
	viewKnown bool
	// earlier are the members known at restorations of the store, by incarnation.
	earlier map[string]earlierMember
	// nextAttempt is when closed pages are tried again, pause the current pause between attempts.
	nextAttempt time.Time
	pause       time.Duration
	// waitingFor are the processes that kept pages closed at the last attempt.
	waitingFor []string
}

// earlierMember is a member that was known when the store reached an era.
type earlierMember struct {
	member.Member
	era store.Era
}

// EraChanged closes all pages when the store was restored and has reached an era. It records the members known so far, since the
// store may lack them.
func (b *Budgets) EraChanged(era store.Era) {
	r := &b.reopening
	r.mu.Lock()
	if r.earlier == nil {
		r.earlier = map[string]earlierMember{}
	}
	for _, m := range append(b.members.Members(), b.members.Former()...) {
		r.earlier[m.ID] = earlierMember{m, era}
	}
	r.pause, r.nextAttempt, r.changed = 0, time.Time{}, time.Now()
	r.mu.Unlock()
	for n := range b.layout.Pages {
		r.closed.add(b.layout.PageKey(n))
	}
}

// noteView records the era in which this process first has the list of members.
func (r *reopening) noteView(members *member.Group, era store.Era) {
	if _, known := r.view(); known {
		return
	}
	_, known := members.Count(RoleLender)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.viewSince, r.viewKnown = era, known
}

// view returns the era since which this process has had the list of members.
func (r *reopening) view() (since store.Era, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.viewSince, r.viewKnown
}

// unchangedFor returns the time since the store's era changed last.
func (r *reopening) unchangedFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.changed)
}

// due reports whether closed pages are tried now.
func (r *reopening) due(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.nextAttempt)
}

// attempted records an attempt, and reports whether the processes that were waited for have changed.
func (r *reopening) attempted(now time.Time, waitingFor []string) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pause = min(reopenPauseMax, max(reopenInterval, 2*r.pause))
	r.nextAttempt = now.Add(r.pause)
	changed = !slices.Equal(r.waitingFor, waitingFor)
	r.waitingFor = waitingFor
	return changed
}

// processes lists the members known now, lately and at the restorations after an era, by incarnation.
func (r *reopening) processes(members *member.Group, since store.Era) map[string]member.Member {
	out := r.unlisted(members, since)
	for _, m := range members.Members() {
		out[m.ID] = m
	}
	return out
}

// unlisted lists the members known lately and at the restorations after an era that are not listed now, by incarnation.
func (r *reopening) unlisted(members *member.Group, since store.Era) map[string]member.Member {
	out := map[string]member.Member{}
	r.mu.Lock()
	for id, m := range r.earlier {
		if m.era > since {
			out[id] = m.Member
		}
	}
	r.mu.Unlock()
	for _, m := range members.Former() {
		out[m.ID] = m
	}
	for _, m := range members.Members() {
		delete(out, m.ID)
	}
	return out
}

// openPages opens closed pages of which this process is the primary, or is asked for tokens.
func (b *Budgets) openPages(ctx context.Context) {
	b.reopening.noteView(b.members, b.era())
	if !b.reopening.due(time.Now()) || b.storeOutage.ongoing() {
		return
	}
	pages := b.readClosed(ctx, b.closedPages(time.Now()))
	if len(pages) == 0 {
		return
	}
	found := b.reconcile(ctx, pages)
	if b.reopening.attempted(time.Now(), found.pending) && len(found.pending) > 0 {
		b.log.Warn().Int64("era", int64(found.era)).Int("pages", len(pages)).Strs("waiting_for", found.pending).Msg("pages_closed")
	}
	if len(found.pending) > 0 {
		return
	}
	for _, p := range pages {
		b.openPage(ctx, found, p)
	}
}

// closedPages lists the closed pages of which this process is the primary, or is asked for tokens.
func (b *Budgets) closedPages(now time.Time) (keys []string) {
	for _, key := range b.reopening.closed.list() {
		switch {
		case b.opens(key):
			keys = append(keys, key)
		case b.reopening.unchangedFor(now) >= othersClosedRetention:
			b.reopening.closed.remove(key)
		}
	}
	return keys
}

// closedPage is a closed page as it was read before anybody was asked: it is written only if nobody wrote it since.
type closedPage struct {
	item store.Item
	page *account.Page
}

// readClosed returns the pages that are closed.
func (b *Budgets) readClosed(ctx context.Context, keys []string) (out []closedPage) {
	for _, key := range keys {
		item, page, err := b.pages.ReadPage(ctx, key)
		switch {
		case err != nil:
			b.recordOutage(&b.storeOutage, "store", "", err, store.ErrUnknown)
			b.log.Warn().Err(err).Str("page", key).Msg("page_not_read")
		case page.Closed(max(item.Revision.Era(), b.era())):
			out = append(out, closedPage{item, page})
		default:
			b.reopening.closed.remove(key)
		}
	}
	return out
}

// openPage writes what was found to a page and opens it.
func (b *Budgets) openPage(ctx context.Context, found *reconciliation, p closedPage) {
	b.prepare(p.item.Key, p.page)
	found.apply(p.item.Key, p.page)
	forfeited := found.forfeit(p)
	p.page.Era = found.era
	if err := b.pages.WritePage(ctx, p.item, p.page); err != nil {
		b.log.Warn().Err(err).Str("page", p.item.Key).Int64("era", int64(found.era)).Msg("page_not_opened") // tried again
		return
	}
	b.reopening.closed.remove(p.item.Key)
	b.log.Info().Str("page", p.item.Key).Int64("era", int64(found.era)).Int("holders", len(found.replies)).Strs("ended", found.endedNames()).
		Int64("forfeited", forfeited).Str("why_forfeited", found.unknown).Msg("page_opened")
}

// confirm returns the holdings of this process. They do not grow until the pages are open: from now on the era is known here, and
// the pages count as closed.
func (b *Budgets) confirm(ctx context.Context, in link.ConfirmRequest) (link.ConfirmReply, error) {
	if in.Holder != b.holder.ID() {
		return link.ConfirmReply{}, nil
	}
	b.observeEra(in.Era)
	out := link.ConfirmReply{Known: true, Rows: map[string]map[string]account.Confirmation{}}
	out.ViewSince, out.ViewKnown = b.reopening.view()
	for _, key := range in.Pages {
		rows, err := b.pages.Confirm(ctx, key)
		if err != nil {
			return link.ConfirmReply{}, err
		}
		if len(rows) > 0 {
			out.Rows[key] = rows
		}
	}
	out.Held = b.holdings.list(in.Pages)
	out.Members = b.membersFor(in)
	return out, nil
}

// membersFor lists the members that the caller may lack.
func (b *Budgets) membersFor(in link.ConfirmRequest) []member.Member {
	unlisted := b.reopening.unlisted(b.members, in.Since)
	for _, id := range in.Known {
		delete(unlisted, id)
	}
	out := slices.Collect(maps.Values(unlisted))
	if in.AllMembers {
		out = append(out, b.members.Members()...)
	}
	return out
}

// announceTimeout bounds the messages of a process that ends.
const announceTimeout = 100 * time.Millisecond

// AnnounceEnd notifies others that this process ends, and hands over the limits of lenders that have left. It is called when
// nothing is lent or spent any more.
func (b *Budgets) AnnounceEnd(ctx context.Context) {
	var handedOver sync.WaitGroup
	handedOver.Go(func() { b.handOverLimits(ctx) })
	b.notifyOpeners(ctx)
	handedOver.Wait()
}

// notifyOpeners notifies the processes that may open pages next, so that they do not wait for this one's confirmation.
func (b *Budgets) notifyOpeners(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	notified := map[string]member.Member{}
	for n := range b.layout.Pages {
		ranked := b.rankedLenders(b.layout.PageKey(n))
		for _, m := range ranked[:min(maxQueriedLenders, len(ranked))] {
			notified[m.ID] = m
		}
	}
	delete(notified, b.holder.ID())
	var wg sync.WaitGroup
	for _, m := range notified {
		wg.Go(func() {
			if err := b.endpoint.AnnounceEnd(ctx, m.Address); err != nil {
				b.log.Warn().Err(err).Str("member", m.ID).Msg("end_not_announced") // the lease shows it later
			}
		})
	}
	wg.Wait()
}

func (b *Budgets) recordEnded(_ context.Context, in link.EndedNotice) (link.Empty, error) {
	b.endedLately.record(in.Holder)
	return link.Empty{}, nil
}
