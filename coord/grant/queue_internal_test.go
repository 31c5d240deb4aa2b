package grant

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an order by chance among requests that wait for the last tokens of a budget.
func TestQueueOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	w := func(id string, rank int, need int64, since time.Duration) *waiter {
		return &waiter{id: id, rank: rank, need: need, since: start.Add(since * time.Millisecond), wait: 300 * time.Millisecond, wake: func() {}}
	}
	for name, c := range map[string]struct {
		waiters []*waiter
		at      time.Duration
		want    string
	}{
		"rank before need and age":        {[]*waiter{w("old", 1, 10, 0), w("urgent", 0, 900, 50)}, 60, "[urgent old]"},
		"the smaller one within a rank":   {[]*waiter{w("large", 1, 900, 0), w("small", 1, 10, 50)}, 60, "[small large]"},
		"a long wait goes before need":    {[]*waiter{w("large", 1, 900, 0), w("small", 1, 10, 50)}, 150, "[large small]"},
		"of two long waits the older one": {[]*waiter{w("later", 1, 10, 20), w("first", 1, 900, 0)}, 200, "[first later]"},
		"a long wait stays in its rank":   {[]*waiter{w("old", 2, 10, 0), w("urgent", 0, 900, 299)}, 299, "[urgent old]"},
		"of equal ones the older one":     {[]*waiter{w("later", 0, 10, 1), w("first", 0, 10, 0)}, 2, "[first later]"},
	} {
		t.Run(name, func(t *testing.T) {
			q := &lendQueue{}
			now := start.Add(c.at * time.Millisecond)
			for _, w := range c.waiters {
				require.Nil(t, q.push(w, now))
			}
			var order []string
			for head := q.head(now); head != nil; head = q.head(now) {
				order = append(order, head.id)
				q.remove(head)
			}
			require.Equal(t, c.want, fmt.Sprint(order))
		})
	}
}

// Guards against a queue that grows with the callers of a team: beyond the bound the least urgent request leaves it.
func TestQueueIsBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	q := &lendQueue{}
	refused := map[int]int{}
	for n := range 10_000 {
		w := &waiter{id: fmt.Sprint(n), rank: n % 3, need: 100, since: start.Add(time.Duration(n)), wait: time.Second}
		if out := q.push(w, start); out != nil {
			refused[out.rank]++
		}
		require.LessOrEqual(t, len(q.waiters), maxQueued)
	}
	for _, w := range q.waiters {
		require.Zero(t, w.rank, "more than the bound are of rank 0")
	}
	require.Equal(t, 10_000-maxQueued, refused[0]+refused[1]+refused[2])
}

// Guards against a refusal that hides when reservations end from errors.Is and errors.As.
func TestReservedErrorIsAllReserved(t *testing.T) {
	err := Error.Wrap(errors.Join(ErrUnreachable, Error.Wrap(&ReservedError{RetryAfter: time.Second})))
	require.ErrorIs(t, err, ErrAllReserved)
	require.ErrorIs(t, err, ErrUnreachable)
	require.Equal(t, time.Second, RetryAfter(err))
	require.Zero(t, RetryAfter(Error.Wrap(ErrAllReserved)))
}
