package hosted

import (
	"context"
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/relay"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/settings"
)

const (
	// memberWait and memberPause are the wait and pause of watches of members, whose changes are not urgent. A member list that
	// is seconds old is harmless, and when a fleet starts each new member would end a waiting call.
	memberWait  = 3 * time.Second
	memberPause = time.Second
	// staleSlack is how much longer than its wait a watch call may take before a relay reports the
	// store as unreachable: a store that is slow by a factor of 100 still answers within it.
	staleSlack = 500 * time.Millisecond
	// overdueSlack is how much longer than its wait a watch call may take before followers ask another
	// relay too.
	overdueSlack = 200 * time.Millisecond
	// processesPerRelay is how many processes one relay serves. On the VM of an upstream, with
	// a third of a core, their requests take a hundredth of it.
	processesPerRelay = 100
	// maxFollowers is how many followers a relay accepts: those of two relays, for when one ends.
	maxFollowers = 2*processesPerRelay + processesPerRelay/2
	// membersSettled is how long the members must not have changed before other relays are chosen: longer
	// than the time between two changes that a relay reports while a fleet starts. maxRelayAge is how
	// long a choice stays while they change all the time: a fleet that grows needs more relays.
	membersSettled = 2 * time.Second
	maxRelayAge    = 10 * time.Second
	// maxRelays is how many relays a process tries before it calls the store itself. Each one that
	// does not answer takes half a second of the time within which changes must be active.
	maxRelays = 2
	// probeTimeout bounds the probe of whether the store answers this process, beside the process's own delay.
	probeTimeout = 300 * time.Millisecond
	// probeTurns is how many messages to this process the probe may take: one to open a connection, and the reply.
	probeTurns = 2
	// ownHub is the name of this process's own hub among the sources.
	ownHub = "store"
)

// newHub returns the hub through which this process relays the store's changes to others.
func (b *Base) newHub(s settings.HostedStore) *relay.Hub {
	return &relay.Hub{
		Store: s.Address,
		Prefixes: []relay.Prefix{
			relayPrefix(platform.OperatorPrefix, b.Store),
			relayPrefix(platform.UpstreamPrefix, b.Store),
			relayPrefix(memberPrefix, b.Store.WithWatches(memberWait, memberPause)),
		},
		MaxFollowers: maxFollowers,
		Now:          time.Now,
	}
}

func relayPrefix(prefix string, s *platform.Store) relay.Prefix {
	answered := s.WatchWait + s.WatchPause
	return relay.Prefix{Name: prefix, Store: s, StaleAfter: answered + staleSlack, OverdueAfter: answered + overdueSlack}
}

// newFollower returns a follower of the members and of the process's other readers.
func (b *Base) newFollower(address string, readers map[string]mirror.Reader) *relay.Follower {
	all := map[string]mirror.Reader{memberPrefix: b.Members}
	for prefix, r := range readers {
		all[prefix] = r
	}
	return &relay.Follower{Store: address, Readers: all, Sources: b.sources, Report: b, Now: time.Now}
}

// sources lists the relays for this process. Only the follower's goroutine calls it.
//
// While members join one after the other, each new one may rank first. Processes that moved to it at once
// would find a relay that has read nothing yet, and each such relay reads and follows the whole store.
// So the list is recomputed once the members have not changed for a while, or at once if one of
// its relays is gone or it has none.
func (b *Base) sources() []relay.Source {
	now, version := time.Now(), b.Members.Version()
	if version != b.seenVersion {
		b.seenVersion, b.seenSince = version, now
	}
	if b.relaySources == nil || version != b.relaySourcesVersion && b.relaysOutdated(now) {
		b.relaySources, b.relaySourcesVersion, b.relaySourcesSince = b.findRelaySources(), version, now
	}
	return b.relaySources
}

// relaysOutdated reports whether relays are chosen anew now that the members have changed.
func (b *Base) relaysOutdated(now time.Time) bool {
	switch {
	case now.Sub(b.seenSince) >= membersSettled, now.Sub(b.relaySourcesSince) >= maxRelayAge:
		return true
	case len(b.relaySources) <= 1:
		return true
	}
	return b.lostRelay()
}

// lostRelay reports whether the process of a relay among the sources is no longer listed.
func (b *Base) lostRelay() bool {
	listed := map[string]bool{ownHub: true}
	for _, m := range b.Members.Members() {
		listed[m.VM] = true
	}
	return slices.ContainsFunc(b.relaySources, func(s relay.Source) bool { return !listed[s.Name] })
}

// findRelaySources returns the relays for this process, followed by its own hub. If this process is
// one of those relays, its own hub takes its rank and ends the list. In a fleet of several regions a relay of another
// region follows.
func (b *Base) findRelaySources() []relay.Source {
	candidates := b.relayCandidates()
	if !b.Topology.SpansRegions() {
		return b.sourcesOf(b.rankRelays(candidates), candidates)
	}
	relays := b.rankRegionalRelays(candidates)
	out := b.sourcesOf(relays.near, candidates)
	if relays.far != "" {
		out = append(out, relay.Source{Name: relays.far, Follow: b.followAcross(candidates[relays.far], storeNotReachedHere)})
	}
	return out
}

// sourcesOf returns the sources of ranked VMs and this process's own hub.
func (b *Base) sourcesOf(ranked []string, candidates map[string]member.Member) []relay.Source {
	var out []relay.Source
	for _, vm := range ranked {
		if vm == b.Members.Self.VM {
			return append(out, relay.Source{Name: ownHub, Follow: b.Hub.Follow})
		}
		out = append(out, b.remoteSource(candidates[vm]))
	}
	own := relay.Source{Name: ownHub, Follow: b.Hub.Follow}
	if len(out) > 0 {
		own.Usable = b.storeReachable
	}
	return append(out, own)
}

// rankRelays lists the VMs of the relays for this process, best first: those of its own data
// centre before others, since each change goes to each follower and traffic between data centres
// is billed.
func (b *Base) rankRelays(candidates map[string]member.Member) []string {
	var near, far []string
	for vm, m := range candidates {
		if m.Datacentre == b.Members.Self.Datacentre {
			near = append(near, vm)
		} else {
			far = append(far, vm)
		}
	}
	localMembers := 0
	for _, m := range b.Members.Members() {
		if m.Datacentre == b.Members.Self.Datacentre {
			localMembers++
		}
	}
	ranked := relay.RankRelays(b.Members.Self.VM, near, localMembers, processesPerRelay, maxRelays)
	rest := relay.RankRelays(b.Members.Self.VM, far, len(b.Members.Members()), processesPerRelay, maxRelays-len(ranked))
	return append(ranked, rest...)
}

// relayCandidates returns the lenders, whose VMs reach the store while routers are partitioned
// from it and have faster links; without lenders, the routers that can relay, or else all routers.
func (b *Base) relayCandidates() map[string]member.Member {
	if lenders := b.Members.Newest(prepaid.RoleLender); len(lenders) > 0 {
		return lenders
	}
	routers := b.Members.Newest(prepaid.RoleRouter)
	capable := map[string]member.Member{}
	for vm, m := range routers {
		if m.CanRelay {
			capable[vm] = m
		}
	}
	if len(capable) > 0 {
		return capable
	}
	return routers
}

func (b *Base) remoteSource(m member.Member) relay.Source {
	if b.Topology.Crosses(b.Topology.Local, m.Datacentre) {
		return relay.Source{Name: m.VM, Follow: b.followAcross(m, noRelayHere)}
	}
	return relay.Source{Name: m.VM, Follow: func(ctx context.Context, r relay.Request) (out relay.Reply, err error) {
		if err = b.Links.Call(ctx, m.Address, link.MethodFollow, r, &out); err != nil {
			return out, err
		}
		return out, out.Unpack()
	}}
}

// storeReachable probes the store with a cheap read. A process that no relay can serve calls the
// store only if the probe succeeds: during an outage of the store, hundreds of processes would
// otherwise keep requesting all keys from it. delay is how much longer than usual messages take to this process.
func (b *Base) storeReachable(ctx context.Context, delay time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, min(probeTimeout+probeTurns*delay, max(probeTimeout, b.Store.Timeout)))
	defer cancel()
	_, err := b.Store.StaleSnapshot(ctx, memberPrefix+"none")
	return err == nil
}

// follow finds the other members and follows changes until the context ends.
func (b *Base) follow(ctx context.Context) {
	b.Members.FindPeers(ctx)
	b.Follower.Run(ctx)
}

// SourceChanged implements relay.Reporter.
func (b *Base) SourceChanged(source string, reason error) {
	if source != ownHub {
		b.Hub.ReleaseLocal()
	}
	line := b.Log.Info().Str("source", source).AnErr("left", reason)
	if region := b.crossedRegion(source); region != "" {
		line = line.Str("region", region)
	}
	line.Msg("changes_followed_at")
}

// SourceFailed implements relay.Reporter. A source is not polled for a second after it failed, so the lines are few.
func (b *Base) SourceFailed(source string, reason error, took time.Duration) {
	b.Log.Info().Str("source", source).Err(reason).Int64("took_ms", took.Milliseconds()).
		Int64("view_age_ms", b.FollowedAge().Milliseconds()).Msg("source_failed")
}

// SourceRefused implements relay.Reporter.
func (b *Base) SourceRefused(source string, reason error) {
	b.Log.Warn().Err(reason).Str("source", source).Msg("answer_of_relay_refused")
}

// Restored implements relay.Reporter.
func (b *Base) Restored(era store.Era) { b.Store.ObserveEra(era) }

// SourceBehind implements relay.Reporter.
func (b *Base) SourceBehind(source string, has, want store.Revision) {
	b.Log.Warn().Str("source", source).Int64("revision", has.Number()).Int64("era", int64(has.Era())).
		Int64("own_revision", want.Number()).Int64("own_era", int64(want.Era())).Msg("source_behind")
}
