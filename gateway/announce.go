package gateway

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/prefill"
)

// lenderCooldown is how long an engine's lender is not called after it failed to reply.
const lenderCooldown = 2 * time.Second

// lenderClient sends messages to the lenders of upstreams, for example announcements of prompts that
// are sent to their engines.
type lenderClient struct {
	members *member.Group
	links   *link.Pool
	timeout time.Duration
	// messages is the queue of messages that run sends.
	messages chan lenderMessage

	mu sync.Mutex
	// cooldowns are those of lenders that failed to reply, by address.
	cooldowns map[string]cooldown
}

// cooldown is the time in which a lender is not called by callers that would not wait longer than it was waited for.
type cooldown struct {
	until  time.Time
	waited time.Duration
}

// lenderMessage is an asynchronous message to the lender of the upstream at an address.
type lenderMessage struct {
	address, method string
	body            any
	// reply receives the reply, then onReply is called; both may be nil.
	reply   any
	onReply func()
}

// maxQueuedMessages limits the messages that wait to be sent. Further ones are dropped. The lender then
// counts a withdrawn prompt in its engine's backlog for a moment, or a part that another engine has
// prefilled is prefilled once more.
const maxQueuedMessages = 256

func newLenderClient(members *member.Group, links *link.Pool, timeout time.Duration) *lenderClient {
	return &lenderClient{members: members, links: links, timeout: timeout, messages: make(chan lenderMessage, maxQueuedMessages),
		cooldowns: map[string]cooldown{}}
}

// run sends queued messages until the context ends.
func (c *lenderClient) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.messages:
			if c.call(ctx, m.address, m.method, m.body, m.reply) && m.onReply != nil {
				m.onReply()
			}
		}
	}
}

// announce implements pool.Pool's Announce.
func (c *lenderClient) announce(deadline time.Time, address string, announcement prefill.Announcement) (reply prefill.AnnounceReply, ok bool) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ok = c.call(ctx, address, link.MethodAnnounce, announcement, &reply)
	return reply, ok
}

// withdraw implements pool.Pool's Withdraw. It does not wait for the lender.
func (c *lenderClient) withdraw(address string, announcement prefill.Announcement, reply prefill.AnnounceReply) {
	c.enqueue(lenderMessage{address: address, method: link.MethodWithdraw, body: link.Withdrawal{Announcement: announcement, Reply: reply}})
}

// reportRemotePrefill implements pool.Pool's ReportRemotePrefill. It does not wait for the lender.
func (c *lenderClient) reportRemotePrefill(address string, remote prefill.RemotePrefill) {
	c.enqueue(lenderMessage{address: address, method: link.MethodRemotePrefill, body: remote})
}

func (c *lenderClient) enqueue(m lenderMessage) {
	select {
	case c.messages <- m:
	default: // see maxQueuedMessages
	}
}

// hasLender reports whether the upstream at an address has a lender.
func (c *lenderClient) hasLender(address string) bool {
	_, known := c.members.ByUpstream(address)
	return known
}

// call calls an upstream's lender and reports whether it replied within the timeout. Without a reply, the
// pool chooses upstreams by this router's own data. A lender that did not reply before the caller's context
// ended is still called by callers with more time.
func (c *lenderClient) call(caller context.Context, address, method string, in, out any) bool {
	m, known := c.members.ByUpstream(address)
	wait := c.timeout
	if deadline, ok := caller.Deadline(); ok {
		wait = min(wait, time.Until(deadline))
	}
	if !known || c.inCooldown(m.Address, wait) || caller.Err() != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(caller, c.timeout)
	defer cancel()
	err := c.links.Call(ctx, m.Address, method, in, out)
	switch {
	case err == nil:
		return true
	case caller.Err() == nil:
		c.startCooldown(m.Address, c.timeout)
	case errors.Is(caller.Err(), context.DeadlineExceeded):
		c.startCooldown(m.Address, wait)
	}
	return false
}

func (c *lenderClient) inCooldown(address string, wait time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cd := c.cooldowns[address]
	return wait <= cd.waited && time.Now().Before(cd.until)
}

func (c *lenderClient) startCooldown(address string, waited time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.cooldowns, func(_ string, cd cooldown) bool { return now.After(cd.until) })
	if waited >= c.cooldowns[address].waited {
		c.cooldowns[address] = cooldown{until: now.Add(lenderCooldown), waited: waited}
	}
}
