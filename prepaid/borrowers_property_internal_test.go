package prepaid

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// settlementModel is a fleet that spends a budget while its processes end, start and are cut off, its lists of members are late or
// wrong, and its store is restored.
type settlementModel struct {
	*tokenFleet
	rt *rapid.T
	// used is what upstreams deliver, including the later use of open requests and of those whose router ended.
	used   int64
	open   []openRequest
	copies []fleetCopy
	logs   string // of processes that ended
	// lenderPresumedDead is set once a running lender was unlisted. Its settlement may leave its routers without its tokens after it has
	// returned to the list, and it settles nothing itself.
	lenderPresumedDead bool
}

// maxCopyAge is how old a copy is that the store is restored from.
const maxCopyAge = 9 * time.Second

// fleetCopy is a copy of the store with the members that it lists.
type fleetCopy struct {
	memstore.Copy
	at      time.Time
	entries []store.Item
}

// copyStore adds a copy, and drops those that are too old.
func (m *settlementModel) copyStore() {
	c := fleetCopy{Copy: m.store.Copy(), at: time.Now()}
	for _, n := range m.nodes {
		c.entries = append(c.entries, n.entry)
	}
	m.copies = append(m.copies, c)
	m.copies = slices.DeleteFunc(m.copies, func(c fleetCopy) bool { return time.Since(c.at) > maxCopyAge })
}

type openRequest struct {
	router *tokenNode
	settle func(int64)
	use    int64
}

// draw draws one of some processes by its number, so that the log of a failure is short.
func (m *settlementModel) draw(nodes []*tokenNode, label string) *tokenNode {
	return nodes[rapid.IntRange(0, len(nodes)-1).Draw(m.rt, label)]
}

func (m *settlementModel) any(role string) *tokenNode { return m.draw(m.ofRole(role), role) }

func (m *settlementModel) serve() {
	router := m.any(RoleRouter)
	n := rapid.Int64Range(1, 200).Draw(m.rt, "tokens")
	r := router.reserve(m.t.Context(), rapid.IntRange(0, 1).Draw(m.rt, "rank"), n)
	if r.refusal != nil {
		return
	}
	use := rapid.Int64Range(0, n).Draw(m.rt, "use")
	m.used += use
	m.open = append(m.open, openRequest{router, r.settle, use})
}

// finish ends the oldest request.
func (m *settlementModel) finish() {
	if len(m.open) > 0 {
		m.open[0].settle(m.open[0].use)
		m.open = m.open[1:]
	}
}

// end ends a process and starts the next incarnation on its VM.
func (m *settlementModel) end(n *tokenNode) {
	m.logs += n.log.String()
	if rapid.Bool().Draw(m.rt, "announced") {
		n.AnnounceEnd(m.t.Context())
	}
	m.kill(n)
	if rapid.Bool().Draw(m.rt, "unlisted") {
		m.unlist(n)
	}
	time.Sleep(rapid.SampledFrom([]time.Duration{0, 2 * time.Second, absenceTimeout + settlementBound}).Draw(m.rt, "absence"))
	m.start(n.member.Role, n.member.VM)
}

// user returns the router of the last open request, or any one.
func (m *settlementModel) user() *tokenNode {
	if len(m.open) > 0 && slices.Contains(m.nodes, m.open[len(m.open)-1].router) {
		return m.open[len(m.open)-1].router
	}
	return m.any(RoleRouter)
}

// endAllRouters ends all routers at the same moment.
func (m *settlementModel) endAllRouters() {
	for _, n := range m.routers() {
		m.kill(n)
	}
	time.Sleep(time.Second)
	for n := range 3 {
		m.start(RoleRouter, fmt.Sprint("router-", n))
	}
}

// restore replaces the store by a copy. Processes read the list of that copy, and those that it lacks register again.
func (m *settlementModel) restore() {
	m.copyStore()
	from := m.copies[rapid.IntRange(0, len(m.copies)-1).Draw(m.rt, "copy")]
	m.store.Restore(from.Copy)
	for i, item := range from.entries {
		from.entries[i].Revision = store.NewRevision(m.store.Era(), item.Revision.Number())
	}
	for _, n := range m.nodes {
		if !n.cut.Load() {
			n.members.Lost(store.Error.Wrap(store.ErrRestored))
			n.members.Reset(from.entries)
		}
	}
	time.Sleep(rapid.SampledFrom([]time.Duration{0, time.Second, 5 * time.Second}).Draw(m.rt, "unregistered"))
	for _, n := range m.nodes {
		i := slices.IndexFunc(from.entries, func(item store.Item) bool { return item.Key == n.entry.Key })
		if i >= 0 {
			n.entry.Revision = from.entries[i].Revision
			continue
		}
		m.started++
		n.entry.Revision = store.NewRevision(m.store.Era(), int64(m.started))
	}
	m.listMembers()
	m.copies = nil
}

// lateEntries makes a process read an entry of an earlier incarnation that was written late.
func (m *settlementModel) lateEntries() {
	m.draw(m.nodes, "reader").members.Changed(m.lateEntry(m.any(RoleRouter)))
}

func (m *settlementModel) step() {
	switch rapid.IntRange(0, 15).Draw(m.rt, "op") {
	case 0, 1, 2, 3, 4, 5, 6:
		m.serve()
	case 7:
		m.finish()
	case 8:
		m.end(m.user())
	case 9:
		m.end(m.any(RoleLender))
	case 10:
		m.endAllRouters()
	case 11:
		n := m.draw(m.nodes, "cut")
		n.cut.Store(!n.cut.Load())
	case 12:
		n := m.draw(m.nodes, "unlisted")
		m.lenderPresumedDead = m.lenderPresumedDead || n.member.Role == RoleLender
		m.unlist(n)
	case 13:
		m.listMembers()
	case 14:
		m.restore()
	case 15:
		m.lateEntries()
	}
	time.Sleep(rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 20 * time.Second}).Draw(m.rt, "pause"))
	m.copyStore()
}

// heal ends all faults and requests.
func (m *settlementModel) heal() {
	for _, n := range m.nodes {
		n.cut.Store(false)
	}
	m.listMembers()
	for len(m.open) > 0 {
		m.finish()
	}
	time.Sleep(2 * absenceTimeout)
}

// spendAll spends what is left and returns the last refusal.
func (m *settlementModel) spendAll() (last *contract.Refusal) {
	for refusals := 0; refusals < 30 && (last == nil || last.Kind != contract.BudgetExhausted); {
		r := m.any(RoleRouter).reserve(m.t.Context(), 0, 50)
		if last = r.refusal; last != nil {
			refusals++
			time.Sleep(2 * time.Second)
			continue
		}
		m.used += 50
		r.settle(50)
	}
	return last
}

func (m *settlementModel) killAll() {
	for len(m.nodes) > 0 {
		m.kill(m.nodes[0])
	}
	time.Sleep(10 * time.Second)
}

// noDeadline hides the test's deadline, which must not be read in a synctest bubble.
type noDeadline struct{ testing.TB }

// Guards against overspend while lots and rows of members that ended, were replaced, announced their end, are cut off or only
// presumed dead are settled, beside wrong lists of members and restorations of the store; and against tokens that stay reserved for good.
func TestNoOverspendBesideSettlements(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		reasons := map[settlementReason]int{}
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			m := &settlementModel{tokenFleet: &tokenFleet{t: t, store: memstore.New(), queueing: rapid.Bool().Draw(rt, "queueing"), limit: 2000}, rt: rt}
			defer m.killAll()
			for n := range 3 {
				m.start(RoleLender, fmt.Sprint("lender-", n))
				m.start(RoleRouter, fmt.Sprint("router-", n))
			}
			time.Sleep(5 * time.Second)
			for range rapid.IntRange(1, 30).Draw(rt, "steps") {
				m.step()
				require.LessOrEqual(rt, m.used, m.limit, "overspend")
			}
			m.heal()
			last := m.spendAll()
			require.LessOrEqual(rt, m.used, m.limit, "overspend")
			if !m.lenderPresumedDead {
				require.Equal(rt, contract.BudgetExhausted, last.Kind, "tokens stay reserved: %s", last.Detail)
			}
			for _, reason := range []settlementReason{borrowerReplaced, borrowerAnnounced, borrowerAbsent} {
				reasons[reason] += strings.Count(m.logs+m.log(), fmt.Sprintf(`"why":%q`, reason))
			}
		})
		t.Log(reasons)
		require.Len(t, reasons, 3)
		for reason, n := range reasons {
			require.Positive(t, n, reason)
		}
	})
}
