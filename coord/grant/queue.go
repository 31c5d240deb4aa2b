package grant

import (
	"slices"
	"time"
)

// maxQueued bounds the requests that wait for one budget. Their order is found by comparing all of them each time
// that tokens come back.
const maxQueued = 256

// waiter is a request for a lot that waits while all that is left of the budget is reserved.
type waiter struct {
	budget, id, borrower string
	need                 int64
	rank                 int
	// since is when it arrived, wait how long it may wait after that and after tokens were fetched for it.
	since time.Time
	wait  time.Duration

	// The fields below are guarded by the holder's lock. answered is set with lot or err.
	answered bool
	lot      Lot
	err      error
	// wake ends the wait of an answered request. exposureLimited receives a value when tokens have come back that may only be
	// lent after the borrower's exposure limit is raised.
	wake            func()
	exposureLimited chan struct{}
}

// overdue reports whether a request has waited for half of its time.
func (w *waiter) overdue(now time.Time) bool { return now.Sub(w.since) >= w.wait/2 }

// precedes reports whether w gets tokens before other: the more urgent one, then one that has waited for half of its time,
// so that small requests do not overtake a large one until it is refused, then the one that needs less.
func (w *waiter) precedes(other *waiter, now time.Time) bool {
	switch {
	case w.rank != other.rank:
		return w.rank < other.rank
	case w.overdue(now) != other.overdue(now):
		return w.overdue(now)
	case !w.overdue(now) && w.need != other.need:
		return w.need < other.need
	}
	return w.since.Before(other.since)
}

// lendQueue holds the waiting requests of one budget.
type lendQueue struct{ waiters []*waiter }

// head returns the request that gets tokens next, nil if none waits.
func (q *lendQueue) head(now time.Time) *waiter {
	var head *waiter
	for _, w := range q.waiters {
		if head == nil || w.precedes(head, now) {
			head = w
		}
	}
	return head
}

// push adds a request. If the queue is full, the one that would be served last leaves it and is returned.
func (q *lendQueue) push(w *waiter, now time.Time) (refused *waiter) {
	q.waiters = append(q.waiters, w)
	if len(q.waiters) <= maxQueued {
		return nil
	}
	last := w
	for _, other := range q.waiters {
		if last.precedes(other, now) {
			last = other
		}
	}
	q.remove(last)
	return last
}

// remove takes a request out of the queue; it does nothing if the request is not in it.
func (q *lendQueue) remove(w *waiter) {
	q.waiters = slices.DeleteFunc(q.waiters, func(other *waiter) bool { return other == w })
}

// find returns the waiting request of a borrower with this id, nil if there is none.
func (q *lendQueue) find(borrower, id string) *waiter {
	for _, w := range q.waiters {
		if w.borrower == borrower && w.id == id {
			return w
		}
	}
	return nil
}
