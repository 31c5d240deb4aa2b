package hosted

import (
	"context"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/mirror"
	"github.com/arbutusmill/arbutusmill/coord/relay"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/prepaid"
	"github.com/arbutusmill/arbutusmill/settings"
)

const (
	// memberWait and memberPause are those of the watches of members. A view of them that is
	// seconds old does no harm, and when a fleet starts each of them would end a waiting call.
	memberWait  = 3 * time.Second
	memberPause = time.Second
	// staleSlack is what a waiting call of the store may take beyond its wait before a relay
	// says that it has lost the store: a store that is slow by a factor of 100 answers in it.
	staleSlack = 500 * time.Millisecond
	// processesPerRelay is how many processes one relay is for. On the VM of an upstream, with
	// a third of a core, their questions take a hundredth of it.
	processesPerRelay = 100
	// mostFollowers is how many a relay takes: those of two relays, when one of them ends.
	mostFollowers = 2*processesPerRelay + processesPerRelay/2
	// mostRelays is how many relays a process turns to before it asks the store itself. Each
	// one that is silent takes half a second of the time in which changes are to be in force.
	mostRelays = 2
	// probeTimeout bounds the question whether the store answers this process.
	probeTimeout = 300 * time.Millisecond
	// ownHub is the name of this process's own hub among the sources.
	ownHub = "store"
)

// newHub makes the process a relay for whoever asks it.
func (b *Base) newHub(s settings.HostedStore) *relay.Hub {
	return &relay.Hub{
		Store: s.Address,
		Prefixes: []relay.Prefix{
			followed(platform.OperatorPrefix, b.Store),
			followed(platform.UpstreamPrefix, b.Store),
			followed(memberPrefix, patient(b.Store)),
		},
		MaxFollowers: mostFollowers,
		Now:           time.Now,
	}
}

func followed(prefix string, s *platform.Store) relay.Prefix {
	return relay.Prefix{Name: prefix, Store: s, StaleAfter: s.WatchWait + s.WatchPause + staleSlack}
}

// patient is a store whose watches make fewer calls, for what need not be known at once.
func patient(s *platform.Store) *platform.Store {
	other := *s
	other.WatchWait, other.WatchPause = memberWait, memberPause
	return &other
}

// newFollower follows the members and what else the process reads.
func (b *Base) newFollower(address string, readers map[string]mirror.Reader) *relay.Follower {
	all := map[string]mirror.Reader{memberPrefix: b.Members}
	for prefix, r := range readers {
		all[prefix] = r
	}
	return &relay.Follower{Store: address, Readers: all, Sources: b.sources, Report: b, Now: time.Now}
}

// sources lists the relays for this process, made anew when the members have changed. Only the
// follower's goroutine calls it.
func (b *Base) sources() []relay.Source {
	if v := b.Members.Version(); b.relays == nil || v != b.relaysOf {
		b.relays, b.relaysOf = b.findRelays(), v
	}
	return b.relays
}

// findRelays returns the relays for this process, and its own hub at last, or in its place if
// it is one of those relays.
func (b *Base) findRelays() []relay.Source {
	candidates := b.relayCandidates()
	var out []relay.Source
	for _, vm := range b.orderRelays(candidates) {
		if vm == b.Members.Self.VM {
			return append(out, relay.Source{Name: ownHub, Follow: b.Hub.Follow})
		}
		out = append(out, b.remote(candidates[vm]))
	}
	own := relay.Source{Name: ownHub, Follow: b.Hub.Follow}
	if len(out) > 0 {
		own.Usable = b.storeAnswers
	}
	return append(out, own)
}

// orderRelays lists the VMs of the relays for this process, best first: those of its own data
// centre before others, since each change goes to each follower and bytes between data centres are
// paid for.
func (b *Base) orderRelays(candidates map[string]member.Member) []string {
	var near, far []string
	for vm, m := range candidates {
		if m.Datacentre == b.Members.Self.Datacentre {
			near = append(near, vm)
		} else {
			far = append(far, vm)
		}
	}
	here := 0
	for _, m := range b.Members.Members() {
		if m.Datacentre == b.Members.Self.Datacentre {
			here++
		}
	}
	order := relay.RankRelays(b.Members.Self.VM, near, here, processesPerRelay, mostRelays)
	rest := relay.RankRelays(b.Members.Self.VM, far, len(b.Members.Members()), processesPerRelay, mostRelays-len(order))
	return append(order, rest...)
}

// relayCandidates are the processes beside upstreams, whose VMs reach the store while routers
// are cut off and have the stronger links; without those, the routers on strong VMs.
func (b *Base) relayCandidates() map[string]member.Member {
	if lenders := b.Members.Newest(prepaid.RoleLender); len(lenders) > 0 {
		return lenders
	}
	routers := b.Members.Newest(prepaid.RoleRouter)
	strong := map[string]member.Member{}
	for vm, m := range routers {
		if m.CanRelay {
			strong[vm] = m
		}
	}
	if len(strong) > 0 {
		return strong
	}
	return routers
}

func (b *Base) remote(m member.Member) relay.Source {
	return relay.Source{Name: m.VM, Follow: func(ctx context.Context, r relay.Request) (out relay.Reply, err error) {
		if err = b.Links.Call(ctx, m.Address, link.MethodFollow, r, &out); err != nil {
			return out, err
		}
		return out, out.Unpack()
	}}
}

// storeAnswers asks the store for something that costs it little. A process that no relay can
// serve turns to the store only if that answers: while it is away for all, hundreds of
// processes would ask it for all keys again and again.
func (b *Base) storeAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := b.Store.StaleSnapshot(ctx, memberPrefix+"none")
	return err == nil
}

// follow finds the other members and follows what changes until the context ends.
func (b *Base) follow(ctx context.Context) {
	b.Members.FindPeers(ctx)
	b.Follower.Run(ctx)
}

// SourceChanged implements relay.Reporter.
func (b *Base) SourceChanged(source string, why error) {
	b.Log.Info().Str("source", source).AnErr("left", why).Msg("changes_followed_at")
}

// SourceRefused implements relay.Reporter.
func (b *Base) SourceRefused(source string, why error) {
	b.Log.Warn().Err(why).Str("source", source).Msg("answer_of_relay_refused")
}
