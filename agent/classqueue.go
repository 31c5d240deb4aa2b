package agent

import (
	"slices"
	"time"
)

func (c *classQueue) push(w *waiter) {
	if len(c.byTm[w.team]) == 0 {
		c.teams = append(c.teams, w.team)
	}
	c.byTm[w.team] = append(c.byTm[w.team], w)
	c.size++
}

// pop takes the oldest waiter of the team whose turn it is. One team's flood
// therefore waits behind every other team's next request.
func (c *classQueue) pop() *waiter {
	if len(c.teams) == 0 {
		return nil
	}
	team := c.teams[0]
	c.teams = c.teams[1:]
	w := c.byTm[team][0]
	c.byTm[team] = c.byTm[team][1:]
	c.size--
	if len(c.byTm[team]) > 0 {
		c.teams = append(c.teams, team)
	} else {
		delete(c.byTm, team)
	}
	return w
}

// popNewest takes the newest waiter of the team that has most waiters.
func (c *classQueue) popNewest() *waiter {
	var longest []*waiter
	for _, t := range c.teams {
		if len(c.byTm[t]) > len(longest) {
			longest = c.byTm[t]
		}
	}
	if len(longest) == 0 {
		return nil
	}
	w := longest[len(longest)-1]
	c.remove(w)
	return w
}

// remove takes one waiter out; it reports whether it was there.
func (c *classQueue) remove(w *waiter) bool {
	list := c.byTm[w.team]
	i := slices.Index(list, w)
	if i < 0 {
		return false
	}
	c.size--
	c.byTm[w.team] = slices.Delete(slices.Clone(list), i, i+1)
	if len(c.byTm[w.team]) == 0 {
		delete(c.byTm, w.team)
		j := slices.Index(c.teams, w.team)
		c.teams = slices.Delete(slices.Clone(c.teams), j, j+1)
	}
	return true
}

func (c *classQueue) olderThan(t time.Time) []*waiter {
	var out []*waiter
	for _, team := range c.teams {
		for _, w := range c.byTm[team] {
			if w.since.Before(t) {
				out = append(out, w)
			}
		}
	}
	return out
}
