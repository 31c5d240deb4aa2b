// Package hosted implements what the processes on the operators' platform have in common: a name
// for each incarnation, a network, the store, the other members, and prepaid budgets.
package hosted

import (
	"context"
	"crypto/rand"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/relay"
	"github.com/arbutusmill/arbutusmill/datacentre"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/observe"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/process"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/rs/zerolog"
)

// memberPrefix begins the keys of the members' entries in the store.
const memberPrefix = "arbutusmill/member/"

const (
	// incarnationSuffixLen is the length of the random part of an incarnation's name: 40 bits.
	incarnationSuffixLen = 8
	// linkHeartbeat and linkDialTimeout detect broken connections between members.
	linkHeartbeat   = time.Second
	linkDialTimeout = 400 * time.Millisecond
	// adminHeaderTimeout bounds the wait for the headers of an operator's request.
	adminHeaderTimeout = 10 * time.Second
	// storeDialTimeout bounds the start of a connection to the store.
	storeDialTimeout = time.Second
	// storeIdleConns bounds the idle connections to the store: two watches, the
	// lease and a few concurrent calls.
	storeIdleConns = 8
)

// internalSecurity is the security of control messages: only the system's own VMs can reach
// the platform's internal ports.
var internalSecurity = link.Security{TrustedNetwork: true}

// Parts are the settings and dependencies of a Base.
type Parts struct {
	// Role is prepaid.RoleRouter or prepaid.RoleLender.
	Role string
	VM   string
	// Topology has the data centre of the process and its distances from others.
	Topology datacentre.Topology
	// Link is the address (host:port) for control messages of other members.
	Link string
	// UpstreamAddress is the address of the upstream on the same VM, "" if there is none.
	UpstreamAddress string
	// Methods are the handlers of messages of other members in addition to those of the
	// budgets; it may be nil.
	Methods map[string]link.Handler
	// Readers receive the store's keys under their prefixes.
	Readers map[string]mirror.Reader
	// CanRelay is set if the VM has the resources to relay the store's changes.
	CanRelay bool
	// Queueing makes requests wait for tokens that are reserved.
	Queueing bool
	// OnRestored, if set, is called when the store was restored from an older copy. It must not block.
	OnRestored func()
	// MemoryMB is the memory (MiB) that the process may use.
	MemoryMB int
	Store    settings.HostedStore
	Budgets  settings.HostedBudgets
	Limits   prepaid.Limits
	Network  Network
	Log      zerolog.Logger
	// LogDropped returns the number of lines that the log writer dropped.
	LogDropped func() uint64
}

// Base is the common part of a process.
type Base struct {
	// Incarnation names this incarnation of the process.
	Incarnation string
	// Topology has the distance of the process from each data centre.
	Topology datacentre.Topology
	Log      zerolog.Logger
	Network  Network
	Store    *platform.Store
	Members  *member.Group
	Links    *link.Pool
	Budgets  *prepaid.Budgets
	// Hub relays the store's changes to other processes; Follower follows relays.
	Hub      *relay.Hub
	Follower *relay.Follower
	Admin    *observe.Admin
	Metrics  *metrics.Set

	methods    map[string]link.Handler
	onRestored func()
	// relaySources are the relays for the follower, computed from relaySourcesVersion of the members at
	// relaySourcesSince.
	relaySources        []relay.Source
	relaySourcesVersion uint64
	relaySourcesSince   time.Time
	// seenVersion is the last version of the members, seenSince the time since which it is current.
	seenVersion uint64
	seenSince   time.Time
	// eraProblems holds the names of the calls of which a problem with the store's era was logged.
	eraProblems sync.Map
	// memberEntries is the store's list of members, ownEntry this process's entry in it.
	memberEntries, ownEntry Dependency
}

// New returns the common part of a process; it makes no calls to other processes.
func New(p Parts) *Base {
	b := &Base{
		Incarnation: p.VM + "/" + rand.Text()[:incarnationSuffixLen],
		Topology:    p.Topology,
		Network:     p.Network,
		Admin:       &observe.Admin{},
		methods:     p.Methods,
		onRestored:  p.OnRestored,
	}
	b.Metrics = b.newMetrics(p.LogDropped)
	b.Admin.Metrics = b.Metrics
	b.Log = p.Log.With().Str("life", b.Incarnation).Logger()
	b.Store = newStore(p.Store, p.Network)
	b.Store.OnCallEnd, b.Store.Eras, b.Store.OnTooLong = b.recordStoreCall, b, b.listingTooLong
	b.Store.Listings = newListingMemory(p.MemoryMB)
	b.Members = &member.Group{
		Store:    b.Store,
		Prefix:   memberPrefix,
		TTL:      time.Duration(p.Store.MemberTTL),
		Interval: time.Duration(p.Store.MemberInterval),
		Report:   b,
		Self:     member.Member{ID: b.Incarnation, Role: p.Role, VM: p.VM, Datacentre: p.Topology.Local, Address: p.Link, UpstreamAddress: p.UpstreamAddress, CanRelay: p.CanRelay},
	}
	b.Hub = b.newHub(p.Store)
	b.Follower = b.newFollower(p.Store.Address, p.Readers)
	b.Links = &link.Pool{From: b.Incarnation, Security: internalSecurity, Heartbeat: linkHeartbeat, DialTimeout: linkDialTimeout,
		Log: b.Log.Printf, Dial: p.Network.Dial, OnTooLong: b.messageTooLong}
	b.Budgets = prepaid.New(prepaid.Parts{Incarnation: b.Incarnation, Settings: p.Budgets, Store: b.Store, Members: b.Members, Era: b.Store.Era, ObserveEra: b.Store.ObserveEra,
		Links: b.Links, Limits: p.Limits, LendsOnly: p.Role == prepaid.RoleLender, Topology: b.budgetTopology(p.Budgets), Queueing: p.Queueing, Metrics: b.Metrics, Log: b.Log})
	return b
}

// budgetTopology returns the regions that the budgets are divided by: none unless the settings say so.
func (b *Base) budgetTopology(s settings.HostedBudgets) datacentre.Topology {
	if !s.Regional {
		return datacentre.Topology{Local: b.Topology.Local}
	}
	return b.Topology
}

func newStore(s settings.HostedStore, n Network) *platform.Store {
	return &platform.Store{
		Address: s.Address,
		Client: &http.Client{
			Transport:     bounded.Transport(&http.Transport{DialContext: n.DialTimeout(storeDialTimeout), MaxIdleConnsPerHost: storeIdleConns}),
			CheckRedirect: bounded.KeepRedirects,
		},
		Timeout:    time.Duration(s.Timeout),
		WatchWait:  time.Duration(s.WatchWait),
		WatchPause: time.Duration(s.WatchPause),
	}
}

// Serve starts the servers for operators (health, metrics, dumps) and for control messages
// of other members.
func (b *Base) Serve(tasks *process.TaskGroup, admin, links net.Listener) {
	tasks.Serve(&http.Server{Handler: b.Admin.Handler(), ReadHeaderTimeout: adminHeaderTimeout}, admin, nil)
	methods := b.Budgets.Methods()
	maps.Copy(methods, b.methods)
	methods[link.MethodFollow] = link.Handle(b.Hub.Serve)
	for name, h := range methods {
		methods[name] = b.instrumented(name, h)
	}
	s := &link.Server{Security: internalSecurity, Heartbeat: linkHeartbeat, Log: b.Log.Printf, Methods: methods, OnTooLong: b.messageTooLong}
	tasks.Go(func(ctx context.Context) { s.Serve(ctx, links) })
}

// Start starts a goroutine for each background task of the common part.
func (b *Base) Start(tasks *process.TaskGroup) {
	tasks.Go(b.Members.KeepAlive)
	tasks.Go(b.Hub.Run)
	tasks.Go(b.follow)
	b.Budgets.Start(tasks)
}

// leaveReserve is the part of the time for leaving that is reserved for the end of the membership:
// otherwise the wait for tokens that cannot be returned, since their lender is gone, takes all of it.
const leaveReserve = 150 * time.Millisecond

// Leave returns unused tokens and ends the membership. It is the last step of a planned stop.
func (b *Base) Leave(ctx context.Context) {
	b.Hub.Stop()
	returnCtx, cancel := ctx, context.CancelFunc(func() {})
	if deadline, ok := ctx.Deadline(); ok {
		returnCtx, cancel = context.WithDeadline(ctx, deadline.Add(-leaveReserve))
	}
	defer cancel()
	if err := b.Budgets.ReturnTokens(returnCtx); err != nil {
		b.Log.Warn().Err(err).Msg("tokens_not_given_back")
	}
	var announced sync.WaitGroup
	defer announced.Wait()
	announced.Go(func() { b.Budgets.AnnounceEnd(ctx) })
	if err := b.Members.Leave(ctx); err != nil {
		b.Log.Warn().Err(err).Msg("lease_not_ended")
	}
}

// MembersChanged implements member.Reporter.
func (b *Base) MembersChanged(count int) {
	b.Log.Info().Int("members", count).Msg("members_changed")
}

// MembersLost implements member.Reporter.
func (b *Base) MembersLost(err error) { b.memberEntries.RecordFailure(b.Log, "members", err) }

// MembersRead implements member.Reporter.
func (b *Base) MembersRead() { b.memberEntries.RecordSuccess(b.Log, "members") }

// NotRegistered implements member.Reporter.
func (b *Base) NotRegistered(err error) { b.ownEntry.RecordFailure(b.Log, "own_entry", err) }

// Registered implements member.Reporter.
func (b *Base) Registered() { b.ownEntry.RecordSuccess(b.Log, "own_entry") }

// MemberUnreadable implements member.Reporter.
func (b *Base) MemberUnreadable(err error) {
	b.RecordUnreadable("members")
	b.Log.Error().Err(err).Msg("member_unreadable")
}

// RecordUnreadable counts an entry of the store that cannot be decoded.
func (b *Base) RecordUnreadable(of string) {
	b.Metrics.GetOrCreateCounter(fmt.Sprintf("arbutusmill_unreadable_entries_total{of=%q}", of)).Inc()
}

func (b *Base) listingTooLong(err error) { b.RecordTooLong("store", err) }

func (b *Base) messageTooLong(err error) { b.RecordTooLong("process", err) }

// RecordTooLong counts and logs an error due to a response of the store or the upstream, or a control message, beyond a limit of package bounded;
// it ignores others.
func (b *Base) RecordTooLong(from string, err error) {
	if !bounded.IsTooLong(err) {
		return
	}
	b.Metrics.GetOrCreateCounter(fmt.Sprintf("arbutusmill_too_long_responses_total{from=%q}", from)).Inc()
	b.Log.Error().Str("from", from).Err(err).Msg("response_too_long")
}
