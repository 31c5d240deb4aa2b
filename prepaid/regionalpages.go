package prepaid

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/zeebo/errs"
)

// regionProbeInterval is the pause between two probes of the primaries of other regions.
const regionProbeInterval = time.Second

// errUnknownPage says that a message names a page that does not exist.
var errUnknownPage = errs.New("unknown page of budgets")

// pageNotices holds the newest written pages that the primaries of other regions have not been sent yet, at most one for each page.
type pageNotices struct {
	mu      sync.Mutex
	pending map[string]store.Item
	// ready has an element while pages may be pending.
	ready chan struct{}
}

func newPageNotices() pageNotices {
	return pageNotices{pending: map[string]store.Item{}, ready: make(chan struct{}, 1)}
}

// add replaces the pending copy of a page. It does not block.
func (n *pageNotices) add(page store.Item) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pending[page.Key] = page
	select {
	case n.ready <- struct{}{}:
	default: // already set
	}
}

// take returns the pending pages and removes them.
func (n *pageNotices) take() []store.Item {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := slices.Collect(maps.Values(n.pending))
	clear(n.pending)
	return out
}

// useRegions sets the parts of the pages that only fleets of several regions have.
func (b *Budgets) useRegions() {
	if !b.regions.several {
		return
	}
	b.pages.TimingOf = b.timingOf
	b.pages.OnWrite = b.noteWrittenPage
}

// startRegional starts the tasks that only fleets of several regions have.
func (b *Budgets) startRegional(tasks *process.TaskGroup) {
	if !b.regions.several {
		return
	}
	tasks.Go(b.sendPages)
	tasks.Every(regionProbeInterval, b.probeOtherRegions)
}

// noteWrittenPage schedules a written page for the primaries of other regions.
func (b *Budgets) noteWrittenPage(page store.Item) {
	if role := b.pageRole(page.Key); role == grant.RolePrimary || role == grant.RoleRegional {
		b.pageNotices.add(page)
	}
}

// sendPages sends written pages to the primaries of other regions until the context ends.
func (b *Budgets) sendPages(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.pageNotices.ready:
		}
		var sent sync.WaitGroup
		for _, page := range b.pageNotices.take() {
			for _, m := range b.regions.otherPrimaries(page.Key) {
				if !b.isUnreachable(m.ID) {
					sent.Go(func() { b.sendPage(ctx, m, page) })
				}
			}
		}
		sent.Wait()
	}
}

// sendPage sends a written page. Without it the receiver reads the page, so it is not sent again.
func (b *Budgets) sendPage(ctx context.Context, to member.Member, page store.Item) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	err := b.endpoint.SendPage(ctx, to.ID, link.PageNotice{Key: page.Key, Revision: page.Revision, Value: page.Value})
	result := "ok"
	if err != nil {
		result = "failed"
		b.latePeers.add(to.ID) // the probe finds out whether the peer answers, and logs it
	}
	b.metrics.GetOrCreateCounter(fmt.Sprintf("arbutusmill_budget_page_notices_total{result=%q}", result)).Inc()
}

// observePage records a page that the primary of another region wrote.
func (b *Budgets) observePage(_ context.Context, in link.PageNotice) (link.Empty, error) {
	if !slices.Contains(slices.Collect(b.pageKeys), in.Key) {
		return link.Empty{}, errUnknownPage
	}
	page, err := account.Decode(in.Value)
	if err != nil {
		return link.Empty{}, err
	}
	b.holder.RecordHolders(page)
	b.noticedPages.add(in.Key)
	b.pages.ObservePage(store.Item{Key: in.Key, Value: in.Value, Revision: in.Revision})
	return link.Empty{}, nil
}

// pageKeys yields the keys of all pages.
func (b *Budgets) pageKeys(yield func(string) bool) {
	for n := range b.layout.Pages {
		if !yield(b.layout.PageKey(n)) {
			return
		}
	}
}

// settledPages lists the pages on which dead lenders are settled if this process is the first lender: also those that only other
// regions use, of which it holds nothing.
func (b *Budgets) settledPages() []string {
	pages := b.holder.Pages()
	for _, page := range b.noticedPages.list() {
		if !slices.Contains(pages, page) {
			pages = append(pages, page)
		}
	}
	return pages
}

// probeOtherRegions probes the primaries of other regions on the pages of which this process is a primary and has tokens: one that has
// written nothing lately would not find that its messages do not arrive.
func (b *Budgets) probeOtherRegions(context.Context) {
	for _, page := range b.holder.Pages() {
		if role := b.pageRole(page); role != grant.RolePrimary && role != grant.RoleRegional {
			continue
		}
		for _, m := range b.regions.otherPrimaries(page) {
			b.latePeers.add(m.ID)
		}
	}
}
