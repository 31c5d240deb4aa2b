package prepaid

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/datacentre"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// regionDelay is how long a message between two regions takes to arrive.
const regionDelay = 8 * time.Millisecond

// regionFleet is a fleet of lenders and routers in data centres "REGION-1" and "REGION-2". All run in the test's process and in
// virtual time.
type regionFleet struct {
	t       *testing.T
	store   *memstore.Store
	regions map[string]string // of the settings

	mu     sync.Mutex
	byAddr map[string]*regionProcess
	// cut are the pairs of regions whose messages are lost in one direction, storeCut the regions without the store.
	cut      map[[2]string]bool
	storeCut map[string]bool
	messages map[string]int // by method, between regions
	limits   ReportedLimits
	// restarts counts how often all processes were restarted.
	restarts int
}

// regionProcess is one process of the fleet.
type regionProcess struct {
	*Budgets
	fleet  *regionFleet
	self   member.Member
	region string
	dead   bool
	// started is set once its tasks run.
	started bool
	tasks   *process.TaskGroup
	end     context.CancelFunc
	// served is what was used of its requests.
	served atomic.Int64
}

// nobody is the number of lenders of a region that the settings name and that has no processes.
const nobody = -1

// newRegionFleet starts a fleet with the number of lenders in each region, and one router in each.
func newRegionFleet(t *testing.T, lenders map[string]int) *regionFleet {
	f := &regionFleet{t: t, store: memstore.New(), regions: map[string]string{}, byAddr: map[string]*regionProcess{},
		cut: map[[2]string]bool{}, storeCut: map[string]bool{}, messages: map[string]int{}}
	for region := range lenders {
		for n := range 2 {
			f.regions[fmt.Sprint(region, "-", n+1)] = region
		}
	}
	for _, region := range sorted(lenders) {
		if lenders[region] == nobody {
			continue
		}
		for n := range lenders[region] {
			f.start(RoleLender, region, n)
		}
		f.start(RoleRouter, region, 0)
	}
	t.Cleanup(f.stop)
	f.list()
	time.Sleep(3 * time.Second) // witnesses are appointed
	return f
}

func sorted(m map[string]int) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (f *regionFleet) start(role, region string, n int) *regionProcess {
	vm := fmt.Sprint(role, "-", region, "-", n)
	p := &regionProcess{fleet: f, region: region}
	p.self = member.Member{ID: fmt.Sprintf("%s/%d", vm, f.restarts+1), Role: role, VM: vm, Datacentre: fmt.Sprint(region, "-", n%2+1), Address: vm + ":1"}
	s := settings.DefaultGateway().Budgets
	var limits Limits = &f.limits
	if role == RoleLender {
		s, limits = settings.DefaultLender().Budgets, &ReportedLimits{}
	}
	st := regionStore{f.store, p}
	group := &member.Group{Store: st, Prefix: "m/", TTL: time.Hour, Interval: time.Second, Report: nopReporter{}, Self: p.self}
	p.Budgets = New(Parts{Incarnation: p.self.ID, Settings: s, Store: st, Members: group, Links: regionLinks{p}, Limits: limits,
		LendsOnly: role == RoleLender, Topology: datacentre.Topology{Local: p.self.Datacentre, Regions: f.regions},
		Log: zerolog.Nop()})
	f.mu.Lock()
	f.byAddr[p.self.Address] = p
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	p.tasks, p.end = process.NewTaskGroup(ctx), cancel
	return p
}

func (f *regionFleet) stop() {
	for _, p := range f.all() {
		p.end()
	}
	for _, p := range f.all() {
		p.tasks.Wait()
		p.Stop(context.Background())
	}
	time.Sleep(time.Minute) // messages and admissions in flight have ended
}

func (f *regionFleet) all() []*regionProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*regionProcess
	for _, p := range f.byAddr {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *regionProcess) int { return strings.Compare(a.self.ID, b.self.ID) })
	return out
}

// list gives all processes that run the list of those that run, and starts the tasks of new ones. Regions that are
// named get no list.
func (f *regionFleet) list(except ...string) {
	var items []store.Item
	for i, p := range f.all() {
		if p.hasEnded() {
			continue
		}
		value, err := json.Marshal(p.self)
		require.NoError(f.t, err)
		items = append(items, store.Item{Key: "m/" + p.self.ID, Value: value, Revision: store.Revision(i + 1), Created: store.Revision(i + 1)})
	}
	for _, p := range f.all() {
		if p.hasEnded() || slices.Contains(except, p.region) {
			continue
		}
		p.members.Reset(items)
		if !p.started {
			p.started = true
			p.Start(p.tasks)
		}
	}
}

// kill ends a process without notice.
func (f *regionFleet) kill(p *regionProcess) {
	f.mu.Lock()
	p.dead = true
	f.mu.Unlock()
	p.end()
	p.tasks.Wait()
}

// restartAll ends all processes at the same moment without notice, and starts new incarnations a second later.
func (f *regionFleet) restartAll() {
	ended := f.all()
	for _, p := range ended {
		f.mu.Lock()
		p.dead = true
		f.mu.Unlock()
	}
	for _, p := range ended {
		f.kill(p)
	}
	time.Sleep(time.Second)
	f.restarts++
	for n, p := range ended {
		role, number := p.self.Role, n
		fmt.Sscanf(p.self.VM, p.self.Role+"-"+p.region+"-%d", &number)
		f.start(role, p.region, number)
	}
	f.list()
	time.Sleep(3 * time.Second) // dead lenders are settled, or are not
}

func (f *regionFleet) of(role, region string) (out []*regionProcess) {
	for _, p := range f.all() {
		if p.self.Role == role && p.region == region && !p.hasEnded() {
			out = append(out, p)
		}
	}
	return out
}

func (f *regionFleet) router(region string) *regionProcess { return f.of(RoleRouter, region)[0] }

// primary returns the primary of a team's page in a region, by the list that its router has.
func (f *regionFleet) primary(region, team string) *regionProcess {
	regions := f.router(region).regions.of(f.router(region).layout.Key(team))
	for _, r := range regions {
		if r.region == region {
			return f.byID(r.lenders[0].ID)
		}
	}
	f.t.Fatalf("region %s has no lender", region)
	return nil
}

// first returns the first lender of a team's page in the fleet.
func (f *regionFleet) first(team string) *regionProcess {
	r := f.all()[0]
	return f.byID(r.rankedLenders(r.layout.Key(team))[0].ID)
}

func (f *regionFleet) byID(id string) *regionProcess {
	for _, p := range f.all() {
		if p.self.ID == id {
			return p
		}
	}
	f.t.Fatalf("no process %s", id)
	return nil
}

// setCut loses messages from one region to another, or no longer.
func (f *regionFleet) setCut(from, to string, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from, to}] = lost
}

// isolate cuts a region from all others in both directions, or reconnects it.
func (f *regionFleet) isolate(region string, lost bool) {
	for _, p := range f.all() {
		if p.region != region {
			f.setCut(region, p.region, lost)
			f.setCut(p.region, region, lost)
		}
	}
}

// sent returns the number of messages between regions, by method.
func (f *regionFleet) sent() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.messages)
}

func (f *regionFleet) setStoreCut(region string, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeCut[region] = lost
}

func (f *regionFleet) isCut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[[2]string{from, to}]
}

// request makes one request for n tokens at a router and uses them all. It reports the error.
func (f *regionFleet) request(p *regionProcess, team string, n int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), p.wait)
	defer cancel()
	res, err := p.acquirer.Acquire(ctx, team, n)
	if err != nil {
		return err
	}
	p.holder.Settle(time.Now(), res, n)
	p.served.Add(n)
	return nil
}

// answers are the answers to the requests of one region.
type answers struct {
	served, exhausted, refused int
	// lastRefused is the time from the start to the last request that was not served.
	lastRefused time.Duration
}

// load makes a request for n tokens in each region at each interval, for a time.
func (f *regionFleet) load(lasts, interval time.Duration, team string, n int64, regions ...string) map[string]*answers {
	out := map[string]*answers{}
	var wg sync.WaitGroup
	for _, region := range regions {
		a, p := &answers{}, f.router(region)
		out[region] = a
		wg.Go(func() {
			began := time.Now()
			for time.Since(began) < lasts {
				at := time.Since(began)
				err := f.request(p, team, n)
				switch {
				case err == nil:
					a.served++
				case errors.Is(err, grant.ErrExhausted):
					a.exhausted++
					a.lastRefused = at
				default:
					a.refused++
					a.lastRefused = at
				}
				time.Sleep(interval)
			}
		})
	}
	wg.Wait()
	return out
}

// page returns a team's page as it is in the store.
func (f *regionFleet) page(team string) *account.Page {
	item, err := f.store.Get(context.Background(), f.all()[0].layout.Key(team))
	require.NoError(f.t, err)
	page, err := account.Decode(item.Value)
	require.NoError(f.t, err)
	return page
}

// requireWithin fails if more than the limit was used by all requests together.
func (f *regionFleet) requireWithin(limit int64) {
	var used int64
	for _, p := range f.all() {
		used += p.served.Load()
	}
	require.LessOrEqual(f.t, used, limit, "use of the whole budget")
}

// regionLinks sends the messages of one process.
type regionLinks struct{ from *regionProcess }

// Call implements lending.Caller.
func (l regionLinks) Call(ctx context.Context, addr, method string, params, result any) error {
	f := l.from.fleet
	f.mu.Lock()
	to := f.byAddr[addr]
	across := to != nil && to.region != l.from.region
	if across {
		f.messages[method]++
	}
	f.mu.Unlock()
	lost := func() error {
		<-ctx.Done()
		return link.Error.Wrap(joinedError{link.ErrDown, ctx.Err()})
	}
	if to == nil || f.isCut(l.from.region, to.region) || to.hasEnded() || l.from.hasEnded() {
		return lost()
	}
	if across {
		time.Sleep(regionDelay / 2)
	}
	in, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := to.Methods()[method](context.WithoutCancel(ctx), in)
	if across {
		time.Sleep(regionDelay / 2)
	}
	if f.isCut(to.region, l.from.region) || ctx.Err() != nil {
		return lost()
	}
	if err != nil || result == nil {
		return err
	}
	b, err := json.Marshal(out)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, result)
}

func (p *regionProcess) hasEnded() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.dead
}

// regionStore is the store as one process reaches it.
type regionStore struct {
	*memstore.Store
	process *regionProcess
}

func (s regionStore) lost(ctx context.Context) error {
	f := s.process.fleet
	f.mu.Lock()
	lost := f.storeCut[s.process.region] || s.process.dead
	f.mu.Unlock()
	if !lost {
		return nil
	}
	<-ctx.Done()
	return store.Error.Wrap(store.ErrUnknown)
}

// Get implements store.Store.
func (s regionStore) Get(ctx context.Context, key string) (store.Item, error) {
	if err := s.lost(ctx); err != nil {
		return store.Item{}, err
	}
	return s.Store.Get(ctx, key)
}

// StaleSnapshot implements store.Store.
func (s regionStore) StaleSnapshot(ctx context.Context, prefix string) ([]store.Item, error) {
	if err := s.lost(ctx); err != nil {
		return nil, err
	}
	return s.Store.StaleSnapshot(ctx, prefix)
}

// Snapshot implements store.Store.
func (s regionStore) Snapshot(ctx context.Context, prefix string) ([]store.Item, store.Revision, error) {
	if err := s.lost(ctx); err != nil {
		return nil, 0, err
	}
	return s.Store.Snapshot(ctx, prefix)
}

// CompareAndSwap implements store.Store.
func (s regionStore) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if err := s.lost(ctx); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

// take makes a lender take tokens of its own row from the page, up to an amount, and keeps them there.
func (f *regionFleet) take(p *regionProcess, team string, n int64) {
	own := &grant.Acquirer{Holder: p.holder, Now: time.Now, Chain: []grant.Granter{p.Budgets}}
	free := f.page(team).Accounts[team].Free() + p.holder.Available(team)
	ctx, cancel := context.WithTimeout(context.Background(), p.wait)
	defer cancel()
	res, err := own.Acquire(ctx, team, min(n, free))
	require.NoError(f.t, err)
	p.holder.Settle(time.Now(), res, 0)
}

// spend uses a router's region's tokens up, in requests of n.
func (f *regionFleet) spend(p *regionProcess, team string, n int64) {
	for f.primary(p.region, team).holder.Available(team) >= n {
		require.NoError(f.t, f.request(p, team, n))
	}
}

func defaultBudgets() settings.HostedBudgets { return settings.DefaultLender().Budgets }
