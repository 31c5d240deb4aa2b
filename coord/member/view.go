package member

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/zeebo/errs"
)

// formerMember is one that is no longer listed.
type formerMember struct {
	Member
	left time.Time
}

// rememberFor is how long a member's address is remembered after it left the list. What
// others hold of it has to find its way back until then, and what it used of what all share counts;
// it is longer than a planned stop, and than the window of what is shared.
const rememberFor = time.Minute

// returnGrace is how long members that are missing after an outage are kept: living ones
// register again with their next renewal. A view that empties and fills again would move
// every home of a budget twice.
const returnGrace = 10 * time.Second

// Reset implements mirror.Reader.
func (g *Group) Reset(items []store.Item) {
	listed := map[string]Member{}
	for _, it := range items {
		if m, ok := g.decode(it); ok {
			listed[it.Key] = m
		}
	}
	g.Report.MembersRead()
	g.update(time.Now(), func(now time.Time) {
		if g.members == nil {
			g.members, g.former, g.missing = map[string]Member{}, map[string]formerMember{}, map[string]Member{}
		}
		if g.lost {
			g.lost = false
			g.lapses.StartGrace(now, returnGrace)
		}
		g.judgeReadLocked(listed)
		for key := range g.members {
			if _, ok := listed[key]; !ok {
				g.missLocked(now, key)
			}
		}
		for key, m := range listed {
			g.putLocked(key, m)
		}
	})
}

// Changed implements mirror.Reader.
func (g *Group) Changed(e store.Event) {
	if e.Deleted {
		g.update(time.Now(), func(now time.Time) { g.missLocked(now, e.Key) })
		return
	}
	if m, ok := g.decode(e.Item); ok {
		g.update(time.Now(), func(time.Time) { g.putLocked(e.Key, m) })
	}
}

// Lost implements mirror.Reader.
func (g *Group) Lost(err error) {
	g.mu.Lock()
	g.lost = true
	g.mu.Unlock()
	g.Report.MembersLost(err)
}

// tidy drops the members that did not return after an outage, and forgets former ones.
func (g *Group) tidy(now time.Time) {
	if g.hasMissing() {
		g.update(now, func(time.Time) {})
	}
	g.mu.Lock()
	maps.DeleteFunc(g.former, func(_ string, m formerMember) bool { return now.Sub(m.left) > rememberFor })
	g.mu.Unlock()
	if n, changed := g.newCount(); changed {
		g.Report.MembersChanged(n)
	}
}

func (g *Group) hasMissing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.missing) > 0
}

// newCount returns the number of members, and whether it is not the one reported last.
func (g *Group) newCount() (n int, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n = len(g.members)
	changed = n != g.told
	g.told = n
	return n, changed
}

// update changes the view. When this process is not listed although it should be, its lease
// ended: it registers again at once.
func (g *Group) update(now time.Time, change func(now time.Time)) {
	g.mu.Lock()
	change(now)
	g.judgeMissingLocked(now)
	g.beside, g.ranks = nil, nil
	g.version++
	_, missed := g.missing[g.Prefix+g.Self.ID]
	unlisted := g.lease != 0 && !g.aside && (missed || g.droppedLocked())
	g.mu.Unlock()
	if unlisted {
		g.wake()
	}
}

// droppedLocked reports whether this process was listed and is not any more.
func (g *Group) droppedLocked() bool {
	_, former := g.former[g.Prefix+g.Self.ID]
	return former
}

func (g *Group) putLocked(key string, m Member) {
	if g.members[key].revision > m.revision {
		return // told late
	}
	g.members[key] = m
	delete(g.missing, key)
	delete(g.former, key)
}

// judgeReadLocked notes the members whose leases outlasted the time since the last read: a lease
// that runs out takes the entry with it, and its owner creates another one.
func (g *Group) judgeReadLocked(listed map[string]Member) {
	g.kept = map[string]bool{}
	again := 0
	for key, m := range listed {
		have, ok := g.members[key]
		_, missing := g.missing[key]
		switch {
		case !ok || missing:
		case have.created == m.created:
			g.kept[key] = true
		default:
			again++
		}
	}
	g.lapses.RecordRead(len(g.kept), again)
}

// missLocked notes that a member is listed no longer. It leaves the view at once, unless it may
// have lapsed only because the store was away.
func (g *Group) missLocked(now time.Time, key string) {
	m, known := g.members[key]
	_, missing := g.missing[key]
	switch {
	case !known || missing:
	case g.lapses.InGrace(now):
		g.lapses.RecordMissing(g.kept[key])
		delete(g.kept, key)
		g.missing[key] = m
	default:
		g.dropLocked(now, key, m)
	}
}

// judgeMissingLocked puts missing members into the view, or takes them out of it.
func (g *Group) judgeMissingLocked(now time.Time) {
	lapsed, over := g.lapses.Lapsed(now), !g.lapses.InGrace(now)
	for key, m := range g.missing {
		if lapsed {
			g.members[key] = m
			delete(g.former, key)
			continue
		}
		if _, dropped := g.former[key]; !dropped {
			g.dropLocked(now, key, m)
		}
		if over {
			delete(g.missing, key)
		}
	}
}

func (g *Group) dropLocked(now time.Time, key string, m Member) {
	delete(g.members, key)
	g.former[key] = formerMember{Member: m, left: now}
}

// ErrUnreadable says that a member's entry cannot be decoded or lacks something; it is left
// alone. Counted as a member without a role or VM, it would stand in for one that exists.
var ErrUnreadable = errs.New("member's entry cannot be read")

// decode reads a member.
func (g *Group) decode(it store.Item) (Member, bool) {
	m := Member{}
	err := json.Unmarshal(it.Value, &m)
	if err == nil && (m.ID != strings.TrimPrefix(it.Key, g.Prefix) || m.Role == "" || m.VM == "" || m.Address == "") {
		err = errors.New("id, role, vm or address is missing or wrong")
	}
	if err != nil {
		g.Report.MemberUnreadable(fmt.Errorf("%s: %w: %w", it.Key, ErrUnreadable, err))
		return Member{}, false
	}
	m.revision, m.created = it.Revision, it.Created
	return m, true
}
