package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// outboxPeers records what an outbox sends. Peers in down do not reply.
type outboxPeers struct {
	mu        sync.Mutex
	down      map[string]bool
	received  map[string][]poison.Prompt
	unreached []poison.Prompt
	overflows int
	// duringSend is called in each call.
	duringSend func()
}

func (o *outboxPeers) send(_ context.Context, _, peer string, batch []pendingPrompt) bool {
	if o.duringSend != nil {
		o.duringSend()
	}
	time.Sleep(time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down[peer] {
		return false
	}
	for _, p := range batch {
		o.received[peer] = append(o.received[peer], p.prompt)
	}
	return true
}

func (o *outboxPeers) setDown(peer string, down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down[peer] = down
}

func (o *outboxPeers) of(peer string) []poison.Prompt {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.received[peer])
}

// countPending returns the number of prompts that an outbox holds for a peer, -1 if it is none.
func countPending(o *promptOutbox, peer string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.peers[peer] == nil {
		return -1
	}
	return len(o.peers[peer].pending)
}

func (o *outboxPeers) unreachedPrompts() []poison.Prompt {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.unreached)
}

// withOutbox runs a test with an outbox whose peers are a and b.
func withOutbox(t *testing.T, test func(t *testing.T, o *promptOutbox, peers *outboxPeers)) {
	virtualtime.Test(t, func(t *testing.T) {
		peers := &outboxPeers{down: map[string]bool{}, received: map[string][]poison.Prompt{}}
		o := &promptOutbox{maxBatch: 10, slots: make(chan struct{}, 4), wake: make(chan struct{}, 1), refresh: func() {},
			list: func() []poison.Prompt { return []poison.Prompt{"listed-1", "listed-2"} }, send: peers.send,
			unreached: func(_ string, prompts []pendingPrompt) {
				peers.mu.Lock()
				defer peers.mu.Unlock()
				for _, p := range prompts {
					peers.unreached = append(peers.unreached, p.prompt)
				}
			},
			overflowed: func() {
				peers.mu.Lock()
				defer peers.mu.Unlock()
				peers.overflows++
			}}
		require.ElementsMatch(t, []string{"a", "b"}, o.setPeers(map[string]string{"a": "1", "b": "2"}))
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { o.run(ctx) })
		test(t, o, peers)
		cancel()
		running.Wait()
	})
}

// Guards against a change that a peer never receives, since it did not reply when it was sent.
func TestChangesAreSentUntilAcknowledged(t *testing.T) {
	withOutbox(t, func(t *testing.T, o *promptOutbox, peers *outboxPeers) {
		peers.setDown("a", true)
		o.add("p", false)
		o.add("q", false, "b")
		time.Sleep(5 * time.Second)
		require.Empty(t, peers.of("a"))
		require.Equal(t, []poison.Prompt{"p", "q"}, peers.of("b"), "once each")
		require.Equal(t, []poison.Prompt{"p"}, peers.unreachedPrompts(), "once, however often the call is repeated")
		peers.setDown("a", false)
		time.Sleep(2 * resendInterval)
		require.Equal(t, []poison.Prompt{"p"}, peers.of("a"))
		o.setPeers(map[string]string{"b": "2"})
		o.add("r", false)
		time.Sleep(time.Second)
		require.Equal(t, []poison.Prompt{"p"}, peers.of("a"), "it has left")
		require.Equal(t, -1, countPending(o, "a"))
	})
}

// Guards against a change that is lost, since it came while an earlier one of the same prompt was sent.
func TestChangeDuringACallIsSentAgain(t *testing.T) {
	withOutbox(t, func(t *testing.T, o *promptOutbox, peers *outboxPeers) {
		var once sync.Once
		peers.duringSend = func() { once.Do(func() { o.add("p", true, "a") }) }
		o.add("p", false, "a")
		time.Sleep(time.Second)
		require.Equal(t, []poison.Prompt{"p", "p"}, peers.of("a"))
		require.Zero(t, countPending(o, "a"))
	})
}

// Guards against changes without a bound for a peer that does not reply, and against those beyond the bound
// being lost.
func TestFullOutboxSendsAllListedPrompts(t *testing.T) {
	withOutbox(t, func(t *testing.T, o *promptOutbox, peers *outboxPeers) {
		peers.setDown("a", true)
		for n := range 3 * maxPendingPrompts {
			o.add(poison.Prompt(fmt.Sprint("p-", n)), false, "a")
			require.LessOrEqual(t, countPending(o, "a"), maxPendingPrompts)
		}
		peers.mu.Lock()
		require.Positive(t, peers.overflows)
		peers.mu.Unlock()
		peers.setDown("a", false)
		time.Sleep(5 * resendInterval)
		require.Contains(t, peers.of("a"), poison.Prompt("listed-1"))
		require.Contains(t, peers.of("a"), poison.Prompt("listed-2"))
		require.Zero(t, countPending(o, "a"))
	})
}

// withListingPeer runs a test with a router that starts and a process with these methods.
func withListingPeer(t *testing.T, methods map[string]link.Handler, test func(p *promptGuard, peer member.Member)) {
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		peer := member.Member{ID: "keeper", Address: "10.0.0.1:1"}
		l, err := network.Listen("tcp", peer.Address)
		require.NoError(t, err)
		security := link.Security{TrustedNetwork: true}
		server := &link.Server{Security: security, Methods: methods}
		ctx, cancel := context.WithCancel(context.Background())
		var serving sync.WaitGroup
		serving.Go(func() { server.Serve(ctx, l) })
		p := &promptGuard{log: zerolog.New(io.Discard),
			links: &link.Pool{Security: security, Heartbeat: time.Second, DialTimeout: time.Second, Dial: network.Dial}}
		test(p, peer)
		p.links.Close()
		cancel()
		serving.Wait()
	})
}

// crashList answers a list with one crash.
func crashList(context.Context, json.RawMessage) (any, error) {
	return json.RawMessage(`[{"prompt":"p","ends":[{"upstream":"i-1","service":"model","age_ns":5}]}]`), nil
}

// Guards against a router that starts without evidence, since the processes that it asks have no method that
// lists answers.
func TestStartingRouterAsksProcessesThatListNoAnswers(t *testing.T) {
	withListingPeer(t, map[string]link.Handler{link.MethodPromptList: crashList}, func(p *promptGuard, peer member.Member) {
		require.True(t, p.fetchFrom(context.Background(), peer))
		require.Equal(t, poison.Suspect, p.registry.Known(time.Now(), "p").Standing())
	})
}

// Guards against a router that starts without the answers that clear the crashes which another process lists.
func TestStartingRouterFetchesAnswers(t *testing.T) {
	answers := func(context.Context, json.RawMessage) (any, error) {
		return []poison.Evidence{{Prompt: "p", Answers: []poison.Answer{{Service: "model", UnixMS: time.Now().UnixMilli()}}}}, nil
	}
	methods := map[string]link.Handler{link.MethodPromptList: crashList, link.MethodPromptEvidence: answers}
	withListingPeer(t, methods, func(p *promptGuard, peer member.Member) {
		p.registry.Add(time.Now(), poison.Evidence{Prompt: "p", Crashes: []poison.Crash{{Upstream: "i-2", Service: "model", Age: time.Second}}})
		require.True(t, p.fetchFrom(context.Background(), peer))
		require.Equal(t, poison.Clear, p.registry.Known(time.Now(), "p").Standing())
	})
}
