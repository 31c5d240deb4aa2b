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

// Deployment describes the load of a deployment: three data centres, two routers each,
// ten teams, three of them large.
type Deployment struct {
	Name string
	DCs  [3]string
	// Rate is the requests per second over all teams.
	Rate float64
	// ReservedMin and ReservedMax bound the tokens that a request reserves, UsedMin and
	// UsedMax the share of them that it uses.
	ReservedMin, ReservedMax int64
	UsedMin, UsedMax         float64
	Favour                   grant.DemandPolicy
}

// Deployments returns the two deployments that the policies are compared on.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "brekke", DCs: [3]string{"bergen", "alesund", "floro"}, Rate: 10,
			ReservedMin: 300, ReservedMax: 900, UsedMin: 0.1, UsedMax: 0.5, Favour: grant.FavourAvailability()},
		{Name: "lakeshore", DCs: [3]string{"cleveland", "detroit", "milwaukee"}, Rate: 10,
			ReservedMin: 200, ReservedMax: 4000, UsedMin: 0.3, UsedMax: 0.9, Favour: grant.FavourExactness()},
	}
}

// PolicyUnderTest is a policy to compare, with or without transfers between holders.
type PolicyUnderTest struct {
	Name      string
	Transfers bool
	Policy    func(Deployment) grant.Policy
}

// Parameters of the experiment. A crashed router restarts after restartAfter; recovery
// begins listLag after the crash, as the VM list shows it late. Lots idle for lotIdle are
// returned.
const (
	routersPerDC = 2
	holders      = 3 * routersPerDC
	teams        = 10
	restartAfter = 30 * time.Second
	listLag      = 30 * time.Second
	lotIdle      = 5 * time.Second
)

// Horizon is the simulated duration of a cell. The partition begins after a third of it,
// and the router crashes a twenty-fourth later.
const Horizon = 2 * time.Hour

func (c Cell) partitionAt() time.Duration { return c.Horizon / 3 }

func (c Cell) crashAt() time.Duration { return c.partitionAt() + c.Horizon/24 }

// teamShare is each team's share of the requests; the first three teams are large.
var teamShare = [teams]float64{0.25, 0.20, 0.15, 0.10, 0.08, 0.07, 0.05, 0.04, 0.03, 0.03}

// localShare is the share of a team's requests that arrive at its primary data centre.
const localShare = 0.6

// PoliciesUnderTest returns the baselines and the full policy, which is last.
func PoliciesUnderTest() []PolicyUnderTest {
	return []PolicyUnderTest{
		{Name: "store write a request", Policy: func(Deployment) grant.Policy { return grant.RequestPolicy{} }},
		{Name: "even split", Policy: func(Deployment) grant.Policy { return grant.EvenPolicy{N: holders} }},
		{Name: "demand, no transfer", Policy: func(d Deployment) grant.Policy { return d.Favour }},
		{Name: "full", Transfers: true, Policy: func(d Deployment) grant.Policy { return d.Favour }},
	}
}

// Cell is one combination of parameters of the experiment.
type Cell struct {
	Deployment Deployment
	Policy     PolicyUnderTest
	Horizon    time.Duration
	Partition  time.Duration
	// Budget is the ratio of credit to demand.
	Budget float64
	// RouterCrash makes one router crash during the partition.
	RouterCrash bool
	Seed        uint64
}

// Result is the result of one cell. Tokens are summed over all teams.
type Result struct {
	Requests int
	Served   int
	// Overspend is the tokens served in excess of the credits.
	Overspend int64
	// FalseRefusals counts the refusals although the budget covered the reservation, with
	// the reservations of running requests counted as spent. FalseOutOfReach counts those of them
	// where the caller's side of the partition did not have enough tokens.
	FalseRefusals, FalseOutOfReach int
	// LostRequests is an upper bound on the requests that an optimal placement of tokens would
	// have served in addition: the false refusals, but no more than the unspent
	// tokens would have covered.
	LostRequests int
	// Stranded is the tokens that dead holders still hold at the end, Forfeited those
	// that recovery forfeited.
	Stranded, Forfeited int64
	Reads, Writes       int64
}

// FalseRefusalsPer10k returns the false refusals per 10,000 requests.
func (r Result) FalseRefusalsPer10k() float64 {
	return 1e4 * float64(r.FalseRefusals) / float64(r.Requests)
}

// WritesPer100 returns the store writes per 100 requests.
func (r Result) WritesPer100() float64 { return 100 * float64(r.Writes) / float64(r.Requests) }

// experiment is the state of a running cell.
type experiment struct {
	cell        Cell
	ctx         context.Context
	f           *Fleet
	rng         *rand.Rand
	start       time.Time
	completions completionQueue
	res         Result

	credit        [teams]int64
	used          [teams]int64
	reserved      [teams]int64
	falseRefusals [teams]int // false refusals since the last countLost
	dead          []string
	requestSeq    int
}

// completion is the scheduled end of a request.
type completion struct {
	at       time.Time
	seq      int
	team     int
	reserved int64
	used     int64
	req      *Request
}

type completionQueue []completion

// Len implements heap.Interface.
func (q completionQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q completionQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

// Swap implements heap.Interface.
func (q completionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *completionQueue) Push(x any) { *q = append(*q, x.(completion)) }

// Pop implements heap.Interface.
func (q *completionQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func budgetName(team int) string { return fmt.Sprintf("team-%d/2026", team) }

// Run runs one cell. It must be called in a synctest bubble (virtual time).
func Run(ctx context.Context, c Cell) (Result, error) {
	x := &experiment{cell: c, ctx: ctx, rng: rand.New(rand.NewPCG(c.Seed, 1))}
	if err := x.setUp(); err != nil {
		return Result{}, err
	}
	if err := x.runEvents(); err != nil {
		return Result{}, err
	}
	return x.finish()
}

func (x *experiment) setUp() error {
	d := x.cell.Deployment
	x.f = New(Options{Pages: 2, Policy: func() grant.Policy { return x.cell.Policy.Policy(d) },
		Timing: grant.DefaultTiming(), Transfers: x.cell.Policy.Transfers, ExpectedHolders: holders})
	x.start = x.f.Now
	perRequest := float64(d.ReservedMin+d.ReservedMax) / 2 * (d.UsedMin + d.UsedMax) / 2
	for t := range teams {
		x.credit[t] = int64(x.cell.Budget * teamShare[t] * d.Rate * x.cell.Horizon.Seconds() * perRequest)
		if err := x.f.Accounts().Create(x.ctx, budgetName(t), fmt.Sprint("team-", t)); err != nil {
			return err
		}
		if err := x.f.Accounts().TopUp(x.ctx, budgetName(t), "first", x.credit[t]); err != nil {
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
			n.SyncAllPages(x.ctx)
		}
	}
	return nil
}

// runEvents advances the time from arrival to arrival, with a tick at each full second.
func (x *experiment) runEvents() error {
	second := 0
	for {
		gap := time.Duration(x.rng.ExpFloat64() / x.cell.Deployment.Rate * float64(time.Second))
		at := x.f.Now.Add(gap)
		for next := x.start.Add(time.Duration(second+1) * time.Second); !at.Before(next); next = next.Add(time.Second) {
			second++
			x.completeUntil(next)
			x.f.Now = next
			if err := x.tick(second); err != nil {
				return err
			}
		}
		x.completeUntil(at)
		x.f.Now = at
		if at.Sub(x.start) > x.cell.Horizon {
			return nil
		}
		x.handleArrival()
	}
}

// completeUntil ends the requests that are due at the given time.
func (x *experiment) completeUntil(until time.Time) {
	for len(x.completions) > 0 && !x.completions[0].at.After(until) {
		e := heap.Pop(&x.completions).(completion)
		x.f.Now = e.at
		x.reserved[e.team] -= e.reserved
		x.used[e.team] += e.used
		e.req.Finish(e.used)
	}
}

func (x *experiment) tick(second int) error {
	since := time.Duration(second) * time.Second
	switch {
	case x.cell.Partition > 0 && since == x.cell.partitionAt():
		x.f.Partition(x.cell.Deployment.DCs[2])
	case x.cell.Partition > 0 && since == x.cell.partitionAt()+x.cell.Partition:
		x.f.Heal()
		x.countLost()
	case x.cell.RouterCrash && since == x.cell.crashAt():
		x.crashRouter()
	case x.cell.RouterCrash && since == x.cell.crashAt()+restartAfter:
		if err := x.restartRouter(); err != nil {
			return err
		}
	}
	for i, n := range x.f.Nodes {
		n.Sync(x.ctx)
		n.ReturnLots(lotIdle)
		if second%60 == i && !n.Dead {
			n.ReclaimLostLots()
		}
		if second%60 == 30+i && !n.Dead && !n.Paused {
			n.SyncAllPages(x.ctx)
		}
	}
	if second%10 == 0 && since > x.cell.crashAt()+listLag {
		x.recover()
	}
	return nil
}

// crashRouter crashes a router in the first data centre.
func (x *experiment) crashRouter() {
	n := x.f.Nodes[0]
	n.Dead = true
	x.dead = append(x.dead, n.Holder.ID())
}

func (x *experiment) restartRouter() error {
	old := x.f.Nodes[0]
	n, err := x.f.AddNode(x.ctx, old.VM, old.DC)
	if err == nil {
		n.SyncAllPages(x.ctx)
	}
	return err
}

func (x *experiment) recover() {
	unrecovered := x.dead[:0]
	for _, holder := range x.dead {
		if _, err := x.f.Recover(x.ctx, x.cell.Deployment.DCs[1], holder, false); err != nil {
			unrecovered = append(unrecovered, holder)
		}
	}
	x.dead = unrecovered
}

// handleArrival generates and serves one request.
func (x *experiment) handleArrival() {
	d := x.cell.Deployment
	team := x.pickTeam()
	tokens := d.ReservedMin + x.rng.Int64N(d.ReservedMax-d.ReservedMin+1)
	share := d.UsedMin + x.rng.Float64()*(d.UsedMax-d.UsedMin)
	duration := time.Second + time.Duration(x.rng.Int64N(int64(3*time.Second)))
	n := x.pickNode(team)
	x.res.Requests++
	x.requestSeq++
	req, err := n.Serve(x.ctx, fmt.Sprint(x.requestSeq), budgetName(team), tokens)
	if err != nil {
		x.recordRefusal(n, team, tokens)
		return
	}
	x.res.Served++
	x.reserved[team] += tokens
	heap.Push(&x.completions, completion{at: x.f.Now.Add(duration), seq: x.requestSeq, team: team, reserved: tokens,
		used: int64(share * float64(tokens)), req: req})
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

// pickNode picks a random live router in the caller's data centre, as a load balancer
// does.
func (x *experiment) pickNode(team int) *Node {
	dc := team % 3
	if x.rng.Float64() >= localShare {
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

// recordRefusal counts a refusal as false if the whole budget covered the request.
func (x *experiment) recordRefusal(n *Node, team int, tokens int64) {
	left := x.credit[team] - x.used[team] - x.reserved[team]
	if left < tokens {
		return
	}
	x.res.FalseRefusals++
	x.falseRefusals[team]++
	if x.availableFrom(n, team) < tokens {
		x.res.FalseOutOfReach++
	}
}

// availableFrom returns the tokens of a budget on the node's side of the partition: those
// spendable by live holders there, and the free pool if the store is on that side.
func (x *experiment) availableFrom(n *Node, team int) int64 {
	var available int64
	for _, m := range x.f.Nodes {
		if m.Dead || x.f.Side(m.DC) != x.f.Side(n.DC) {
			continue
		}
		for _, b := range m.Holder.State(x.f.Now) {
			if b.Budget == budgetName(team) {
				available += b.Spendable
			}
		}
	}
	if x.f.Side(n.DC) == 0 {
		if a, err := x.f.Accounts().Get(x.ctx, budgetName(team)); err == nil {
			available += a.Free()
		}
	}
	return available
}

// countLost adds to Lost the false refusals since the last call that the tokens left now
// would have covered.
func (x *experiment) countLost() {
	d := x.cell.Deployment
	mean := float64(d.ReservedMin+d.ReservedMax) / 2 * (d.UsedMin + d.UsedMax) / 2
	for t := range teams {
		left := float64(x.credit[t] - x.used[t] - x.reserved[t])
		x.res.LostRequests += min(x.falseRefusals[t], int(left/mean))
		x.falseRefusals[t] = 0
	}
}

func (x *experiment) finish() (Result, error) {
	x.countLost()
	calls := x.f.Store.Calls()
	x.res.Reads, x.res.Writes = calls.Reads, calls.Writes
	for t := range teams {
		a, err := x.f.Accounts().Get(x.ctx, budgetName(t))
		if err != nil {
			return x.res, err
		}
		if err := a.Check(); err != nil {
			return x.res, errors.Join(err, fmt.Errorf("budget %s", budgetName(t)))
		}
		x.res.Overspend += max(0, x.f.Served(budgetName(t))-x.credit[t])
		x.res.Forfeited += a.Forfeited
		for _, h := range x.dead {
			if r := a.Rows[h]; r != nil {
				x.res.Stranded += r.Balance()
			}
		}
	}
	return x.res, nil
}
