package lab

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/grant"
)

// Deployment is the load of one of the two deployments that the policies are
// measured on: three data centres, two routers each, ten teams, three of them large.
type Deployment struct {
	Name string
	DCs  [3]string
	// Rate is requests a second over all teams.
	Rate float64
	// WorstMin and WorstMax bound the reserved tokens of a request, UsedMin and
	// UsedMax the share of them that it uses.
	WorstMin, WorstMax int64
	UsedMin, UsedMax   float64
	Favour             grant.DemandPolicy
}

// Deployments are the two of the brief.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "brekke", DCs: [3]string{"bergen", "alesund", "floro"}, Rate: 10,
			WorstMin: 300, WorstMax: 900, UsedMin: 0.1, UsedMax: 0.5, Favour: grant.FavourAvailability()},
		{Name: "lakeshore", DCs: [3]string{"cleveland", "detroit", "milwaukee"}, Rate: 10,
			WorstMin: 200, WorstMax: 4000, UsedMin: 0.3, UsedMax: 0.9, Favour: grant.FavourExactness()},
	}
}

// PolicyUnderTest is one way to hold tokens.
type PolicyUnderTest struct {
	Name      string
	Transfers bool
	Policy    func(Deployment) grant.Policy
}

// routersPerDC and the numbers below are those of the experiment.
const (
	routersPerDC = 2
	holders      = 3 * routersPerDC
	teams        = 10
	rebirthAfter = 30 * time.Second
	listLag      = 30 * time.Second
	lotIdle      = 5 * time.Second
)

// Horizon is the length of a cell of the table. The cut begins after a third of it,
// and the router dies a twenty-fourth later.
const Horizon = 2 * time.Hour

func (c Cell) cutAt() time.Duration { return c.Horizon / 3 }

func (c Cell) deathAt() time.Duration { return c.cutAt() + c.Horizon/24 }

// teamShare is each team's share of the requests: three large ones.
var teamShare = [teams]float64{0.25, 0.20, 0.15, 0.10, 0.08, 0.07, 0.05, 0.04, 0.03, 0.03}

// homeShare is the share of a team's requests that come in at its home data centre.
const homeShare = 0.6

// PoliciesUnderTest are the baselines and the full policy.
func PoliciesUnderTest() []PolicyUnderTest {
	return []PolicyUnderTest{
		{Name: "store write a request", Policy: func(Deployment) grant.Policy { return grant.RequestPolicy{} }},
		{Name: "even split", Policy: func(Deployment) grant.Policy { return grant.EvenPolicy{N: holders} }},
		{Name: "demand, no transfer", Policy: func(d Deployment) grant.Policy { return d.Favour }},
		{Name: "full", Transfers: true, Policy: func(d Deployment) grant.Policy { return d.Favour }},
	}
}

// Cell is one setting of the experiment.
type Cell struct {
	Deployment Deployment
	Policy     PolicyUnderTest
	Horizon    time.Duration
	Partition  time.Duration
	// Budget is the credit as a share of the demand.
	Budget float64
	// Death kills one router during the cut.
	Death bool
	Seed  uint64
}

// Result is what came out of one cell. Tokens are summed over all teams.
type Result struct {
	Requests int
	Served   int
	// Overspend is the tokens served beyond the credits.
	Overspend int64
	// False counts the refusals although the budget had the worst case left,
	// with what is reserved at work counted as gone. Far are those of them where the
	// caller's side of the cut did not have it.
	False, Far int
	// Lost bounds the requests that the best placement would have served instead:
	// false refusals, but no more than what was left unspent could have paid for.
	Lost int
	// Stranded is what dead holders still hold at the end, Forfeited what
	// recovery gave up.
	Stranded, Forfeited int64
	Reads, Writes       int64
}

// FalsePer10k is the false refusals for 10,000 requests.
func (r Result) FalsePer10k() float64 { return 1e4 * float64(r.False) / float64(r.Requests) }

// WritesPer100 is the store writes for 100 requests.
func (r Result) WritesPer100() float64 { return 100 * float64(r.Writes) / float64(r.Requests) }

// experiment is one cell at work.
type experiment struct {
	cell  Cell
	ctx   context.Context
	f     *Fleet
	rng   *rand.Rand
	start time.Time
	ends  endings
	res   Result

	credit   [teams]int64
	used     [teams]int64
	reserved [teams]int64
	refusals [teams]int // false ones that Lost has not looked at
	dead     []string
	next     int
}

// ending is a request that ends at a moment.
type ending struct {
	at    time.Time
	order int
	team  int
	worst int64
	used  int64
	req   *Request
}

type endings []ending

// Len implements heap.Interface.
func (e endings) Len() int { return len(e) }

// Less implements heap.Interface.
func (e endings) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}

// Swap implements heap.Interface.
func (e endings) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *endings) Push(x any) { *e = append(*e, x.(ending)) }

// Pop implements heap.Interface.
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func budgetOf(team int) string { return fmt.Sprintf("team-%d/2026", team) }

// Run runs one cell. It must run in a bubble of virtual time.
func Run(ctx context.Context, c Cell) (Result, error) {
	x := &experiment{cell: c, ctx: ctx, rng: rand.New(rand.NewPCG(c.Seed, 1))}
	if err := x.setUp(); err != nil {
		return Result{}, err
	}
	if err := x.loop(); err != nil {
		return Result{}, err
	}
	return x.finish()
}

func (x *experiment) setUp() error {
	d := x.cell.Deployment
	x.f = New(Options{Pages: 2, Policy: func() grant.Policy { return x.cell.Policy.Policy(d) },
		Timing: grant.DefaultTiming(), Transfers: x.cell.Policy.Transfers, Expect: holders})
	x.start = x.f.Now
	perRequest := float64(d.WorstMin+d.WorstMax) / 2 * (d.UsedMin + d.UsedMax) / 2
	for t := range teams {
		x.credit[t] = int64(x.cell.Budget * teamShare[t] * d.Rate * x.cell.Horizon.Seconds() * perRequest)
		if err := x.f.Book().Create(x.ctx, budgetOf(t), fmt.Sprint("team-", t)); err != nil {
			return err
		}
		if err := x.f.Book().TopUp(x.ctx, budgetOf(t), "first", x.credit[t]); err != nil {
			return err
		}
	}
	for _, dc := range d.DCs {
		if _, err := x.f.AddAgent(x.ctx, dc+"-engine", dc); err != nil {
			return err
		}
		for i := range routersPerDC {
			n, err := x.f.AddNode(x.ctx, fmt.Sprintf("%s-router-%d", dc, i+1), dc)
			if err != nil {
				return err
			}
			n.Place(x.ctx)
		}
	}
	return nil
}

// loop moves the time from arrival to arrival, with the duties of each second.
func (x *experiment) loop() error {
	second := 0
	for {
		gap := time.Duration(x.rng.ExpFloat64() / x.cell.Deployment.Rate * float64(time.Second))
		at := x.f.Now.Add(gap)
		for next := x.start.Add(time.Duration(second+1) * time.Second); !at.Before(next); next = next.Add(time.Second) {
			second++
			x.end(next)
			x.f.Now = next
			if err := x.duties(second); err != nil {
				return err
			}
		}
		x.end(at)
		x.f.Now = at
		if at.Sub(x.start) > x.cell.Horizon {
			return nil
		}
		x.arrive()
	}
}

// end ends the requests that are due.
func (x *experiment) end(until time.Time) {
	for len(x.ends) > 0 && !x.ends[0].at.After(until) {
		e := heap.Pop(&x.ends).(ending)
		x.f.Now = e.at
		x.reserved[e.team] -= e.worst
		x.used[e.team] += e.used
		e.req.Finish(e.used)
	}
}

func (x *experiment) duties(second int) error {
	since := time.Duration(second) * time.Second
	switch {
	case x.cell.Partition > 0 && since == x.cell.cutAt():
		x.f.Cut(x.cell.Deployment.DCs[2])
	case x.cell.Partition > 0 && since == x.cell.cutAt()+x.cell.Partition:
		x.f.Heal()
		x.countLost()
	case x.cell.Death && since == x.cell.deathAt():
		x.kill()
	case x.cell.Death && since == x.cell.deathAt()+rebirthAfter:
		if err := x.rebirth(); err != nil {
			return err
		}
	}
	for i, n := range x.f.Nodes {
		n.Sync(x.ctx)
		n.ReturnLots(lotIdle)
		if second%60 == i && !n.Dead {
			n.Audit()
		}
		if second%60 == 30+i && !n.Dead && !n.Frozen {
			n.Place(x.ctx)
		}
	}
	if second%10 == 0 && since > x.cell.deathAt()+listLag {
		x.recover()
	}
	return nil
}

// kill ends the life of a router of the first data centre.
func (x *experiment) kill() {
	n := x.f.Nodes[0]
	n.Dead = true
	x.dead = append(x.dead, n.Holder.ID())
}

func (x *experiment) rebirth() error {
	old := x.f.Nodes[0]
	n, err := x.f.AddNode(x.ctx, old.VM, old.DC)
	if err == nil {
		n.Place(x.ctx)
	}
	return err
}

func (x *experiment) recover() {
	kept := x.dead[:0]
	for _, holder := range x.dead {
		if _, err := x.f.Recover(x.ctx, x.cell.Deployment.DCs[1], holder, false); err != nil {
			kept = append(kept, holder)
		}
	}
	x.dead = kept
}

// arrive is one request of a caller.
func (x *experiment) arrive() {
	d := x.cell.Deployment
	team := x.pickTeam()
	worst := d.WorstMin + x.rng.Int64N(d.WorstMax-d.WorstMin+1)
	share := d.UsedMin + x.rng.Float64()*(d.UsedMax-d.UsedMin)
	last := time.Second + time.Duration(x.rng.Int64N(int64(3*time.Second)))
	n := x.pickNode(team)
	x.res.Requests++
	x.next++
	req, err := n.Serve(x.ctx, fmt.Sprint(x.next), budgetOf(team), worst)
	if err != nil {
		x.refused(n, team, worst)
		return
	}
	x.res.Served++
	x.reserved[team] += worst
	heap.Push(&x.ends, ending{at: x.f.Now.Add(last), order: x.next, team: team, worst: worst,
		used: int64(share * float64(worst)), req: req})
}

func (x *experiment) pickTeam() int {
	p := x.rng.Float64()
	for t, s := range teamShare {
		if p -= s; p < 0 {
			return t
		}
	}
	return teams - 1
}

// pickNode is the balancer: a live router of the caller's data centre.
func (x *experiment) pickNode(team int) *Node {
	dc := team % 3
	if x.rng.Float64() >= homeShare {
		dc = (dc + 1 + x.rng.IntN(2)) % 3
	}
	var live []*Node
	for _, n := range x.f.Nodes {
		if n.DC == x.cell.Deployment.DCs[dc] && !n.Dead {
			live = append(live, n)
		}
	}
	return live[x.rng.IntN(len(live))]
}

// refused judges a refusal by what the whole budget had left.
func (x *experiment) refused(n *Node, team int, worst int64) {
	left := x.credit[team] - x.used[team] - x.reserved[team]
	if left < worst {
		return
	}
	x.res.False++
	x.refusals[team]++
	if x.within(n, team) < worst {
		x.res.Far++
	}
}

// within is what the node's side of the cut has of a budget: what live holders of
// that side have at hand, and the free pool where the store is.
func (x *experiment) within(n *Node, team int) int64 {
	var have int64
	for _, m := range x.f.Nodes {
		if m.Dead || x.f.Side(m.DC) != x.f.Side(n.DC) {
			continue
		}
		for _, b := range m.Holder.State(x.f.Now) {
			if b.Budget == budgetOf(team) {
				have += b.Spendable
			}
		}
	}
	if x.f.Side(n.DC) == 0 {
		if a, err := x.f.Book().Get(x.ctx, budgetOf(team)); err == nil {
			have += a.Free()
		}
	}
	return have
}

// countLost looks at what is left now, after refusals.
func (x *experiment) countLost() {
	d := x.cell.Deployment
	mean := float64(d.WorstMin+d.WorstMax) / 2 * (d.UsedMin + d.UsedMax) / 2
	for t := range teams {
		left := float64(x.credit[t] - x.used[t] - x.reserved[t])
		x.res.Lost += min(x.refusals[t], int(left/mean))
		x.refusals[t] = 0
	}
}

func (x *experiment) finish() (Result, error) {
	x.countLost()
	calls := x.f.Store.Calls()
	x.res.Reads, x.res.Writes = calls.Reads, calls.Writes
	for t := range teams {
		a, err := x.f.Book().Get(x.ctx, budgetOf(t))
		if err != nil {
			return x.res, err
		}
		if err := a.Check(); err != nil {
			return x.res, errors.Join(err, fmt.Errorf("budget %s", budgetOf(t)))
		}
		x.res.Overspend += max(0, x.f.Served(budgetOf(t))-x.credit[t])
		x.res.Forfeited += a.Forfeited
		for _, h := range x.dead {
			if r := a.Rows[h]; r != nil {
				x.res.Stranded += r.Balance()
			}
		}
	}
	return x.res, nil
}
