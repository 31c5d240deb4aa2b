package agent

import (
	"slices"
	"time"
)

func (c *classQueue) push(w *waiter) {
	if len(c.byTeam[w.team]) == 0 {
		c.teams = append(c.teams, w.team)
	}
	c.byTeam[w.team] = append(c.byTeam[w.team], w)
	c.size++
}

// pop removes the oldest waiter of the next team in round-robin order, so that a team
// with many requests does not delay the next request of another team.
func (c *classQueue) pop() *waiter {
	if len(c.teams) == 0 {
		return nil
	}
	team := c.teams[0]
	c.teams = c.teams[1:]
	w := c.byTeam[team][0]
	c.byTeam[team] = c.byTeam[team][1:]
	c.size--
	if len(c.byTeam[team]) > 0 {
		c.teams = append(c.teams, team)
	} else {
		delete(c.byTeam, team)
	}
	return w
}

// popNewest removes the newest waiter of the team with the most waiters.
func (c *classQueue) popNewest() *waiter {
	var longest []*waiter
	for _, t := range c.teams {
		if len(c.byTeam[t]) > len(longest) {
			longest = c.byTeam[t]
		}
	}
	if len(longest) == 0 {
		return nil
	}
	w := longest[len(longest)-1]
	c.remove(w)
	return w
}

// remove removes a waiter and reports whether it was queued.
func (c *classQueue) remove(w *waiter) bool {
	list := c.byTeam[w.team]
	i := slices.Index(list, w)
	if i < 0 {
		return false
	}
	c.size--
	c.byTeam[w.team] = slices.Delete(slices.Clone(list), i, i+1)
	if len(c.byTeam[w.team]) == 0 {
		delete(c.byTeam, w.team)
		j := slices.Index(c.teams, w.team)
		c.teams = slices.Delete(slices.Clone(c.teams), j, j+1)
	}
	return true
}

func (c *classQueue) olderThan(t time.Time) []*waiter {
	var out []*waiter
	for _, team := range c.teams {
		for _, w := range c.byTeam[team] {
			if w.since.Before(t) {
				out = append(out, w)
			}
		}
	}
	return out
}
