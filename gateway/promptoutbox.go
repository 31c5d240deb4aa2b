package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/poison"
)

const (
	// maxPendingPrompts limits the prompts that wait to be sent to one peer, to about the number that a
	// registry lists. A peer with more is sent all listed prompts.
	maxPendingPrompts = 768
	// resendInterval is the interval of checks for new peers, and of calls of a peer that does not reply.
	resendInterval = time.Second
)

// promptOutbox holds, for each peer, the prompts whose evidence changed since the peer last
// acknowledged it. The evidence itself is read when it is sent, so that a message never contains less than
// an earlier one.
type promptOutbox struct {
	// batchDelay is how long changes are collected before they are sent.
	batchDelay time.Duration
	// maxBatch limits the prompts of one message.
	maxBatch int
	// slots limits the peers called in parallel.
	slots chan struct{}
	// refresh sets the peers. It is called before each round of calls.
	refresh func()
	// list returns the prompts that a peer is sent that has more than maxPendingPrompts.
	list func() []poison.Prompt
	// send sends prompts to a peer and reports whether it replied.
	send func(ctx context.Context, address string, peer string, batch []pendingPrompt) bool
	// unreached is called with the prompts of a peer that did not reply, once for each change. overflowed
	// is called when a peer has more than maxPendingPrompts.
	unreached  func(peer string, prompts []pendingPrompt)
	overflowed func()

	wake chan struct{}

	mu       sync.Mutex
	peers    map[string]*promptPeer // by incarnation
	sequence uint64
}

// promptPeer is a process to which prompts are sent.
type promptPeer struct {
	address string
	pending map[poison.Prompt]pendingPrompt
	// all is set if more than maxPendingPrompts were pending.
	all bool
	// sending is set while a call is in progress.
	sending bool
	retryAt time.Time
}

// pendingPrompt is a prompt whose evidence changed.
type pendingPrompt struct {
	prompt poison.Prompt
	// answered is set if a service answered the prompt.
	answered bool
	// sequence is the number of the last change.
	sequence uint64
	// unreached is set once the peer did not reply.
	unreached bool
}

// setPeers sets the peers by incarnation with their addresses, and returns those that are new.
func (o *promptOutbox) setPeers(addresses map[string]string) (added []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.peers == nil {
		o.peers = map[string]*promptPeer{}
	}
	maps.DeleteFunc(o.peers, func(id string, _ *promptPeer) bool { _, exists := addresses[id]; return !exists })
	for id, address := range addresses {
		if o.peers[id] == nil {
			o.peers[id] = &promptPeer{address: address, pending: map[poison.Prompt]pendingPrompt{}}
			added = append(added, id)
		}
	}
	return added
}

// add records a changed prompt for peers, for all if none are given.
func (o *promptOutbox) add(p poison.Prompt, answered bool, peers ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(peers) == 0 {
		peers = slices.Collect(maps.Keys(o.peers))
	}
	o.sequence++
	for _, id := range peers {
		if peer := o.peers[id]; peer != nil {
			o.addLocked(peer, p, answered)
		}
	}
	o.wakeUp()
}

// addForOthers records a changed prompt for all peers but one, for which the prompt is pending already.
func (o *promptOutbox) addForOthers(p poison.Prompt, answered bool, except string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sequence++
	for id, peer := range o.peers {
		if id != except {
			o.addLocked(peer, p, answered)
		}
	}
	o.wakeUp()
}

func (o *promptOutbox) addLocked(peer *promptPeer, p poison.Prompt, answered bool) {
	earlier, exists := peer.pending[p]
	switch {
	case peer.all:
	case !exists && len(peer.pending) >= maxPendingPrompts:
		peer.all = true
		clear(peer.pending)
		o.overflowed()
	default:
		peer.pending[p] = pendingPrompt{prompt: p, answered: answered || earlier.answered, sequence: o.sequence}
	}
}

func (o *promptOutbox) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default: // it is woken already
	}
}

// run sends pending prompts until the context ends.
func (o *promptOutbox) run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	check := time.NewTicker(resendInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		case <-o.wake:
			_ = backoff.Sleep(ctx, o.batchDelay) // ends early only with the context
		}
		o.refresh()
		for _, id := range o.due(time.Now()) {
			calls.Go(func() {
				o.slots <- struct{}{}
				defer func() { <-o.slots }()
				o.sendAll(ctx, id)
			})
		}
	}
}

// due returns the peers that can be sent something now, and marks them as being sent to.
func (o *promptOutbox) due(now time.Time) (ids []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, peer := range o.peers {
		if !peer.sending && (peer.all || len(peer.pending) > 0) && !now.Before(peer.retryAt) {
			peer.sending = true
			ids = append(ids, id)
		}
	}
	return ids
}

// sendAll sends a peer its pending prompts until none are left or it does not reply.
func (o *promptOutbox) sendAll(ctx context.Context, id string) {
	for {
		address, batch := o.next(id)
		if len(batch) == 0 {
			return
		}
		if !o.send(ctx, address, id, batch) {
			o.unreached(id, o.fail(id, time.Now()))
			return
		}
		o.acknowledge(id, batch)
	}
}

// next returns a peer's oldest pending prompts. If there are none, the peer is no longer being sent to.
func (o *promptOutbox) next(id string) (address string, batch []pendingPrompt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	peer := o.peers[id]
	if peer == nil {
		return "", nil
	}
	if peer.all {
		peer.all = false
		o.sequence++
		for _, p := range o.list() {
			peer.pending[p] = pendingPrompt{prompt: p, sequence: o.sequence}
		}
	}
	batch = slices.SortedFunc(maps.Values(peer.pending), func(a, b pendingPrompt) int {
		return cmp.Or(cmp.Compare(a.sequence, b.sequence), cmp.Compare(a.prompt, b.prompt))
	})
	if len(batch) == 0 {
		peer.sending = false
	}
	return peer.address, batch[:min(len(batch), o.maxBatch)]
}

// acknowledge removes prompts that a peer has received, unless they changed after they were sent.
func (o *promptOutbox) acknowledge(id string, batch []pendingPrompt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	peer := o.peers[id]
	if peer == nil {
		return
	}
	for _, sent := range batch {
		if peer.pending[sent.prompt].sequence == sent.sequence {
			delete(peer.pending, sent.prompt)
		}
	}
}

// fail records that a peer did not reply, and returns the prompts for which that is new.
func (o *promptOutbox) fail(id string, now time.Time) (unreached []pendingPrompt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	peer := o.peers[id]
	if peer == nil {
		return nil
	}
	peer.sending, peer.retryAt = false, now.Add(resendInterval/2) // before the next check
	for p, pending := range peer.pending {
		if !pending.unreached {
			unreached = append(unreached, pending)
			pending.unreached = true
			peer.pending[p] = pending
		}
	}
	return unreached
}
