package gateway

import (
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/rollout"
)

// follow takes over what is known of the order before this one, and of those before that. While the end of a roll-out that was about
// to be completed is not known, the upstreams that it leaves may have stopped.
func (sr *serviceRollout) follow(before *serviceRollout) {
	before.mu.Lock()
	defer before.mu.Unlock()
	state, at := before.follower.State(), before.follower.EndedAt()
	if !state.Final() && before.follower.Finishing() {
		state, at, sr.earlierUncertain = rollout.Completed, sr.order().Revision, true
	}
	sr.earlier = before.earlier.Next(before.order().Version, state, at, sr.order().Version)
}

// applyEarlierLocked applies what a directive says of earlier orders.
func (sr *serviceRollout) applyEarlierLocked(d rollout.Directive) {
	if d.Pending || d.Revision != sr.order().Revision {
		return
	}
	if sr.earlierUncertain {
		sr.earlier, sr.earlierUncertain = rollout.Earlier{}, false
	}
	sr.earlier = sr.earlier.Merge(d.Earlier, sr.order().Version)
}

// isOutLocked reports whether an upstream gets no requests because of an earlier order: its version was rejected, or it has stopped.
func (sr *serviceRollout) isOutLocked(u directory.Upstream) bool {
	return !sr.isNew(u) && (sr.earlier.Rejects(u.Version) || sr.earlier.Stopped(u.Version, u.Registered))
}
