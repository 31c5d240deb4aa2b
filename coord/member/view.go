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

// formerMember is a member that is no longer listed.
type formerMember struct {
	Member
	left time.Time
}

// formerRetention is how long a member's address is kept after it left the list. Until then others
// return to it what they borrowed, and its use of shared limits still counts. It is longer than a
// planned stop, and than the window of the shared limits.
const formerRetention = time.Minute

// returnGrace is how long members that are missing after an outage are kept: live ones register
// again with their next renewal. A view that empties and refills would move the primary of every
// budget twice.
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
			g.members, g.former, g.missing, g.lostByStore = map[string]Member{}, map[string]formerMember{}, map[string]Member{}, map[string]bool{}
		}
		restored := g.restored
		if g.lost {
			g.lost, g.restored = false, false
			g.lapseDetector.StartGrace(now, returnGrace)
		}
		if restored {
			g.matchEarlierLocked(listed)
		}
		g.recordReadLocked(listed)
		for key := range g.members {
			if _, ok := listed[key]; !ok {
				g.markMissingLocked(now, key)
				g.lostByStore[key] = g.lostByStore[key] || restored
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
		g.update(time.Now(), func(now time.Time) { g.markMissingLocked(now, e.Key) })
		return
	}
	if m, ok := g.decode(e.Item); ok {
		g.update(time.Now(), func(time.Time) { g.putLocked(e.Key, m) })
	}
}

// matchEarlierLocked compares the entries of a store that was restored from an older copy with those known before. An
// unchanged entry keeps its place in the order: otherwise one of an ended incarnation would count as newer than the
// live one, which the copy lacks. A member that had left stays away until it writes its entry again.
func (g *Group) matchEarlierLocked(listed map[string]Member) {
	for key, m := range listed {
		have, known := g.members[key]
		_, left := g.former[key]
		switch {
		case left:
			delete(listed, key)
		case known && have.revision.Number() == m.revision.Number():
			m.revision, m.created = have.revision, have.created
			listed[key] = m
		}
	}
}

// Lost implements mirror.Reader.
func (g *Group) Lost(err error) {
	restored := errors.Is(err, store.ErrRestored)
	g.mu.Lock()
	g.lost = true
	g.restored = g.restored || restored
	g.leaseVoid = g.leaseVoid || restored
	g.mu.Unlock()
	g.Report.MembersLost(err)
}

// cleanUp drops the members that did not return after an outage, and removes expired former
// members.
func (g *Group) cleanUp(now time.Time) {
	if g.hasMissing() {
		g.update(now, func(time.Time) {})
	}
	g.mu.Lock()
	before := len(g.former)
	maps.DeleteFunc(g.former, func(_ string, m formerMember) bool { return now.Sub(m.left) > formerRetention })
	if len(g.former) < before {
		g.newest = nil
	}
	g.mu.Unlock()
	if n, changed := g.takeCountChange(); changed {
		g.Report.MembersChanged(n)
	}
}

func (g *Group) hasMissing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.missing) > 0
}

// takeCountChange returns the number of members, and whether it differs from the one reported last.
func (g *Group) takeCountChange() (n int, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n = len(g.members)
	changed = n != g.reportedCount
	g.reportedCount = n
	return n, changed
}

// update changes the view. If this process is not listed although it should be, its lease has
// ended, and it registers again at once.
func (g *Group) update(now time.Time, change func(now time.Time)) {
	g.mu.Lock()
	change(now)
	g.resolveMissingLocked(now)
	g.byUpstream, g.newest, g.rankings, g.candidates = nil, nil, nil, nil
	g.version++
	_, missing := g.missing[g.Prefix+g.Self.ID]
	unlisted := g.lease != 0 && !g.withdrawn && (missing || g.wasListedLocked())
	g.mu.Unlock()
	if unlisted {
		g.wake()
	}
}

// wasListedLocked reports whether this process was listed and no longer is.
func (g *Group) wasListedLocked() bool {
	_, former := g.former[g.Prefix+g.Self.ID]
	return former
}

func (g *Group) putLocked(key string, m Member) {
	if g.members[key].revision > m.revision {
		return // an older entry that arrived late
	}
	g.members[key] = m
	delete(g.missing, key)
	delete(g.lostByStore, key)
	delete(g.former, key)
}

// recordReadLocked records the members whose leases outlasted the time since the last read: an
// entry is removed when its lease expires, and its owner creates another one.
func (g *Group) recordReadLocked(listed map[string]Member) {
	g.survivors = map[string]bool{}
	recreated := 0
	for key, m := range listed {
		have, ok := g.members[key]
		_, missing := g.missing[key]
		switch {
		case !ok || missing:
		case have.created == m.created:
			g.survivors[key] = true
		default:
			recreated++
		}
	}
	g.lapseDetector.RecordRead(len(g.survivors), recreated)
}

// markMissingLocked records that a member is no longer listed. It leaves the view at once, unless it
// may have lapsed only because the store was unreachable.
func (g *Group) markMissingLocked(now time.Time, key string) {
	m, known := g.members[key]
	_, missing := g.missing[key]
	switch {
	case !known || missing:
	case g.lapseDetector.InGrace(now):
		g.lapseDetector.RecordMissing(g.survivors[key])
		delete(g.survivors, key)
		g.missing[key] = m
	default:
		g.dropLocked(now, key, m)
	}
}

// resolveMissingLocked adds missing members to the view, or removes them from it.
func (g *Group) resolveMissingLocked(now time.Time) {
	lapsed, over := g.lapseDetector.Lapsed(now), !g.lapseDetector.InGrace(now)
	for key, m := range g.missing {
		if lapsed || g.lostByStore[key] && !over {
			g.members[key] = m
			delete(g.former, key)
			continue
		}
		if _, dropped := g.former[key]; !dropped {
			g.dropLocked(now, key, m)
		}
		if over {
			delete(g.missing, key)
			delete(g.lostByStore, key)
		}
	}
}

func (g *Group) dropLocked(now time.Time, key string, m Member) {
	delete(g.members, key)
	g.former[key] = formerMember{Member: m, left: now}
}

// ErrUnreadable is reported for a member's entry that cannot be decoded or lacks a required field.
// The entry is ignored: as a member without a role or VM it could replace an existing one.
var ErrUnreadable = errs.New("invalid member entry")

// decode decodes a member's entry, and reports one that is invalid.
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
